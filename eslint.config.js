import js from '@eslint/js';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**', '**/*.cjs'] },
  js.configs.recommended,
  ...tseslint.configs.recommended,
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    rules: {
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_', varsIgnorePattern: '^_' }],
      'max-lines': ['error', { max: 350, skipBlankLines: true, skipComments: true }],
      'max-depth': ['error', 4],
      eqeqeq: 'error',
    },
    languageOptions: {
      parserOptions: {
        project: ['./packages/*/tsconfig.json', './platform/tsconfig.json', './tsconfig.test.json'],
      },
    },
  },
);
