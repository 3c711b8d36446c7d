/**
 * Requests that crash the endpoints that run them, by their content: counted over all boxes, and not sent to endpoints
 * any more after the third crash. Without this one such request ended 46 runs of 13 engines in 110 s.
 *
 * A crash proves little against any one of the requests that were under way there, so the first condemns none: the
 * requests go on elsewhere as their kind allows. Those that meet a second crash are spread at random from then on, so that
 * innocent ones do not go along with the guilty one from endpoint to endpoint. A whole answer clears a request at once.
 */
import { BoundedBook } from './boundedBook.js';
import type { CrashedRun } from './crashedRuns.js';
import { addCrashedRun, findCrashChain } from './crashedRuns.js';

/** Crashes one after the other after which a request is sent to endpoints no more. */
export const CONDEMNING_CRASHES = 3;
/** Crashes after which the endpoint of a request is drawn at random instead of following its prompt. */
const SPREADING_CRASHES = 2;
/**
 * How long a request is not sent to endpoints after its last crash. Long enough that a caller who comes again all the
 * time costs one endpoint each ten minutes; short enough that a mended endpoint serves the request the same day.
 */
export const QUARANTINE_MS = 600_000;
/** Requests seen in one crash: the ones in flight at some hundred crashes. The oldest are dropped first. */
const MAX_SEEN_ONCE = 4_096;
/** Requests seen in two crashes; and those not sent any more. With the ones above some three megabytes. */
const MAX_SEEN_TWICE = 1_024;
const MAX_QUARANTINED = 1_024;
/** Pace at which what is too old is dropped. */
const SWEEP_MS = 1_000;

/** What happened to the standing of a request. */
export type QuarantineChange =
  /** It met another crash, which does not condemn it yet. */
  | 'suspected'
  /** It is not sent to endpoints any more. */
  | 'quarantined'
  /** An endpoint answered it whole. */
  | 'cleared'
  /** Its time is over: it may be sent again, and the next crash condemns it. */
  | 'ended';

/** Whether the crashes of a request have been enough already. */
type Verdict =
  | 'none'
  /** By this box's own count, or by that of another. */
  | 'condemned'
  /** It was condemned, and the time for which that holds is over. */
  | 'released';

/** What a box knows against one request. */
export interface SuspectRecord {
  readonly runs: readonly CrashedRun[];
  /** Crashes that count. */
  readonly crashes: number;
  readonly verdict: Verdict;
  /** Until when it is not sent; undefined if it may be. */
  readonly untilMs: number | undefined;
  readonly changedAtMs: number;
}

/** Told when the standing of a request changes. */
export type OnQuarantineChange = (content: string, change: QuarantineChange, record: SuspectRecord) => void;

/** One box's record of requests that were under way at endpoints that crashed. */
export class Quarantine {
  private readonly seenOnce = new BoundedBook<SuspectRecord>(MAX_SEEN_ONCE);
  private readonly seenTwice = new BoundedBook<SuspectRecord>(MAX_SEEN_TWICE);
  private readonly quarantined = new BoundedBook<SuspectRecord>(MAX_QUARANTINED);
  private sweptAtMs = -Infinity;

  constructor(
    private readonly now: () => number,
    private readonly onChange: OnQuarantineChange,
  ) {}

  /** Whether nothing is known against any request: then none needs to be named by its content. */
  get isEmpty(): boolean {
    return this.listBooks().every((book) => book.size === 0);
  }

  /** Requests that are not sent to endpoints now. */
  get quarantinedCount(): number {
    return this.quarantined.size;
  }

  /** For how long a request is not to be sent to any endpoint; 0 if it may be sent. */
  readWaitMs(content: string): number {
    const untilMs = this.quarantined.get(content)?.untilMs ?? 0;
    return Math.max(0, untilMs - this.now());
  }

  /** Whether a request met a crash lately. */
  isSuspected(content: string): boolean {
    return this.find(content) !== undefined;
  }

  /** Whether a request is to be kept apart from those that it was together with so far. */
  mustSpread(content: string): boolean {
    return (this.find(content)?.crashes ?? 0) >= SPREADING_CRASHES;
  }

