/** Stand-ins for the platform and the endpoints, and the launcher that starts a whole deployment of them. */
export * from './childProcess.js';
export * from './deployment.js';
export { pause } from './httpTools.js';
export * from './random.js';
export * from './timeline.js';
