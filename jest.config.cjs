/** Jest runs the TypeScript sources through SWC; the `.js` endings of ESM imports are mapped back to the sources. */
module.exports = {
  testEnvironment: 'node',
  roots: ['<rootDir>/packages', '<rootDir>/platform'],
  modulePathIgnorePatterns: ['/dist/'],
  testMatch: ['**/__tests__/**/*.test.ts'],
  transform: {
    '^.+\\.[tj]s$': [
      '@swc/jest',
      { jsc: { target: 'es2022', parser: { syntax: 'typescript' } }, module: { type: 'commonjs' } },
    ],
  },
  // Published as ESM only.
  transformIgnorePatterns: ['/node_modules/(?!tinyqueue/)'],
  moduleNameMapper: {
    '^(\\.{1,2}/.*)\\.js$': '$1',
    '^@hazelwalk/platform/standins$': '<rootDir>/platform/src/standins/index.ts',
    '^@hazelwalk/([a-z]+)$': '<rootDir>/packages/$1/src/index.ts',
  },
  testTimeout: 60_000,
};
