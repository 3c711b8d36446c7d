/** Decides what to do about an endpoint that says nothing to a request that may repeat. */
import type { Route } from '../records.js';

/** A plain request without an answer is sent a second time after this share of its target latency. */
const HEDGE_SHARE = 0.6;
/** A resumable stream that is silent for this long goes on elsewhere: a third of what callers bear. */
const STREAM_SILENCE_MS = 800;
/** On an endpoint that cannot be reached, so much silence is enough. */
const CUT_OFF_SILENCE_MS = 50;

/** What to do. */
export type SilenceVerdict =
  | 'wait'
  /** Leave the endpoint and go on at another. */
  | 'leave'
  /** Ask a second endpoint as well, and take the first answer. */
  | 'hedge';

/** What is known of the silence. */
export interface Silence {
  readonly route: Route;
  readonly silentMs: number;
  readonly isUnreachable: boolean;
  /** Other attempts of the same request are under way. */
  readonly hasOthers: boolean;
  /** Its answer has begun. */
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
 * Judges the silence of an endpoint.
 *
 * @example judgeSilence({ route, silentMs: 10, isUnreachable: false, hasOthers: false, isAnswering: false }) // 'wait'
 */
export function decideOnSilence(silence: Silence): SilenceVerdict {
  const { route, silentMs } = silence;
  if (!isRepeatable(route)) return 'wait';
  const isCutOff = silence.isUnreachable && silentMs > CUT_OFF_SILENCE_MS;
  if (route.kind === 'stream') return isCutOff || silentMs >= STREAM_SILENCE_MS ? 'leave' : 'wait';
  if (silence.hasOthers || silence.isAnswering) return 'wait';
  return isCutOff || silentMs >= HEDGE_SHARE * route.targetLatencyMs ? 'hedge' : 'wait';
}