  /** Notes a run that ended with its endpoint; false if that was known or is too long ago. */
  noteCrash(content: string, run: CrashedRun): boolean {
    const nowMs = this.now();
    if (nowMs - run.heardEndAtMs >= QUARANTINE_MS) return false;
    const known = this.find(content);
    const runs = addCrashedRun(known?.runs ?? [], run);
    if (runs === undefined) return false;
    const record = judge(runs, known?.verdict ?? 'none', nowMs);
    this.keep(content, record);
    if (record.crashes > (known?.crashes ?? 0)) {
      this.onChange(content, record.verdict === 'condemned' ? 'quarantined' : 'suspected', record);
    }
    return true;
  }

  /**
   * Another box has condemned a request. News that a cut held up all seem to be of one moment, so that this box may not
   * see by itself that the crashes came one after the other. False if nothing follows from it.
   */
  noteVerdict(content: string, lastCrashAtMs: number): boolean {
    const nowMs = this.now();
    const untilMs = lastCrashAtMs + QUARANTINE_MS;
    if (untilMs <= nowMs || this.readWaitMs(content) > 0) return false;
    const runs = this.find(content)?.runs ?? [];
    const record: SuspectRecord = {
      runs,
      crashes: CONDEMNING_CRASHES,
      verdict: 'condemned',
      untilMs,
      changedAtMs: nowMs,
    };
    this.keep(content, record);
    this.onChange(content, 'quarantined', record);
    return true;
  }

  /** Notes that a request was answered whole: it does not crash its endpoints. False if nothing was known against it. */
  noteAnswered(content: string): boolean {
    const known = this.find(content);
    if (known === undefined) return false;
    this.drop(content);
    this.onChange(content, 'cleared', known);
    return true;
  }

  /** What is known, the requests that most is known against first, for a box that may have missed it. */
  listWorst(maxRequests: number): [string, SuspectRecord][] {
    const worst = [...this.quarantined.listNewest(), ...this.seenTwice.listNewest()];
    return worst.slice(0, maxRequests);
  }

  /** Runs once a tick: what is too old ends. */
  tick(): void {
    const nowMs = this.now();
    if (nowMs - this.sweptAtMs < SWEEP_MS) return;
    this.sweptAtMs = nowMs;
    for (const [content, record] of this.quarantined.iterate()) {
      if (nowMs >= (record.untilMs ?? 0)) this.end(content, nowMs);
    }
    for (const book of [this.seenOnce, this.seenTwice]) {
      for (const [content, { changedAtMs }] of book.iterate()) {
        if (nowMs - changedAtMs >= QUARANTINE_MS) book.delete(content);
      }
    }
  }

  /** One crash more is enough after that: the request is known. */
  private end(content: string, nowMs: number): void {
    const released: SuspectRecord = {
      runs: [],
      crashes: CONDEMNING_CRASHES - 1,
      verdict: 'released',
      untilMs: undefined,
      changedAtMs: nowMs,
    };
    this.keep(content, released);
    this.onChange(content, 'ended', released);
  }

  private find(content: string): SuspectRecord | undefined {
    for (const book of this.listBooks()) {
      const record = book.get(content);
      if (record !== undefined) return record;
    }
    return undefined;
  }

  private keep(content: string, record: SuspectRecord): void {
    this.drop(content);
    this.pickBook(record).set(content, record);
  }

  private pickBook({ crashes, untilMs }: SuspectRecord): BoundedBook<SuspectRecord> {
    if (untilMs !== undefined) return this.quarantined;
    return crashes < SPREADING_CRASHES ? this.seenOnce : this.seenTwice;
  }

  private drop(content: string): void {
    for (const book of this.listBooks()) book.delete(content);
  }

  private listBooks(): BoundedBook<SuspectRecord>[] {
    return [this.quarantined, this.seenTwice, this.seenOnce];
  }
}

function judge(runs: readonly CrashedRun[], before: Verdict, nowMs: number): SuspectRecord {
  const crashes = findCrashChain(runs).length;
  const isCondemned = before !== 'none' || crashes >= CONDEMNING_CRASHES;
  if (!isCondemned) return { runs, crashes, verdict: 'none', untilMs: undefined, changedAtMs: nowMs };
  return {
    runs,
    crashes: Math.max(crashes, CONDEMNING_CRASHES),
    verdict: 'condemned',
    untilMs: Math.max(...runs.map((run) => run.heardEndAtMs)) + QUARANTINE_MS,
    changedAtMs: nowMs,
  };
}
