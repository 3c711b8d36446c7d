/**
 * Requests that crash the endpoints that run them, by their content: counted over all boxes, and not sent to endpoints
 * any more after the third crash. Without this one such request ended 46 runs of 13 engines in 110 s.
 *
 * A crash proves little against any one of the requests that were under way there, so the first condemns none: the
 * requests go on elsewhere as their kind allows. Three things keep innocent ones apart from the guilty. From the second
 * crash on the endpoint of a request is drawn at random, so that it does not go along with the guilty one from endpoint to
 * endpoint. A crash does not count against a request if another one under way there is condemned or has met at least as many. And a whole
 * answer clears a request at once.
 */
import type { CrashedRun } from './crashedRuns.js';
import { addCrashedRun, findCrashChain, isSameCrash, readLastCrashMs } from './crashedRuns.js';
import type { SuspectRecord } from './suspectTable.js';
import { SuspectTable } from './suspectTable.js';

/** Crashes one after the other, each not explained by another request, after which a request is sent no more. */
export const QUARANTINE_THRESHOLD = 3;
/** Crashes after which it does not matter whether others may have caused them: two guilty ones may come together. */
const CONDEMNING_CRASHES_AT_ALL = 6;
/** Crashes after which the endpoint of a request is drawn at random instead of following its prompt. */
const SPREADING_CRASHES = 2;
/**
 * How long a request is not sent to endpoints after its last crash. Long enough that a caller who comes again all the
 * time costs one endpoint each ten minutes; short enough that a mended endpoint serves the request the same day.
 */
export const QUARANTINE_MS = 600_000;
/**
 * A request with enough crashes is judged after this long, and is not sent meanwhile: other boxes saw who else was under
 * way there, and tell it within three ticks of 40 ms and the links between them.
 */
export const DECISION_DELAY_MS = 300;
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

/** Told when the standing of a request changes. */
export type OnQuarantineChange = (content: string, change: QuarantineChange, record: SuspectRecord) => void;

/** One box's record of requests that were under way at endpoints that crashed. */
export class Quarantine {
  private readonly table = new SuspectTable();
  private readonly pending = new Set<string>();
  private sweptAtMs = -Infinity;

  constructor(
    private readonly now: () => number,
    private readonly onChange: OnQuarantineChange,
  ) {}

  /** Whether nothing is known against any request: then none needs to be named by its content. */
  get isEmpty(): boolean {
    return this.table.isEmpty;
  }

  /** Requests that are not sent to endpoints now. */
  get quarantinedCount(): number {
    return this.table.quarantined.size;
  }

  /** For how long a request is not to be sent to any endpoint; 0 if it may be sent. */
  readRemainingMs(content: string): number {
    const verdict = this.table.quarantined.peek(content)?.state;
    return verdict?.type === 'quarantined' ? Math.max(0, verdict.untilMs - this.now()) : 0;
  }

  /** How long it takes until a request is judged; 0 if it does not wait for that. */
  readDecisionDelayMs(content: string): number {
    if (!this.pending.has(content)) return 0;
    const verdict = this.table.find(content)?.state;
    return verdict?.type === 'pending' ? Math.max(1, verdict.judgeAtMs - this.now()) : 0;
  }

  /** Whether a request met a crash lately. */
  isSuspected(content: string): boolean {
    return this.table.find(content) !== undefined;
  }

  /** Whether this box itself saw one of the crashes that a request met. */
  hasLocalCrash(content: string): boolean {
    return this.table.find(content)?.runs.some((run) => run.isLocal === true) ?? false;
  }

  /** Whether a request is to be kept apart from those that it was together with so far. */
  mustPlaceRandomly(content: string): boolean {
    return (this.table.find(content)?.crashes ?? 0) >= SPREADING_CRASHES;
  }

  /** Notes a run that ended with its endpoint; false if that was known or is too long ago. */
  recordCrash(content: string, run: CrashedRun): boolean {
    const nowMs = this.now();
    if (nowMs - run.localEndAtMs >= QUARANTINE_MS) return false;
    const known = this.table.find(content);
    const runs = addCrashedRun(known?.runs ?? [], run);
    if (runs === undefined) return false;
    const verdict = known?.state ?? { type: 'none' };
    const crashes = findCrashChain(runs).length;
    const record: SuspectRecord = { runs, crashes, state: verdict, changedAtMs: nowMs };
    switch (verdict.type) {
      case 'quarantined':
      case 'released':
        this.condemn(content, runs, run.localEndAtMs);
        break;
      case 'pending':
        this.table.keep(content, record);
        break;
      case 'none':
        this.suspect(content, record, known?.crashes ?? 0);
        break;
    }
    return true;
  }

