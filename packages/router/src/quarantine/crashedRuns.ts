/**
 * Runs of one request that ended with their endpoint, and how many crashes they prove.
 *
 * Crashes count one after the other: a run counts if it began after the crash counted before it. Endpoints that go down
 * together (a rack, a hall behind a cut that refuses) share a cause, and many requests for the same, under way on several
 * of them, would otherwise be condemned by one fault. A request that does crash its endpoints has such a chain of crashes
 * as soon as it was sent again twice.
 */

/** A run of a request that ended with its endpoint. */
export interface CrashedRun {
  /** Tag of the endpoint. */
  readonly endpointTag: number;
  /** Names the life of the box that saw it. */
  readonly reporter: number;
  /** On the clock of that life. */
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** When it ended, on the clock of the box that keeps it; later than it was by what the news took. */
  readonly localEndAtMs: number;
  /** The box that keeps it saw it itself. */
  readonly isLocal?: boolean;
}

/**
 * Times told by two boxes are compared with this much in doubt: news take a few milliseconds and up to one tick of either
 * loop (40 ms); the rest is for boxes that are slow. What one box saw is compared by its own clock, without doubt; so is the
 * start of a run of its own with a crash that it was told of, which was over before the news came.
 */
const CLOCK_MARGIN_MS = 250;
/** Runs kept for one request: the chain that counts, and some of the others. */
const MAX_KEPT_RUNS = 8;

/**
 * Returns the crashes that count, the earliest first.
 *
 * @example findCrashChain([{ endpointTag: 1, witness: 1, sentAtMs: 0, endedAtMs: 50, heardEndAtMs: 50 }]).length // 1
 */
export function findCrashChain(runs: readonly CrashedRun[]): CrashedRun[] {
  const chain: CrashedRun[] = [];
  for (const run of [...runs].sort((a, b) => a.localEndAtMs - b.localEndAtMs)) {
    const last = chain.at(-1);
    if (last === undefined || beganAfter(run, last)) chain.push(run);
  }
  return chain;
}

/**
 * Adds a run to those known; undefined if it tells nothing new. Of several copies that one endpoint had when it crashed
 * the one sent last is kept: it began after the most other crashes.
 */
export function addCrashedRun(
  runs: readonly CrashedRun[],
  run: CrashedRun,
): readonly CrashedRun[] | undefined {
  if (runs.some((other) => isSameRun(other, run))) return undefined;
  const copy = runs.find((other) => isSameCrash(other, run));
  if (copy !== undefined && readHeardSendMs(run) <= readHeardSendMs(copy) + CLOCK_MARGIN_MS) return undefined;
  const kept = keepMostTelling([...runs.filter((other) => other !== copy), run]);
  return kept.includes(run) ? kept : undefined;
}

/** When the last of these crashes was; minus infinity if there is none. */
export function readLastCrashMs(runs: readonly CrashedRun[]): number {
  return Math.max(...runs.map((run) => run.localEndAtMs));
}

function isSameRun(a: CrashedRun, b: CrashedRun): boolean {
  return a.endpointTag === b.endpointTag && a.reporter === b.reporter && a.sentAtMs === b.sentAtMs;
}

function beganAfter(run: CrashedRun, earlier: CrashedRun): boolean {
  if (run.reporter === earlier.reporter) return run.sentAtMs >= earlier.endedAtMs;
  const doubtMs = run.isLocal === true ? 0 : CLOCK_MARGIN_MS;
  return readHeardSendMs(run) >= earlier.localEndAtMs + doubtMs;
}

function readHeardSendMs({ localEndAtMs: heardEndAtMs, endedAtMs, sentAtMs }: CrashedRun): number {
  return heardEndAtMs - (endedAtMs - sentAtMs);
}

/** An endpoint that is back under its id may crash again: a run that began after the first crash belongs to another. */
export function isSameCrash(a: CrashedRun, b: CrashedRun): boolean {
  return a.endpointTag === b.endpointTag && !beganAfter(a, b) && !beganAfter(b, a);
}

function keepMostTelling(runs: readonly CrashedRun[]): readonly CrashedRun[] {
  if (runs.length <= MAX_KEPT_RUNS) return runs;
  const chain = findCrashChain(runs);
  // By an order on which all boxes agree, so that none hands on what the others have dropped.
  const others = runs
    .filter((run) => !chain.includes(run))
    .sort((a, b) => a.reporter - b.reporter || a.sentAtMs - b.sentAtMs);
  return [...chain, ...others].slice(0, MAX_KEPT_RUNS);
}
