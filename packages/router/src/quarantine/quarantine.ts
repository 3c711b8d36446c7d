/**
 * Detects requests that crash the endpoints that run them, by their fingerprint, and quarantines them: after the third
 * crash, counted over all boxes, a request is no longer sent to endpoints. Without this, one such request crashed 13
 * engines 46 times in 110 s. Parts of prompts are blamed and cleared like requests, since one of them may crash endpoints in
 * requests no two of which are alike; which requests with the part are then no longer sent: `quarantineScope.ts`.
 *
 * A crash is weak evidence against any one of the requests in flight at the endpoint, so the first crash quarantines none
 * of them, and they are retried elsewhere if their route allows it. Three rules protect requests that did not cause a
 * crash. From the second crash on, the endpoint of a request is drawn at random, so that the request does not follow the
 * one at fault from endpoint to endpoint. A crash does not count against a request if another one in flight there is
 * quarantined or was in flight during at least as many crashes. And a complete response clears a request at once.
 */
import { LRUCache } from 'lru-cache';
import type { BlamedRequest } from './blamedRequest.js';
import type { CrashedRun } from './crashedRuns.js';
import { addCrashedRun, findCrashChain, readLastCrashMs } from './crashedRuns.js';
import { findProvenScope, listUnexplained, QUARANTINE_THRESHOLD } from './crashEvidence.js';
import type { QuarantineScope } from './quarantineScope.js';
import { findScope, isInScope, isSameScope, joinScopes, UNLIMITED_SCOPE } from './quarantineScope.js';
import type { QuarantineState, SuspectRecord } from './suspectTable.js';
import { SuspectTable } from './suspectTable.js';

export { QUARANTINE_THRESHOLD } from './crashEvidence.js';

/** Crashes of requests outside the scope of a quarantine after which it widens. */
const WIDENING_THRESHOLD = 2;
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
/** Fingerprints of which it is kept when an endpoint last answered them completely. */
const MAX_CLEARED = 4_096;
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

