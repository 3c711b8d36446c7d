/** What the servers for callers of both interfaces share. */
export * from './callerConnections.js';
