/**
 * Detects requests that crash the endpoints that run them, by their fingerprint, and quarantines them: after the third
 * crash, counted over all boxes, a request is no longer sent to endpoints. Without this, one such request crashed 13
 * engines 46 times in 110 s.
 *
 * A crash is weak evidence against any one of the requests in flight at the endpoint, so the first crash quarantines none
 * of them, and they are retried elsewhere if their route allows it. Three rules protect requests that did not cause a
 * crash. From the second crash on, the endpoint of a request is drawn at random, so that the request does not follow the
 * one at fault from endpoint to endpoint. A crash does not count against a request if another one in flight there is
 * quarantined or was in flight during at least as many crashes. And a complete response clears a request at once.
 */
import type { CrashedRun } from './crashedRuns.js';
import { addCrashedRun, findCrashChain, isSameCrash, readLastCrashMs } from './crashedRuns.js';
import type { SuspectRecord } from './suspectTable.js';
import { SuspectTable } from './suspectTable.js';

/** Sequential crashes, none of them explained by another request, after which a request is quarantined. */
export const QUARANTINE_THRESHOLD = 3;
/** Crashes after which other possible causes no longer matter: two requests at fault may always arrive together. */
const UNCONDITIONAL_THRESHOLD = 6;
/** Crashes after which the endpoint of a request is drawn at random instead of by its prompt. */
const RANDOM_PLACEMENT_THRESHOLD = 2;
/**
 * How long a request is quarantined after its last crash. Long enough that a caller who keeps repeating it costs one
 * endpoint every ten minutes; short enough that a fixed endpoint serves the request on the same day.
 */
export const QUARANTINE_MS = 600_000;
/**
 * How long the decision on a request with enough crashes is delayed; the request is not sent meanwhile. Other boxes know
 * which further requests were in flight at the endpoints, and their reports arrive within three ticks of 40 ms plus the
 * latency of the links.
 */
export const DECISION_DELAY_MS = 300;
/** Interval at which expired records are removed. */
const SWEEP_INTERVAL_MS = 1_000;

/** A change in what is recorded about a request. */
export type QuarantineChange =
  /** It was in flight during another crash, which does not quarantine it yet. */
  | 'suspected'
  /** It is no longer sent to endpoints. */
  | 'quarantined'
  /** An endpoint answered it completely. */
  | 'cleared'
  /** Its quarantine expired: it may be sent again, and the next crash quarantines it. */
  | 'ended';

/** Called when what is recorded about a request changes. */
export type OnQuarantineChange = (
  fingerprint: string,
  change: QuarantineChange,
  record: SuspectRecord,
) => void;

/** One box's records of the requests that were in flight at endpoints when they crashed. */
export class Quarantine {
  private readonly table = new SuspectTable();
  private readonly pending = new Set<string>();
  private sweptAtMs = -Infinity;

  constructor(
    private readonly now: () => number,
    private readonly onChange: OnQuarantineChange,
  ) {}

  /** Whether no request is recorded: then no fingerprint has to be computed. */
  get isEmpty(): boolean {
    return this.table.isEmpty;
  }

  /** Number of requests in quarantine. */
  get quarantinedCount(): number {
    return this.table.quarantined.size;
  }

  /** How long the quarantine of a request still lasts; 0 if the request may be sent. */
  readRemainingMs(fingerprint: string): number {
    const state = this.table.quarantined.peek(fingerprint)?.state;
    return state?.type === 'quarantined' ? Math.max(0, state.untilMs - this.now()) : 0;
  }

  /** Time until the pending decision on a request; 0 if none is pending. */
  readDecisionDelayMs(fingerprint: string): number {
    if (!this.pending.has(fingerprint)) return 0;
    const state = this.table.find(fingerprint)?.state;
    return state?.type === 'pending' ? Math.max(1, state.decideAtMs - this.now()) : 0;
  }

  /** Whether a request was in flight during a recent crash. */
  isSuspected(fingerprint: string): boolean {
    return this.table.find(fingerprint) !== undefined;
  }

  /** Whether this box itself observed one of a request's crashes. */
  hasLocalCrash(fingerprint: string): boolean {
    return this.table.find(fingerprint)?.runs.some((run) => run.isLocal === true) ?? false;
  }

  /** Whether a request must be placed at random, to separate it from the requests that it ran beside so far. */
  mustPlaceRandomly(fingerprint: string): boolean {
    return (this.table.find(fingerprint)?.crashes ?? 0) >= RANDOM_PLACEMENT_THRESHOLD;
  }

  /** Records a run that ended when its endpoint crashed; returns false if it is known already or too old. */
  recordCrash(fingerprint: string, run: CrashedRun): boolean {
    const nowMs = this.now();
    if (nowMs - run.localEndAtMs >= QUARANTINE_MS) return false;
    const known = this.table.find(fingerprint);
    const runs = addCrashedRun(known?.runs ?? [], run);
    if (runs === undefined) return false;
    const state = known?.state ?? { type: 'none' };
    const crashes = findCrashChain(runs).length;
    const record: SuspectRecord = { runs, crashes, state, changedAtMs: nowMs };
    switch (state.type) {
      case 'quarantined':
      case 'released':
        this.startQuarantine(fingerprint, runs, run.localEndAtMs);
        break;
      case 'pending':
        this.table.set(fingerprint, record);
        break;
      case 'none':
        this.recordSuspect(fingerprint, record, known?.crashes ?? 0);
        break;
    }
    return true;
  }

