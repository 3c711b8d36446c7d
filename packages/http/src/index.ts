/** What the servers for callers of both interfaces share: connections, requests, and what a box grants them. */
export type { BegunCall, CallHandlers, UnreadRefusal } from './callerConnection.js';
export * from './callerConnections.js';
export type { CallerStream } from './callerStream.js';
export type { CallerUse, EvictionReason } from './callerLedger.js';
export * from './callerResources.js';
export { guardListener } from './guardListener.js';
export { isAnnouncedTooLarge } from './requestBody.js';
export type { RequestBodyHandlers } from './requestBody.js';
