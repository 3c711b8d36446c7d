/** The daemon as a library, for the tools and tests of this repository. */
export { Box } from './box.js';
export type { BoxStatus, ChatExplanation, EndpointStatus } from './boxStatus.js';