  /**
   * Records that another box quarantined a request. Reports that a network cut held up all seem to be of one moment, so
   * this box may be unable to find out by itself that the crashes were sequential. Returns false if nothing changes.
   */
  recordRemoteQuarantine(fingerprint: string, lastCrashAtMs: number): boolean {
    if (lastCrashAtMs + QUARANTINE_MS <= this.now() || this.readRemainingMs(fingerprint) > 0) return false;
    this.startQuarantine(fingerprint, this.table.find(fingerprint)?.runs ?? [], lastCrashAtMs);
    return true;
  }

  /** Clears a request that got a complete response, so does not crash its endpoints. Returns false if it was unknown. */
  recordSuccess(fingerprint: string): boolean {
    const known = this.table.find(fingerprint);
    if (known === undefined) return false;
    this.table.delete(fingerprint);
    this.pending.delete(fingerprint);
    this.onChange(fingerprint, 'cleared', known);
    return true;
  }

  /** Records for a box that may have missed them: quarantined requests first, then those with two or more crashes. */
  listBySeverity(maxRequests: number): [string, SuspectRecord][] {
    const { quarantined, seenTwice } = this.table;
    return [...quarantined.entries(), ...seenTwice.entries()].slice(0, maxRequests);
  }

  /** Runs once a tick: makes due decisions and removes expired records. Returns the requests that it quarantined. */
  tick(): string[] {
    const nowMs = this.now();
    const quarantined = [...this.pending].filter((fingerprint) => this.decide(fingerprint, nowMs));
    if (nowMs - this.sweptAtMs >= SWEEP_INTERVAL_MS) this.sweep(nowMs);
    return quarantined;
  }

  private recordSuspect(fingerprint: string, record: SuspectRecord, crashesBefore: number): void {
    const isOverThreshold = record.crashes >= QUARANTINE_THRESHOLD;
    const decideAtMs = record.changedAtMs + DECISION_DELAY_MS;
    this.table.set(
      fingerprint,
      isOverThreshold ? { ...record, state: { type: 'pending', decideAtMs } } : record,
    );
    if (isOverThreshold) this.pending.add(fingerprint);
    if (record.crashes > crashesBefore) this.onChange(fingerprint, 'suspected', record);
  }

  /** Decides on a request whose decision is due; returns true if that quarantines it. */
  private decide(fingerprint: string, nowMs: number): boolean {
    const record = this.table.find(fingerprint);
    if (record?.state.type === 'pending' && nowMs < record.state.decideAtMs) return false;
    this.pending.delete(fingerprint);
    if (record?.state.type !== 'pending') return false;
    const unexplained = record.runs.filter((run) => !this.isExplained(fingerprint, record, run));
    const mustQuarantine =
      findCrashChain(unexplained).length >= QUARANTINE_THRESHOLD || record.crashes >= UNCONDITIONAL_THRESHOLD;
    if (!mustQuarantine) this.table.set(fingerprint, { ...record, state: { type: 'none' } });
    else this.startQuarantine(fingerprint, record.runs, readLastCrashMs(record.runs));
    return mustQuarantine;
  }

  /** Whether another request in flight during that crash is quarantined, or was in flight during at least as many. */
  private isExplained(fingerprint: string, { crashes }: SuspectRecord, run: CrashedRun): boolean {
    return this.table
      .listConcurrent(fingerprint, run)
      .filter((other) => other.state.type === 'quarantined' || other.crashes >= crashes)
      .some((other) => other.runs.some((one) => isSameCrash(one, run)));
  }

  private startQuarantine(fingerprint: string, runs: readonly CrashedRun[], lastCrashAtMs: number): void {
    const before = this.table.find(fingerprint);
    // The report of an earlier crash may arrive after that of a later one, and must not shorten the quarantine.
    const untilMs = Math.max(lastCrashAtMs + QUARANTINE_MS, this.now() + this.readRemainingMs(fingerprint));
    const crashes = Math.max(findCrashChain(runs).length, QUARANTINE_THRESHOLD);
    const record: SuspectRecord = {
      runs,
      crashes,
      state: { type: 'quarantined', untilMs },
      changedAtMs: this.now(),
    };
    this.pending.delete(fingerprint);
    this.table.set(fingerprint, record);
    const isNew = before?.state.type !== 'quarantined' || crashes > before.crashes;
    if (isNew) this.onChange(fingerprint, 'quarantined', record);
  }

  /** Ends expired quarantines and removes old records. */
  private sweep(nowMs: number): void {
    this.sweptAtMs = nowMs;
    const { quarantined, seenOnce, seenTwice } = this.table;
    for (const [fingerprint] of [...quarantined.entries()])
      if (this.readRemainingMs(fingerprint) === 0) this.endQuarantine(fingerprint, nowMs);
    for (const cache of [seenOnce, seenTwice]) {
      for (const [fingerprint, { changedAtMs }] of [...cache.entries()]) {
        if (nowMs - changedAtMs >= QUARANTINE_MS) this.table.delete(fingerprint);
      }
    }
  }

  /** Releases a request whose quarantine expired. One more crash quarantines it again, since it is known. */
  private endQuarantine(fingerprint: string, nowMs: number): void {
    const record: SuspectRecord = {
      runs: [],
      crashes: QUARANTINE_THRESHOLD - 1,
      state: { type: 'released' },
      changedAtMs: nowMs,
    };
    this.table.set(fingerprint, record);
    this.onChange(fingerprint, 'ended', record);
  }
}
