/**
 * Runs of one request that ended when their endpoint crashed, and how many crashes count against the request.
 *
 * Only sequential crashes count: a run counts if it started after the previously counted crash. Endpoints that fail
 * together (a rack, or a hall behind a network cut that refuses connections) share a cause, and without this rule one
 * such fault would quarantine a request of which many copies were running on several of them. A request that does crash
 * its endpoints produces a chain of sequential crashes as soon as it has been retried twice.
 */

import type { BlamedRequest } from './blamedRequest.js';

/** A run of a request that ended when its endpoint crashed. */
export interface CrashedRun {
  /** Tag of the endpoint. */
  readonly endpointTag: number;
  /** Identifies the incarnation of the box that observed the crash; `witness` in frames and log lines. */
  readonly reporter: number;
  /** On the reporter's clock. */
  readonly sentAtMs: number;
  /** On the reporter's clock. */
  readonly endedAtMs: number;
  /** End of the run on the clock of the box that keeps the record, late by the time of its reporter's fastest report. */
  readonly localEndAtMs: number;
  /** The box that keeps the record observed the crash itself. */
  readonly isLocal?: boolean;
  /** The request that ran; undefined if the reporter is of an earlier version, which blames whole requests only. */
  readonly request?: BlamedRequest | undefined;
}

/**
 * Margin for comparing times that two boxes reported: a report takes a few milliseconds and up to one tick of either
 * loop (40 ms); the rest is for slow boxes. Times of one reporter are on one clock and compared without a margin; so is
 * the start of a local run with the end of a reported one, since that crash was over before its report arrived.
 */
const CLOCK_MARGIN_MS = 250;
/** Runs kept for one request: the chain that counts, and some others. */
const MAX_KEPT_RUNS = 16;

/**
 * Returns the sequential crashes that count, the earliest first.
 *
 * @example findCrashChain([{ endpointTag: 1, reporter: 1, sentAtMs: 0, endedAtMs: 50, localEndAtMs: 50 }]).length // 1
 */
export function findCrashChain(runs: readonly CrashedRun[]): CrashedRun[] {
  const chain: CrashedRun[] = [];
  for (const run of [...runs].sort((a, b) => a.localEndAtMs - b.localEndAtMs)) {
    const last = chain.at(-1);
    if (last === undefined || startedAfter(run, last)) chain.push(run);
  }
  return chain;
}

/**
 * Adds a run to the known ones; returns undefined if it adds no information. Of several copies that were running on one
 * endpoint when it crashed, the one sent last is kept: it started after the largest number of other crashes.
 */
export function addCrashedRun(
  runs: readonly CrashedRun[],
  run: CrashedRun,
): readonly CrashedRun[] | undefined {
  if (runs.some((other) => isSameRun(other, run))) return undefined;
  const [added, ...known] = alignReports(run, runs);
  const copy = known.find((other) => isSameCrash(other, added));
  if (copy !== undefined && readLocalSendMs(added) <= readLocalSendMs(copy) + CLOCK_MARGIN_MS)
    return undefined;
  const kept = limitRuns([...known.filter((other) => other !== copy), added]);
  return kept.includes(added) ? kept : undefined;
}

/**
 * Puts all runs of the new run's reporter on the local clock by the fastest of their reports, so that they stay in the
 * order in which the reporter observed them. Returns the new run first.
 */
function alignReports(run: CrashedRun, runs: readonly CrashedRun[]): [CrashedRun, ...CrashedRun[]] {
  const { reporter } = run;
  const reported = [run, ...runs].filter((other) => other.reporter === reporter);
  const offsetMs = Math.min(...reported.map(({ localEndAtMs, endedAtMs }) => localEndAtMs - endedAtMs));
  const align = (one: CrashedRun): CrashedRun =>
    one.reporter === reporter ? { ...one, localEndAtMs: one.endedAtMs + offsetMs } : one;
  return [align(run), ...runs.map(align)];
}

/** Time of the last of these crashes; minus infinity if there is none. */
export function readLastCrashMs(runs: readonly CrashedRun[]): number {
  return Math.max(...runs.map((run) => run.localEndAtMs));
}

/**
 * Whether two runs are of one request at one endpoint, recorded for different fingerprints of the request.
 *
 * @example isOfSameRequest(runOfPart, runOfOtherPart) // their crash blames both
 */
export function isOfSameRequest(a: CrashedRun, b: CrashedRun): boolean {
  return a.request !== undefined && b.request !== undefined && isSameRun(a, b);
}

function isSameRun(a: CrashedRun, b: CrashedRun): boolean {
  return a.endpointTag === b.endpointTag && a.reporter === b.reporter && a.sentAtMs === b.sentAtMs;
}

function startedAfter(run: CrashedRun, earlier: CrashedRun): boolean {
  if (run.reporter === earlier.reporter) return run.sentAtMs >= earlier.endedAtMs;
  const marginMs = run.isLocal === true ? 0 : CLOCK_MARGIN_MS;
  return readLocalSendMs(run) >= earlier.localEndAtMs + marginMs;
}

function readLocalSendMs({ localEndAtMs, endedAtMs, sentAtMs }: CrashedRun): number {
  return localEndAtMs - (endedAtMs - sentAtMs);
}

/**
 * Whether two runs ended in the same crash of an endpoint. An endpoint that restarted under the same id may crash again:
 * a run that started after the first crash belongs to a later one.
 */
export function isSameCrash(a: CrashedRun, b: CrashedRun): boolean {
  return a.endpointTag === b.endpointTag && !startedAfter(a, b) && !startedAfter(b, a);
}

/** Keeps the chain that counts and as many of the other runs as fit. */
function limitRuns(runs: readonly CrashedRun[]): readonly CrashedRun[] {
  if (runs.length <= MAX_KEPT_RUNS) return runs;
  const chain = findCrashChain(runs);
  // All boxes use the same order, so that none relays a run that the others have dropped.
  const others = runs
    .filter((run) => !chain.includes(run))
    .sort((a, b) => a.reporter - b.reporter || a.sentAtMs - b.sentAtMs);
  return [...chain, ...others].slice(0, MAX_KEPT_RUNS);
}
