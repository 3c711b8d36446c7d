/** The router fleet: each box forwards callers' requests directly to endpoints, and boxes share their state. */
export { afterSocketReads } from './afterSocketReads.js';
export * from './featureSwitches.js';
export * from './fleetRouter.js';
export * from './httpDialect.js';
export * from './records.js';
export * from './routerOptions.js';
export type { Dial } from './proxy/dialTcp.js';
export { Client } from './proxy/httpClient.js';
export type { EndpointChange } from './published/endpointDirectory.js';
export type { EvacuationChange } from './published/evacuations.js';
export type { ListPosition } from './published/listPosition.js';
export { RESTORE_SCREENING_MS } from './published/restoredEntries.js';
export type { FeedRole } from './published/feedRole.js';
export type { Publication } from './published/publishedState.js';
export type { RetryBound } from './systems/retryBudget.js';
export type { RouterMetrics } from './observability/metrics.js';
export type { DecisionLog, LogFields } from './observability/decisionLog.js';
