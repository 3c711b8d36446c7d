/** Monitors an attempt whose endpoint does not respond: retires connections and decides about hedging. */
import type { Route } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import { isDirectPathSilent } from '../tables/endpointPath.js';
import type { Attempt } from './attempt.js';
import type { SilenceAction } from './silence.js';
import { decideOnSilence } from './silence.js';

/** A kept-alive connection without a response for this long may be dead: several times the usual response time. */
const SILENT_CONNECTION_MS = 1_000;

/** Sound endpoints may send nothing, and answer no new connection, for a second or so, and then go on. */
const SOUND_SILENCE_MS = 2_000;

/**
 * Time after which a hedge or a move that was denied is requested again. Each request for one checks the retry budget and
 * writes a log line. If all endpoints are slow, many requests wait for one, and doing this at every tick would
 * take up the time of an overloaded box.
 */
const DENIED_RETRY_INTERVAL_MS = 200;

/** State of the request to which the attempt belongs. */
export interface WatchedRequest {
  readonly route: Route;
  /** When data of the response was last received; undefined before the response has started. */
  readonly lastDataAtMs: number | undefined;
  /** Other attempts of the request are in progress. */
  readonly hasOthers: boolean;
  readonly nowMs: number;
}

/** Measures the silence of an attempt and decides how to react to it. */
export function watchSilence(
  context: RouterContext,
  attempt: Attempt,
  { route, lastDataAtMs, hasOthers, nowMs }: WatchedRequest,
): { readonly action: SilenceAction; readonly silentMs: number } {
  const isAnswering = lastDataAtMs !== undefined;
  const silentMs = nowMs - (lastDataAtMs ?? attempt.sentAtMs);
  if (!isAnswering) retireIdleIfSilent(context, attempt, silentMs);
  const isUnreachable = isOnSilentPath(attempt);
  const action = decideOnSilence({ route, silentMs, isUnreachable, hasOthers, isAnswering });
  return { action: action === 'wait' ? action : limitRate(action, attempt, nowMs), silentMs };
}

/**
 * Counts the silence of an attempt against its endpoint, once. Without a retry it counts only if this box has heard
 * nothing from the endpoint since: the request may just wait there for a slot.
 *
 * @example recordSilence(context, attempt, false) // its hedge was denied
 */
export function recordSilence(context: RouterContext, attempt: Attempt, isRetried: boolean): void {
  const { row } = attempt;
  if (attempt.hasRecordedSilence) return;
  if (!isRetried && row.lastResponseAtMs >= attempt.sentAtMs) return;
  attempt.hasRecordedSilence = true;
  context.recordHealthSignal(row, 'silent');
}

/**
 * Whether the connection of an attempt has probably stopped working: new ones on its path get no answer.
 *
 * @example isOnSilentPath(attempt) // true for a direct connection while new ones only succeed through other boxes
 */
export function isOnSilentPath({ row, tunnel }: Pick<Attempt, 'row' | 'tunnel'>): boolean {
  return row.health.type === 'unreachable' || (tunnel === undefined && isDirectPathSilent(row.path));
}

/**
 * Whether a request need not wait any longer for the silent endpoint of an attempt: its process has exited, or its connection
 * works no more and the silence is longer than that of an endpoint that goes on.
 *
 * @example isWaitingUseless(attempt, 500) // false while a sound endpoint sends nothing
 */
export function isWaitingUseless(attempt: Pick<Attempt, 'row' | 'tunnel'>, silentMs: number): boolean {
  const { health } = attempt.row;
  if (health.type === 'unreachable' && health.isProcessGone) return true;
  return isOnSilentPath(attempt) && silentMs >= SOUND_SILENCE_MS;
}

function limitRate(action: SilenceAction, attempt: Attempt, nowMs: number): SilenceAction {
  if (nowMs - attempt.retryWantedAtMs < DENIED_RETRY_INTERVAL_MS) return 'wait';
  attempt.retryWantedAtMs = nowMs;
  return action;
}

/** Open connections can stop working without a reset while new ones work: later requests get new connections. */
function retireIdleIfSilent(context: RouterContext, attempt: Attempt, silentMs: number): void {
  if (attempt.hasRetiredConnections || silentMs < SILENT_CONNECTION_MS || !attempt.isOnKeptConnection) return;
  attempt.hasRetiredConnections = true;
  context.connections.retireIdle(attempt.row.listing.id);
  context.metrics.retiredPools.inc();
}
