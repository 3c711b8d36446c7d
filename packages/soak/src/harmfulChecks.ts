/** Checks that requests with a part that crashes endpoints are soon sent to none of them any more. */
import type { Ledger } from './ledger.js';
import type { Violation } from './violation.js';
import { SETTLE_MS, TOLERANCE_MS } from './violation.js';

/** Crashes after which the part is known for what it is. */
const KNOWN_AFTER_CRASHES = 5;
const MAX_LATE_RUNS = 3;

/** Runs the check. Boxes that have just started, or were cut off, have the time to settle that all checks allow. */
export function checkHarmfulParts(ledger: Ledger): Violation[] {
  const knownAtMs = ledger.harmfulCrashesAtMs[KNOWN_AFTER_CRASHES - 1];
  if (knownAtMs === undefined) return [];
  const late = ledger.runs.filter(
    ({ requestId, atMs }) => ledger.harmfulIds.has(requestId) && atMs > knownAtMs + SETTLE_MS + TOLERANCE_MS,
  );
  if (late.length <= MAX_LATE_RUNS) return [];
  const detail = `${late.length} runs, the last ${Math.round((late.at(-1)?.atMs ?? 0) - knownAtMs)} ms after the fifth crash`;
  return [{ check: 'harmful parts reach no endpoints', detail }];
}
