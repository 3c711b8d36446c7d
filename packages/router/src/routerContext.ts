/** Dependencies that the parts of the proxy share. */
import type { AdmissionGate } from './admission/admission.js';
import type { OutageReturns } from './admission/outageReturns.js';
import type { RequestDurations } from './capacity/requestDurations.js';
import type { FeatureSwitches } from './featureSwitches.js';
import type { HttpDialect } from './httpDialect.js';
import type { DecisionLog, LogFields } from './observability/decisionLog.js';
import type { RouterMetrics } from './observability/metrics.js';
import type { RequestStage } from './observability/stopLog.js';
import type { CrashCheck } from './proxy/crashCheck.js';
import type { EndpointConnections } from './proxy/endpointConnections.js';
import type { PaceObserver } from './proxy/paceObserver.js';
import type { Quarantine } from './quarantine/quarantine.js';
import type { QuarantineRelay } from './quarantine/quarantineRelay.js';
import type { ResponseMetadata } from './records.js';
import type { HealthSignal } from './systems/endpointHealth.js';
import type { Placement } from './systems/placement.js';
import type { RetryBudget } from './systems/retryBudget.js';
import type { RouteIndex } from './systems/routeIndex.js';
import type { OriginLookup } from './streams/originLookup.js';
import type { StreamTracker } from './streams/streamTracker.js';
import type { EndpointRow, EndpointTable } from './tables/endpointTable.js';

/** A request in progress, as the loop drives it. */
export interface RunningRequest {
  readonly arrivedAtMs: number;
  /** Requests that its connection carried before. */
  readonly earlierOnConnection: number;
  readonly stage: RequestStage;
  readonly createLogFields: () => LogFields;
  /** Called once a tick. */
  tick(nowMs: number): void;
  /** Called after the process was paused for the given time. */
  handlePause(pausedMs: number): void;
  /** Ends the request with a final response, as the box exits. */
  cutOff(): void;
}

/** Records and lookups of the software versions that began streams. */
export interface StreamParts {
  readonly tracker: StreamTracker;
  readonly lookup: OriginLookup;
}

/** Tables, systems and adapters of one box. */
export interface RouterContext {
  readonly dialect: HttpDialect;
  readonly table: EndpointTable;
  readonly placement: Placement;
  readonly budget: RetryBudget;
  /** Picks when callers retry whose service is away. */
  readonly outageReturns: OutageReturns;
  readonly connections: EndpointConnections;
  readonly crashCheck: CrashCheck;
  /** Records which requests were in flight when endpoints crashed. */
  readonly quarantine: Quarantine;
  /** Records crashes and successes seen by this box, and reports them to the other boxes. */
  readonly quarantineRelay: QuarantineRelay;
  readonly metrics: RouterMetrics;
  readonly log: DecisionLog;
  /** Optional parts that operators can turn off. */
  readonly features: FeatureSwitches;
  /** Decides whether a request is sent, waits, or is rejected. */
  readonly admission: AdmissionGate;
  /** Records that an endpoint of a service refused a request for lack of room. */
  readonly recordLackOfRoom: (service: string) => void;
  /** Age of the oldest loads of other boxes that this box knows. */
  readonly readLoadAgeMs: () => number;
  /** Requests in progress. */
  readonly exchanges: Set<RunningRequest>;
  /** Monotonic milliseconds. */
  readonly now: () => number;
  readonly hash: (text: string, seed?: number) => number;
  /** Which software versions began the streams of the fleet. */
  readonly streams: StreamParts;
  /** Returns the index of the configuration in force; undefined before the first configuration. */
  readonly readIndex: () => RouteIndex | undefined;
  /** Whether the box has a configuration and endpoints. */
  readonly isInitialized: () => boolean;
  /** Whether a service is so full that hedges and repeats would take slots from others, as far as this box knows. */
  readonly isFull: (service: string) => boolean;
  /** How long requests take at their endpoints. */
  readonly durations: RequestDurations;
  /** Time left for responses to end before the box exits; infinite while no stop is in progress. */
  readonly readRemainingMs: () => number;
  /** Whether a stop is in progress and callers are not sent here any more, unless there is no other box for them. */
  readonly isFinishing: () => boolean;
  /** Records a health signal of an endpoint. */
  readonly recordHealthSignal: (row: EndpointRow, signal: HealthSignal) => void;
  /** Records what the head of a response announces about its endpoint. */
  readonly recordAnnouncements: (row: EndpointRow, metadata: ResponseMetadata) => void;
  /** Records what responses show about the pace of their endpoints. */
  readonly paceObserver: PaceObserver;
}
