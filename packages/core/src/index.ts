/** The pure core: tables, the systems that run over them, and the messages between boxes. */
export * from './coreSettings.js';
export * from './effects.js';
export * from './events.js';
export * from './frames.js';
export * from './hasher.js';
export * from './policy.js';
export * from './records.js';
export * from './result.js';
export * from './resultCodes.js';
export { runTurn } from './runTurn.js';
export { isReady } from './systems/configuration.js';
export { computeBoundCap, listUsable, readLoad, readRampShare, summariseLoad } from './systems/load.js';
export { directoryKey, findHome } from './systems/chatDirectory.js';
export { rankCandidates } from './systems/placement.js';
export { createWorld } from './world.js';
export type { CoreDependencies, SelfIdentity, ValueParsers, World } from './world.js';