  /**
   * Another box has condemned a request. News that a cut held up all seem to be of one moment, so that this box may not
   * see by itself that the crashes came one after the other. False if nothing follows from it.
   */
  recordRemoteQuarantine(content: string, lastCrashAtMs: number): boolean {
    if (lastCrashAtMs + QUARANTINE_MS <= this.now() || this.readRemainingMs(content) > 0) return false;
    this.condemn(content, this.table.find(content)?.runs ?? [], lastCrashAtMs);
    return true;
  }

  /** Notes that a request was answered whole: it does not crash its endpoints. False if nothing was known against it. */
  recordSuccess(content: string): boolean {
    const known = this.table.find(content);
    if (known === undefined) return false;
    this.table.drop(content);
    this.pending.delete(content);
    this.onChange(content, 'cleared', known);
    return true;
  }

  /** What is known, the requests that most is known against first, for a box that may have missed it. */
  listBySeverity(maxRequests: number): [string, SuspectRecord][] {
    const { quarantined, seenTwice } = this.table;
    return [...quarantined.entries(), ...seenTwice.entries()].slice(0, maxRequests);
  }

  /** Runs once a tick: judges what waits for it, and ends what is too old. Returns the requests that it condemned. */
  tick(): string[] {
    const nowMs = this.now();
    const condemned = [...this.pending].filter((content) => this.judge(content, nowMs));
    if (nowMs - this.sweptAtMs >= SWEEP_MS) this.sweep(nowMs);
    return condemned;
  }

  private suspect(content: string, record: SuspectRecord, crashesBefore: number): void {
    const mayBeEnough = record.crashes >= QUARANTINE_THRESHOLD;
    const judgeAtMs = record.changedAtMs + DECISION_DELAY_MS;
    this.table.keep(content, mayBeEnough ? { ...record, state: { type: 'pending', judgeAtMs } } : record);
    if (mayBeEnough) this.pending.add(content);
    if (record.crashes > crashesBefore) this.onChange(content, 'suspected', record);
  }

  /** Judges a request if it is time; true if it is condemned by that. */
  private judge(content: string, nowMs: number): boolean {
    const record = this.table.find(content);
    if (record?.state.type === 'pending' && nowMs < record.state.judgeAtMs) return false;
    this.pending.delete(content);
    if (record?.state.type !== 'pending') return false;
    const unexplained = record.runs.filter((run) => !this.isExplained(content, record, run));
    const isGuilty =
      findCrashChain(unexplained).length >= QUARANTINE_THRESHOLD ||
      record.crashes >= CONDEMNING_CRASHES_AT_ALL;
    if (!isGuilty) this.table.keep(content, { ...record, state: { type: 'none' } });
    else this.condemn(content, record.runs, readLastCrashMs(record.runs));
    return isGuilty;
  }

  /** Whether another request that was under way at that crash is condemned, or has met at least as many. */
  private isExplained(content: string, { crashes }: SuspectRecord, run: CrashedRun): boolean {
    return this.table
      .listBeside(content, run)
      .filter((other) => other.state.type === 'quarantined' || other.crashes >= crashes)
      .some((other) => other.runs.some((one) => isSameCrash(one, run)));
  }

  private condemn(content: string, runs: readonly CrashedRun[], lastCrashAtMs: number): void {
    const before = this.table.find(content);
    // News of an earlier crash may come after those of a later one.
    const untilMs = Math.max(lastCrashAtMs + QUARANTINE_MS, this.now() + this.readRemainingMs(content));
    const crashes = Math.max(findCrashChain(runs).length, QUARANTINE_THRESHOLD);
    const record: SuspectRecord = {
      runs,
      crashes,
      state: { type: 'quarantined', untilMs },
      changedAtMs: this.now(),
    };
    this.pending.delete(content);
    this.table.keep(content, record);
    const isNew = before?.state.type !== 'quarantined' || crashes > before.crashes;
    if (isNew) this.onChange(content, 'quarantined', record);
  }

  private sweep(nowMs: number): void {
    this.sweptAtMs = nowMs;
    const { quarantined, seenOnce, seenTwice } = this.table;
    for (const [content] of [...quarantined.entries()])
      if (this.readRemainingMs(content) === 0) this.release(content, nowMs);
    for (const book of [seenOnce, seenTwice]) {
      for (const [content, { changedAtMs }] of [...book.entries()]) {
        if (nowMs - changedAtMs >= QUARANTINE_MS) this.table.drop(content);
      }
    }
  }

  /** Its time is over. One crash more is enough after that: the request is known. */
  private release(content: string, nowMs: number): void {
    const record: SuspectRecord = {
      runs: [],
      crashes: QUARANTINE_THRESHOLD - 1,
      state: { type: 'released' },
      changedAtMs: nowMs,
    };
    this.table.keep(content, record);
    this.onChange(content, 'ended', record);
  }
}
