/** Launcher for deployments of boxes and stand-ins, and helpers for seeded and virtual-time runs. */
export * from './childProcess.js';
export * from './deployment.js';
export { pause } from './httpTools.js';
export * from './linkCut.js';
export * from './linkProxy.js';
export * from './oddStatusLines.js';
export * from './random.js';
export * from './timeline.js';
