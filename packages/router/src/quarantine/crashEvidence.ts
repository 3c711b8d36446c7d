/**
 * What crashes prove against a request, or a part of a prompt. A crash is no evidence where another request in flight there
 * explains it, or another part of the same prompt that was in flight during more crashes.
 */
import type { CrashedRun } from './crashedRuns.js';
import { findCrashChain, isOfSameRequest, isSameCrash } from './crashedRuns.js';
import type { QuarantineScope } from './quarantineScope.js';
import { findScope, isInScope } from './quarantineScope.js';
import type { QuarantineState, SuspectRecord, SuspectTable } from './suspectTable.js';

/** Sequential crashes, none of them explained by another request, after which a request is quarantined. */
export const QUARANTINE_THRESHOLD = 3;
/** Crashes after which other possible causes no longer matter: two requests at fault may always arrive together. */
const UNCONDITIONAL_THRESHOLD = 6;

/**
 * The requests that the crashes of a fingerprint prove to be at fault; undefined if they prove nothing.
 *
 * @example findProvenScope(table, fingerprint, record) // UNLIMITED_SCOPE for a whole request with three crashes
 */
export function findProvenScope(
  table: SuspectTable,
  fingerprint: string,
  record: SuspectRecord,
): QuarantineScope | undefined {
  const unexplained = listUnexplained(table, fingerprint, record);
  if (findCrashChain(unexplained).length >= QUARANTINE_THRESHOLD) return findScope(fingerprint, unexplained);
  return record.crashes >= UNCONDITIONAL_THRESHOLD ? findScope(fingerprint, record.runs) : undefined;
}

/**
 * The crashed runs of a fingerprint that nothing else explains.
 *
 * @example listUnexplained(table, fingerprint, record).length // 0 if a quarantined request was in flight at each crash
 */
export function listUnexplained(
  table: SuspectTable,
  fingerprint: string,
  record: SuspectRecord,
): CrashedRun[] {
  return record.runs.filter(
    (run) =>
      !isExplainedByRequest(table, fingerprint, record, run) &&
      !isExplainedByPart(table, fingerprint, record, run),
  );
}

/** Whether another request in flight during that crash is quarantined, or was in flight during at least as many. */
function isExplainedByRequest(
  table: SuspectTable,
  fingerprint: string,
  { crashes }: SuspectRecord,
  run: CrashedRun,
): boolean {
  return table
    .listConcurrent(fingerprint, run)
    .some((other) =>
      other.runs.some(
        (one) =>
          (other.crashes >= crashes || isQuarantined(other.state, one)) &&
          isSameCrash(one, run) &&
          !isOfSameRequest(one, run),
      ),
    );
}

/**
 * Whether another part of the same prompt was in flight during more crashes, so that the part is one of many that came with
 * it. The whole request is never explained by its parts: it is the least that can be at fault.
 */
function isExplainedByPart(
  table: SuspectTable,
  fingerprint: string,
  { runs }: SuspectRecord,
  run: CrashedRun,
): boolean {
  const [whole, ...parts] = run.request?.fingerprints ?? [];
  if (whole === fingerprint) return false;
  return parts.some((part) => (table.find(part)?.runs.length ?? 0) > runs.length);
}

function isQuarantined(state: QuarantineState, { request }: CrashedRun): boolean {
  return state.type === 'quarantined' && (request === undefined || isInScope(state.scope, request));
}
