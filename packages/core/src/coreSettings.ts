/**
 * Settings of the core with their defaults. The box settings file can override some of them.
 */
import type { RoutingPolicy } from './policy.js';

/** Settings of the core. Times are in milliseconds, shares between 0 and 1. */
export interface CoreSettings {
  readonly policy: RoutingPolicy;
  /** Interval between heartbeats to each peer. */
  readonly heartbeatMs: number;
  /** A peer that has sent no liveness signal for longer than this is not live. */
  readonly leaseMs: number;
  /** Time after which an attempt that has not been accepted counts as lost and is retried. */
  readonly placeTimeoutMs: number;
  /** Largest number of attempts of one request, including the first. */
  readonly maxAttempts: number;
  /** Retries that each successful request adds to the budget of its service. */
  readonly retryRatio: number;
  /** Largest retry budget of a service. */
  readonly retryBurst: number;
  /** Backoff before the first retry; doubles with each retry, with jitter. */
  readonly retryBackoffMs: number;
  /** Largest number of boxes that may handle an assignment. */
  readonly maxHops: number;
  /** Largest number of candidates in an assignment. */
  readonly maxCandidates: number;
  /** Largest number of warm engines stored for a chat. */
  readonly maxEnginesPerChat: number;
  /** Largest number of chats in one box's directory. */
  readonly maxChats: number;
  /** Largest number of directory entries handed over to new home boxes at each heartbeat. */
  readonly handoverEntriesPerHeartbeat: number;
  /** Duration of the slow start, during which a joining endpoint's share of the load grows to its full share. */
  readonly rampMs: number;
  /** Share with which a joining endpoint starts. */
  readonly rampFloor: number;
  /** How long an endpoint must stay listed before it gets work again, for each time it has flapped. */
  readonly flapHoldMs: number;
  /** Flaps of an endpoint that was unlisted for longer than this are no longer counted. */
  readonly flapMemoryMs: number;
  /** Consecutive failures after which an endpoint is ejected. */
  readonly ejectAfter: number;
  /** Duration of the first ejection; doubles with each further one until a call succeeds, at most four times. */
  readonly ejectMs: number;
  /** Largest share of a service's endpoints that may be unusable after an ejection. */
  readonly maxEjectedShare: number;
  /** Share of an endpoint's capacity reserved for teams below their fair share. */
  readonly reserveShare: number;
  /** Share of the declared bound's slack that is used, so that engines stay within the bound when the mean falls. */
  readonly boundUse: number;
  /** Number of boxes of a hall that watch each published value. */
  readonly watchersPerValue: number;
  /** Smallest Retry-After. */
  readonly retryAfterMs: number;
  /** Largest age of the lists that the platform serves. */
  readonly keyLagMs: number;
  /** The owner of a timed key runs calls only if the platform confirmed its lists within this time. */
  readonly keyLeaseMs: number;
  /** Largest error of callers' clocks. */
  readonly keySkewMs: number;
  /** Largest error of boxes' clocks. */
  readonly clockErrorMs: number;
  /** A call whose key is older than this is not run. */
  readonly keyRetentionMs: number;
  /** Time limit of a graceful shutdown. */
  readonly drainTimeoutMs: number;
}

/** Default settings. */
export const DEFAULT_CORE_SETTINGS: CoreSettings = {
  policy: { type: 'steward' },
  heartbeatMs: 1_000,
  leaseMs: 3_000,
  placeTimeoutMs: 1_000,
  maxAttempts: 3,
  retryRatio: 0.1,
  retryBurst: 10,
  retryBackoffMs: 25,
  maxHops: 8,
  maxCandidates: 6,
  maxEnginesPerChat: 4,
  maxChats: 100_000,
  handoverEntriesPerHeartbeat: 500,
  rampMs: 20_000,
  rampFloor: 0.2,
  flapHoldMs: 5_000,
  flapMemoryMs: 300_000,
  ejectAfter: 5,
  ejectMs: 5_000,
  maxEjectedShare: 0.34,
  reserveShare: 0.1,
  boundUse: 0.9,
  watchersPerValue: 2,
  retryAfterMs: 1_000,
  keyLagMs: 3_000,
  keyLeaseMs: 8_000,
  keySkewMs: 1_000,
  clockErrorMs: 200,
  keyRetentionMs: 600_000,
  drainTimeoutMs: 120_000,
};
