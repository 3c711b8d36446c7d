/** The operators' tool as a library: what its tests use. */
export { checkFile } from './commands/check.js';
export { compareDeclarations } from './commands/diff.js';
