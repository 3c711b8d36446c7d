/** The parts of the operators' tool that can be used as a library. */
export { checkFile } from './commands/check.js';
export { compareDeclarations } from './commands/diff.js';
