/** The daemon as a library: what the tools and tests of this repository use of it. */
export { Box } from './box.js';
export type { BoxStatus, ChatExplanation, EndpointStatus } from './boxStatus.js';