type QuarantinedState = Extract<QuarantineState, { type: 'quarantined' }>;

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
  /** When an endpoint last answered a request completely: earlier crashes are no evidence against it, however late their reports. */
  private readonly clearedAtMs = new LRUCache<string, number>({ max: MAX_CLEARED });
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
    const decideAtMs = state === undefined ? undefined : readDecisionTime(state);
    return decideAtMs === undefined ? 0 : Math.max(1, decideAtMs - this.now());
  }

  /** How long the quarantine that concerns a request, by any of its fingerprints, still lasts; 0 if it may be sent. */
  readRequestRemainingMs(request: BlamedRequest): number {
    const remainingMs = request.fingerprints
      .filter((fingerprint) => this.isConcerned(fingerprint, request))
      .map((fingerprint) => this.readRemainingMs(fingerprint));
    return Math.max(0, ...remainingMs);
  }

  /** Time until the pending decisions on a request, by any of its fingerprints; 0 if none is pending. */
  readRequestDecisionDelayMs(request: BlamedRequest): number {
    if (this.pending.size === 0) return 0;
    const delaysMs = request.fingerprints
      .filter((fingerprint) => this.mayBecomeConcerned(fingerprint, request))
      .map((fingerprint) => this.readDecisionDelayMs(fingerprint));
    return Math.max(0, ...delaysMs);
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
    if (nowMs - run.localEndAtMs >= QUARANTINE_MS || this.wasClearedSince(fingerprint, run.localEndAtMs))
      return false;
    const known = this.table.find(fingerprint);
    const runs = addCrashedRun(known?.runs ?? [], run);
    if (runs === undefined) return false;
    const state = known?.state ?? { type: 'none' };
    const crashes = findCrashChain(runs).length;
    const record: SuspectRecord = { runs, crashes, state, changedAtMs: nowMs };
    switch (state.type) {
      case 'quarantined':
        this.startQuarantine(fingerprint, runs, run.localEndAtMs, state.scope);
        this.scheduleReview(fingerprint, run, state);
        break;
      case 'released':
        this.startQuarantine(fingerprint, runs, run.localEndAtMs, state.scope);
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
  recordRemoteQuarantine(fingerprint: string, lastCrashAtMs: number, scope = UNLIMITED_SCOPE): boolean {
    const isOver = lastCrashAtMs + QUARANTINE_MS <= this.now();
    if (isOver || this.wasClearedSince(fingerprint, lastCrashAtMs)) return false;
    const known = this.table.find(fingerprint);
    const uncleared = this.withoutCleared(scope, lastCrashAtMs);
    const before = known?.state.type === 'quarantined' ? known.state.scope : undefined;
    const joined = before === undefined ? uncleared : joinScopes(before, uncleared);
    if (before !== undefined && isSameScope(before, joined)) return false;
    this.startQuarantine(fingerprint, known?.runs ?? [], lastCrashAtMs, joined);
    return true;
  }

  /** Whether an endpoint has answered a request completely since a crash that another box reports. */
  wasClearedSince(fingerprint: string, crashedAtMs: number): boolean {
    return crashedAtMs <= (this.clearedAtMs.get(fingerprint) ?? -Infinity);
  }

  /** Clears a request that got a complete response, so does not crash its endpoints. Returns false if it was unknown. */
  recordSuccess(fingerprint: string): boolean {
    this.clearedAtMs.set(fingerprint, this.now());
    const known = this.table.find(fingerprint);
    if (known === undefined) return false;
    this.table.delete(fingerprint);
    this.pending.delete(fingerprint);
    this.removeCompanion(fingerprint);
    this.onChange(fingerprint, 'cleared', known);
    return true;
  }

  /** The scope of the quarantine of a fingerprint; undefined if it is not in quarantine. */
  findQuarantineScope(fingerprint: string): QuarantineScope | undefined {
    const state = this.table.quarantined.peek(fingerprint)?.state;
    return state?.type === 'quarantined' ? state.scope : undefined;
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

  /** Decides on a request whose decision is due; returns true if that quarantines it, or more requests than before. */
  private decide(fingerprint: string, nowMs: number): boolean {
    const record = this.table.find(fingerprint);
    const decideAtMs = record === undefined ? undefined : readDecisionTime(record.state);
    if (decideAtMs !== undefined && nowMs < decideAtMs) return false;
    this.pending.delete(fingerprint);
    if (record?.state.type === 'quarantined') return this.widen(fingerprint, record, record.state.scope);
    if (record?.state.type !== 'pending') return false;
    const scope = findProvenScope(this.table, fingerprint, record);
    if (scope === undefined) this.table.set(fingerprint, { ...record, state: { type: 'none' } });
    else this.startQuarantine(fingerprint, record.runs, readLastCrashMs(record.runs), scope);
    return scope !== undefined;
  }

  /** Widens a quarantine if enough requests that it did not concern have crashed. */
  private widen(fingerprint: string, record: SuspectRecord, scope: QuarantineScope): boolean {
    const isOutside = ({ request }: CrashedRun): boolean =>
      request !== undefined && !isInScope(scope, request);
    const outside = listUnexplained(this.table, fingerprint, record).filter(isOutside);
    const inside = record.runs.filter((run) => !isOutside(run));
    const isProven = findCrashChain(outside).length >= WIDENING_THRESHOLD;
    const found = isProven ? findScope(fingerprint, [...inside, ...outside]) : undefined;
    const joined = found === undefined ? scope : joinScopes(scope, found);
    this.startQuarantine(fingerprint, record.runs, readLastCrashMs(record.runs), joined);
    return !isSameScope(scope, joined);
  }

  /** Has the scope of a quarantine reviewed if a request that it does not concern has crashed, now or just before. */
  private scheduleReview(fingerprint: string, { request }: CrashedRun, before: QuarantinedState): void {
    const record = this.table.find(fingerprint);
    if (record?.state.type !== 'quarantined') return;
    const isOutside = request !== undefined && !isInScope(before.scope, request);
    const reviewAtMs = before.reviewAtMs ?? (isOutside ? this.now() + DECISION_DELAY_MS : undefined);
    if (reviewAtMs === undefined) return;
    this.table.set(fingerprint, { ...record, state: { ...record.state, reviewAtMs } });
    this.pending.add(fingerprint);
  }

  /** Whether the quarantine of a fingerprint concerns a request that has it. */
  private isConcerned(fingerprint: string, request: BlamedRequest): boolean {
    const scope = this.findQuarantineScope(fingerprint);
    return scope !== undefined && isInScope(scope, request);
  }

  /** Whether the pending decision on a fingerprint may concern a request that has it. */
  private mayBecomeConcerned(fingerprint: string, request: BlamedRequest): boolean {
    const record = this.pending.has(fingerprint) ? this.table.find(fingerprint) : undefined;
    const scope = record === undefined ? undefined : findScope(fingerprint, record.runs);
    return scope !== undefined && isInScope(scope, request);
  }

  /** A fingerprint that has been cleared is no reason to spare requests without it. */
  private removeCompanion(cleared: string): void {
    for (const [fingerprint, record] of [...this.table.quarantined.entries()]) {
      if (record.state.type !== 'quarantined' || !record.state.scope.together.includes(cleared)) continue;
      const together = record.state.scope.together.filter((other) => other !== cleared);
      const scope = { ...record.state.scope, together };
      this.table.set(fingerprint, { ...record, state: { ...record.state, scope } });
    }
  }

  private withoutCleared(scope: QuarantineScope, crashedAtMs: number): QuarantineScope {
    const together = scope.together.filter((fingerprint) => !this.wasClearedSince(fingerprint, crashedAtMs));
    return { ...scope, together };
  }

  private startQuarantine(
    fingerprint: string,
    runs: readonly CrashedRun[],
    lastCrashAtMs: number,
    scope: QuarantineScope,
  ): void {
    const before = this.table.find(fingerprint);
    // The report of an earlier crash may arrive after that of a later one, and must not shorten the quarantine.
    const untilMs = Math.max(lastCrashAtMs + QUARANTINE_MS, this.now() + this.readRemainingMs(fingerprint));
    const crashes = Math.max(findCrashChain(runs).length, QUARANTINE_THRESHOLD);
    const record: SuspectRecord = {
      runs,
      crashes,
      state: { type: 'quarantined', untilMs, scope },
      changedAtMs: this.now(),
    };
    this.pending.delete(fingerprint);
    this.table.set(fingerprint, record);
    const isNew = before?.state.type !== 'quarantined' || crashes > before.crashes;
    if (isNew || !isSameScope(scope, before.state.scope)) this.onChange(fingerprint, 'quarantined', record);
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
      state: { type: 'released', scope: this.findQuarantineScope(fingerprint) ?? UNLIMITED_SCOPE },
      changedAtMs: nowMs,
    };
    this.table.set(fingerprint, record);
    this.onChange(fingerprint, 'ended', record);
  }
}

/** When a pending decision is due; undefined if there is none. */
function readDecisionTime(state: QuarantineState): number | undefined {
  switch (state.type) {
    case 'pending':
      return state.decideAtMs;
    case 'quarantined':
      return state.reviewAtMs;
    case 'none':
    case 'released':
      return undefined;
  }
}
