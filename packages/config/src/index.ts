/** Validation of the input from operators and the platform: declared files, lists and box settings. */
export * from './boxSettings.js';
export * from './parseDeclaration.js';
export * from './parseLists.js';
export { findLine } from './readToml.js';
