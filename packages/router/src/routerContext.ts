/** What the parts of a router share. */
import type { HttpDialect } from './httpDialect.js';
import type { DecisionLog } from './observability/decisionLog.js';
import type { RouterMetrics } from './observability/metrics.js';
import type { CrashCheck } from './proxy/crashCheck.js';
import type { EndpointConnections } from './proxy/endpointConnections.js';
import type { Quarantine } from './quarantine/quarantine.js';
import type { QuarantineRelay } from './quarantine/quarantineRelay.js';
import type { ResponseMetadata } from './records.js';
import type { HealthSignal } from './systems/endpointHealth.js';
import type { Placement } from './systems/placement.js';
import type { RetryBudget } from './systems/retryBudget.js';
import type { RouteIndex } from './systems/routeIndex.js';
import type { EndpointRow, EndpointTable } from './tables/endpointTable.js';

/** A request under way, as the loop drives it. */
export interface RunningRequest {
  /** Runs once a tick. */
  tick(nowMs: number): void;
  /** The process stood still for so long. */
  handlePause(stalledMs: number): void;
}

/** Shared tables, systems and adapters. */
export interface RouterContext {
  readonly dialect: HttpDialect;
  readonly table: EndpointTable;
  readonly placement: Placement;
  readonly budget: RetryBudget;
  readonly connections: EndpointConnections;
  readonly crashCheck: CrashCheck;
  /** What is known against requests that were under way at endpoints that crashed. */
  readonly quarantine: Quarantine;
  /** Takes what this box sees of such requests, and tells the others. */
  readonly quarantineRelay: QuarantineRelay;
  readonly metrics: RouterMetrics;
  readonly log: DecisionLog;
  /** Requests under way. */
  readonly exchanges: Set<RunningRequest>;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  readonly hash: (text: string) => number;
  /** The configuration in force; undefined before the first. */
  readonly readIndex: () => RouteIndex | undefined;
  /** Whether the box knows what to serve and where: a configuration and endpoints. */
  readonly isInitialized: () => boolean;
  /** Whether a planned stop is under way. */
  readonly isStopping: () => boolean;
  /** Notes what a request tells about an endpoint. */
  readonly recordHealthSignal: (row: EndpointRow, sign: HealthSignal) => void;
  /** Records what the head of a response announces about its endpoint. */
  readonly recordAnnouncements: (row: EndpointRow, facts: ResponseMetadata) => void;
}
