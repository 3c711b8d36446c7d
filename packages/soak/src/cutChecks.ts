/** Checks that a box that is cut off from all endpoints serves its callers almost as often as the other boxes. */
import type { CallerRecord, Disturbance, Ledger } from './ledger.js';
import type { Violation } from './violation.js';
import { isServed, SETTLE_MS } from './violation.js';

/** Time from the beginning of a cut from which on requests count. */
const DETECTION_MS = 3_000;
const MIN_SERVED_SHARE = 2 / 3;
/** Requests that may fail: so many, and a share of all. */
const FAILURES_ALLOWED = 10;
const FAILED_SHARE_ALLOWED = 1 / 50;

/** Runs the check for each cut. */
export function checkCutOffBoxes(ledger: Ledger): Violation[] {
  return ledger.cuts.flatMap((cut) => {
    const fromMs = cut.fromMs + DETECTION_MS;
    const inTime = ledger.requests.filter(({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs < cut.toMs);
    const own = inTime.filter((request) => request.box === cut.entity && isUndisturbed(ledger, request));
    const others = inTime.filter((request) => isComparable(ledger, request));
    if (own.length === 0 || others.length === 0) return [];
    const served = own.filter(isServed).length;
    const servedByOthers = others.filter(isServed).length;
    const isShareLow = served / own.length < MIN_SERVED_SHARE * (servedByOthers / others.length);
    const failed = own.length - served;
    if (!isShareLow || failed <= FAILURES_ALLOWED + own.length * FAILED_SHARE_ALLOWED) return [];
    const detail = `${cut.entity} ${served} of ${own.length}, others ${servedByOthers} of ${others.length}, from ${fromMs}`;
    return [{ check: 'a box cut off from endpoints serves', detail }];
  });
}

function isComparable(ledger: Ledger, request: CallerRecord): boolean {
  return isUndisturbed(ledger, request) && !isCut(ledger.cuts, request);
}

function isUndisturbed(ledger: Ledger, { box, sentAtMs, endedAtMs }: CallerRecord): boolean {
  return ledger.wasUndisturbed(box, sentAtMs, endedAtMs, SETTLE_MS);
}

function isCut(cuts: readonly Disturbance[], { box, sentAtMs }: CallerRecord): boolean {
  return cuts.some(({ entity, fromMs, toMs }) => entity === box && sentAtMs >= fromMs && sentAtMs < toMs);
}
