/** Checks of planned stops: what a stopping box has taken is answered or refused, and the box exits by itself. */
import type { CallerRecord, Ledger, RunRecord } from './ledger.js';
import type { Violation } from './violation.js';
import { createViolation, isStream, SETTLE_MS } from './violation.js';

/** The exit of a box is recorded this late at most. */
const EXIT_SLACK_MS = 1_000;
/** A request that ends sooner than this may have crossed the end of its connection. */
const CROSSING_MS = 200;
/** What was sent later than this after the stop request has no excuse. */
const EXCUSED_MS = 3_000;
/** Share of the stop after which an earlier request that its endpoint still works on may be cut off. */
const EXCUSED_SHARE = 5 / 6;

/** A planned stop: when it was requested, and when the box was gone. */
interface Stop {
  readonly box: string;
  readonly atMs: number;
  readonly goneAtMs: number;
}

/** Checks what became of the requests of boxes that were stopped. */
export function checkStoppedBoxes(ledger: Ledger): Violation[] {
  const runs = new Map(ledger.runs.map((run) => [run.requestId, run]));
  const lost = listStops(ledger).flatMap((stop) =>
    ledger.requests
      .filter((request) => isWithin(request, stop) && request.outcome.type === 'cut')
      .filter((request) => !isExcused(request, runs.get(request.requestId), stop))
      .filter((request) => ledger.wasFreeOfFaults(request.sentAtMs, request.endedAtMs, SETTLE_MS))
      .map((request) => {
        const what = runs.has(request.requestId) ? 'run' : 'read';
        const detail = `${what} and never answered, stopped at ${stop.atMs}`;
        return createViolation('a stopping box loses nothing', request, detail);
      }),
  );
  const outstayed = ledger.events
    .filter((event) => event.type === 'boxOutstayed')
    .map((event) => ({ check: 'a stopping box exits in time', detail: JSON.stringify(event) }));
  return [...lost, ...outstayed];
}

function listStops(ledger: Ledger): Stop[] {
  return ledger.events.flatMap((event) => {
    if (event.type !== 'boxStop') return [];
    const { box, atMs } = event;
    const restarts = ledger.interruptions.filter(({ entity, fromMs }) => entity === box && fromMs >= atMs);
    const goneAtMs = Math.min(Infinity, ...restarts.map(({ fromMs }) => fromMs));
    return [{ box, atMs, goneAtMs }];
  });
}

function isWithin({ box, endedAtMs }: CallerRecord, stop: Stop): boolean {
  return box === stop.box && endedAtMs >= stop.atMs && endedAtMs <= stop.goneAtMs + EXIT_SLACK_MS;
}

/**
 * Whether a request may have ended without a response: it crossed the end of its connection, or it is a stream that outlasts the
 * stop. All orders are shorter than the shortest grace time.
 */
function isExcused(request: CallerRecord, run: RunRecord | undefined, { atMs, goneAtMs }: Stop): boolean {
  if (run === undefined) return request.endedAtMs - request.sentAtMs <= CROSSING_MS;
  if (!isStream(request.route)) return false;
  const lastPartMs = atMs + (goneAtMs - atMs) * EXCUSED_SHARE;
  return request.sentAtMs <= atMs + EXCUSED_MS && run.endedAtMs >= lastPartMs;
}
