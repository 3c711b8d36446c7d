/** Watches one attempt for silence: what it means for its connections, and what to do about the request. */
import type { Route } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import type { Attempt } from './attempt.js';
import type { SilenceVerdict } from './silence.js';
import { decideOnSilence } from './silence.js';

/** A kept connection that says nothing for so long may be dead: several times what endpoints take for an answer. */
const SILENT_CONNECTION_MS = 1_000;

/**
 * A second endpoint that was not allowed is asked for again after this. Where all endpoints are late many requests wait so, and
 * each asks the budget and writes a line: at every tick that would be the work of an overloaded box.
 */
const HEDGE_PAUSE_MS = 200;

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
): { readonly action: SilenceVerdict; readonly silentMs: number } {
  const isAnswering = answeredAtMs !== undefined;
  const silentMs = nowMs - (answeredAtMs ?? attempt.sentAtMs);
  if (!isAnswering) doubtConnection(context, attempt, silentMs);
  const isUnreachable = attempt.row.health.type === 'unreachable';
  const verdict = decideOnSilence({ route, silentMs, isUnreachable, hasOthers, isAnswering });
  return { action: verdict === 'hedge' ? paceHedge(attempt, nowMs) : verdict, silentMs };
}

function paceHedge(attempt: Attempt, nowMs: number): SilenceVerdict {
  if (nowMs - attempt.hedgeWantedAtMs < HEDGE_PAUSE_MS) return 'wait';
  attempt.hedgeWantedAtMs = nowMs;
  return 'hedge';
}

/** Open connections may go silent without a reset while new ones work: what comes next goes on a new one. */
function doubtConnection(context: RouterContext, attempt: Attempt, silentMs: number): void {
  if (attempt.isDoubted || silentMs < SILENT_CONNECTION_MS || !attempt.isOnKeptConnection) return;
  attempt.isDoubted = true;
  context.connections.retireIdle(attempt.row.listing.id);
  context.metrics.retiredPools.inc();
}
