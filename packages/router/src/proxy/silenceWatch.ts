/** Watches one attempt for silence: what it means for its connections, and what to do about the request. */
import type { Route } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import type { Attempt } from './attempt.js';
import type { SilenceVerdict } from './silence.js';
import { judgeSilence } from './silence.js';

/** A kept connection that says nothing for so long may be dead: several times what endpoints take for an answer. */
const SILENT_CONNECTION_MS = 1_000;

/** What the request knows. */
export interface WatchedRequest {
  readonly route: Route;
  /** When the last piece of its answer came; undefined before its answer has begun. */
  readonly answeredAtMs: number | undefined;
  /** Other attempts of it are under way. */
  readonly hasOthers: boolean;
  readonly nowMs: number;
}

/** Judges how long an attempt has said nothing. */
export function watchSilence(
  context: RouterContext,
  attempt: Attempt,
  { route, answeredAtMs, hasOthers, nowMs }: WatchedRequest,
): { readonly verdict: SilenceVerdict; readonly silentMs: number } {
  const isAnswering = answeredAtMs !== undefined;
  const silentMs = nowMs - (answeredAtMs ?? attempt.sentAtMs);
  if (!isAnswering) doubtConnection(context, attempt, silentMs);
  const isUnreachable = attempt.row.standing.type === 'unreachable';
  return { verdict: judgeSilence({ route, silentMs, isUnreachable, hasOthers, isAnswering }), silentMs };
}

/** Open connections may go silent without a reset while new ones work: what comes next goes on a new one. */
function doubtConnection(context: RouterContext, attempt: Attempt, silentMs: number): void {
  if (attempt.isDoubted || silentMs < SILENT_CONNECTION_MS || !attempt.isOnKeptConnection) return;
  attempt.isDoubted = true;
  context.connections.retireIdle(attempt.row.listing.id);
  context.metrics.retiredPools.inc();
}
