/** Decides whether a request that is sent on now can end before its box exits, or the one through which it passes. */
import type { RequestDurations } from '../capacity/requestDurations.js';
import type { Route } from '../records.js';

/** What the decision depends on. */
export interface ExitContext {
  readonly durations: RequestDurations;
  /** Time left for responses to end; infinite while no stop is in progress. */
  readonly readRemainingMs: () => number;
  /** Whether a stop is in progress and callers are not sent here any more, unless there is no other box for them. */
  readonly isFinishing: () => boolean;
  readonly now: () => number;
}

/**
 * A stream is as long as its caller wants. One that comes when callers are not sent here any more has to fit into the time left
 * this many times: it would be served better elsewhere, or after this box has started again, than broken off. Where few
 * responses were seen, it is assumed to last until its deadline.
 */
const LATE_STREAM_FACTOR = 2;

/** A request that is about to be sent. */
export interface RequestInTime {
  readonly route: Route;
  readonly expiresAtMs: number;
  /** How long it has been answered already, if its stream is resumed. */
  readonly answeredForMs: number;
  /** When the connection to its endpoint is closed, as another box exits; infinite if none is about to. */
  readonly connectionClosesAtMs: number;
}

/**
 * Whether the response to a request is expected to end before a box exits that it needs.
 *
 * @example endsInTime(context, { route, expiresAtMs, answeredForMs: 0, connectionClosesAtMs: Infinity }) // true if nothing stops
 */
export function endsInTime(
  { durations, readRemainingMs, isFinishing, now }: ExitContext,
  { route, expiresAtMs, answeredForMs, connectionClosesAtMs }: RequestInTime,
): boolean {
  const nowMs = now();
  const remainingMs = Math.min(readRemainingMs(), connectionClosesAtMs - nowMs);
  if (remainingMs === Infinity) return true;
  if (remainingMs <= 0 || expiresAtMs - nowMs <= remainingMs) return remainingMs > 0;
  const isLateStream = route.kind === 'stream' && isFinishing();
  const assumedMs = isLateStream ? expiresAtMs - nowMs : readAssumedMs(route);
  const longestMs = durations.readLongest(route.name, assumedMs, nowMs);
  return (isLateStream ? LATE_STREAM_FACTOR : 1) * (longestMs - answeredForMs) <= remainingMs;
}

/** Duration to assume before any response was seen; unknown for streams, whose target is the time until their first event. */
function readAssumedMs({ kind, targetLatencyMs }: Route): number | undefined {
  return kind === 'stream' ? undefined : targetLatencyMs;
}
