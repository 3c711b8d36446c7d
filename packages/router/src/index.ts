/** The router fleet: each box forwards callers' requests directly to endpoints, and boxes share their state. */
export { afterSocketReads } from './afterSocketReads.js';
export * from './featureSwitches.js';
export * from './fleetRouter.js';
export * from './httpDialect.js';
export * from './records.js';
export * from './routerOptions.js';
export type { Dial } from './proxy/dialTcp.js';
export { Client } from './proxy/httpClient.js';
export type { EndpointChange } from './systems/endpointDirectory.js';
export type { EvacuationChange } from './systems/evacuations.js';
export type { ListPosition } from './systems/listPosition.js';
export { RESTORE_SCREENING_MS } from './systems/restoredEntries.js';
export type { FeedRole } from './systems/feedRole.js';
export type { Publication } from './systems/publishedState.js';
export type { RetryBound } from './systems/retryBudget.js';
export type { RouterMetrics } from './observability/metrics.js';
export type { DecisionLog, LogFields } from './observability/decisionLog.js';
