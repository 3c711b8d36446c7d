/** Decides what to do if an endpoint does not respond to a request that may run more than once. */
import type { Route } from '../records.js';

/** A repeatable request without a response is hedged after this share of the route's target latency. */
const HEDGE_LATENCY_SHARE = 0.6;
/**
 * A resumable stream without data for this long is moved to another endpoint: a third of the gap that callers
 * tolerate.
 */
const STREAM_SILENCE_TIMEOUT_MS = 800;
/** Silence after which a request at an unreachable endpoint is hedged or moved. */
const UNREACHABLE_SILENCE_TIMEOUT_MS = 50;

/** Reaction to the silence of an endpoint. */
export type SilenceAction =
  | 'wait'
  /** Abandon the attempt and continue at another endpoint. */
  | 'leave'
  /** Send the request to a second endpoint as well and use the first response. */
  | 'hedge';

/** State of an attempt whose endpoint is silent. */
export interface Silence {
  readonly route: Route;
  readonly silentMs: number;
  readonly isUnreachable: boolean;
  /** Other attempts of the same request are in progress. */
  readonly hasOthers: boolean;
  /** The response has started. */
  readonly isAnswering: boolean;
}

/** Whether a request of the route may run more than once. */
export function isRepeatable(route: Route): boolean {
  switch (route.kind) {
    case 'repeatable':
      return true;
    case 'once':
      return false;
    case 'stream':
      return route.isResumable;
  }
}

/**
 * Decides how to react to the silence of an endpoint.
 *
 * @example decideOnSilence({ route, silentMs: 10, isUnreachable: false, hasOthers: false, isAnswering: false }) // 'wait'
 */
export function decideOnSilence(silence: Silence): SilenceAction {
  const { route, silentMs } = silence;
  if (!isRepeatable(route)) return 'wait';
  const hasTimedOutUnreachable = silence.isUnreachable && silentMs > UNREACHABLE_SILENCE_TIMEOUT_MS;
  if (route.kind === 'stream')
    return hasTimedOutUnreachable || silentMs >= STREAM_SILENCE_TIMEOUT_MS ? 'leave' : 'wait';
  if (silence.hasOthers || silence.isAnswering) return 'wait';
  return hasTimedOutUnreachable || silentMs >= HEDGE_LATENCY_SHARE * route.targetLatencyMs ? 'hedge' : 'wait';
}
