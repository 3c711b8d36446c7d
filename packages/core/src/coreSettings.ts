/**
 * The core's own settings with their defaults. The box settings file may override those that operators tune.
 */
import type { RoutingPolicy } from './policy.js';

/** Times are in milliseconds, shares between 0 and 1. */
export interface CoreSettings {
  readonly policy: RoutingPolicy;
  /** Pace of heartbeats to each peer. */
  readonly heartbeatMs: number;
  /** A peer unheard for this long is not live. */
  readonly leaseMs: number;
  /** A request not accepted by then is placed again. */
  readonly placeTimeoutMs: number;
  /** Attempts at one request, the first included. */
  readonly maxAttempts: number;
  /** Retries that each success earns its service. */
  readonly retryRatio: number;
  /** Retries a service may save up. */
  readonly retryBurst: number;
  /** Wait before the first retry; doubles, with jitter. */
  readonly retryBackoffMs: number;
  /** Boxes an assignment may visit. */
  readonly maxHops: number;
  /** Endpoints named in an assignment. */
  readonly maxCandidates: number;
  /** Engines remembered for a chat. */
  readonly maxEnginesPerChat: number;
  /** Chats remembered by one box. */
  readonly maxChats: number;
  /** Directory entries sent to new home boxes at each heartbeat. */
  readonly handoverEntriesPerHeartbeat: number;
  /** Time over which a joining endpoint's share grows to full. */
  readonly rampMs: number;
  /** Share at which a joining endpoint starts. */
  readonly rampFloor: number;
  /** How long a returning endpoint must stay listed for each time it flapped. */
  readonly flapHoldMs: number;
  /** An endpoint that was away for longer starts with a clean record. */
  readonly flapMemoryMs: number;
  /** Failures in a row that eject an endpoint. */
  readonly ejectAfter: number;
  /** First ejection; doubles with each that follows. */
  readonly ejectMs: number;
  /** Largest share of a service's endpoints that may be ejected. */
  readonly maxEjectedShare: number;
  /** Part of an endpoint's capacity kept for teams below their fair share. */
  readonly reserveShare: number;
  /** Part of the declared bound's slack that is used, so that a falling mean does not leave engines above it. */
  readonly boundUse: number;
  /** Boxes of a hall that watch each published value. */
  readonly watchersPerValue: number;
  /** Smallest Retry-After. */
  readonly retryAfterMs: number;
  /** The published lists are at most this old when the platform answers. */
  readonly keyLagMs: number;
  /** An owner of timed keys acts only while its lists were confirmed within this time. */
  readonly keyLeaseMs: number;
  /** Callers' clocks are at most this far off. */
  readonly keySkewMs: number;
  /** Boxes' clocks are at most this far off. */
  readonly clockErrorMs: number;
  /** A key older than this is no longer run. */
  readonly keyRetentionMs: number;
  /** Longest planned stop. */
  readonly drainTimeoutMs: number;
}

/** Settings that ship. */
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
