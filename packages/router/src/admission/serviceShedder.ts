/**
 * Sheds the load of one service at one box.
 *
 * Requests are ordered in levels: by rank; within a rank, teams below their fair share first, or a team that sends many
 * requests would displace the others; then requests that may run only once, since others can be repeated elsewhere.
 * Above full use the first levels are admitted in full, the edge level in part, and a small part of the rest is drawn.
 */
import type { ServiceRoom } from '../capacity/serviceRoom.js';
import { readUse } from '../capacity/serviceRoom.js';
import { AdmittedShare } from './admittedShare.js';
import type { DelayedRequest } from './delayedRequests.js';
import { DelayedRequests } from './delayedRequests.js';
import { LevelCounts } from './levelCounts.js';
import type { LevelShares } from './levelShares.js';
import { ADMIT_ALL, divideShare, DRAWN_SHARE, readLevelShare } from './levelShares.js';
import type { LoadSheddingDecision, SheddableRequest } from './loadShedding.js';
import { estimateReturnMs } from './returnTime.js';
import { TeamAdmissions } from './teamAdmissions.js';
import { UsefulQueue } from './usefulQueue.js';

/** Levels within a rank. */
const LEVELS_PER_RANK = 4;
/** Any request may wait this long: within it, the next view tells whether there is room again. */
const SHORT_WAIT_MS = 500;
/** Part of the time for which a request is worth starting that it may wait; the rest lets its caller return in time. */
const WAIT_SHARE = 0.5;
/** Time between two decisions about a request that waits: short, since a share that rises lets it start at once. */
const MIN_RECHECK_MS = 20;
const MAX_RECHECK_MS = 100;
/** Time after which a view that is not replaced is no longer used. */
const MAX_VIEW_AGE_MS = 3_000;
/** Least trend of the arrivals that is acted on: the mix of what still arrives is not known sooner. */
const MIN_TREND = 0.4;
const MS_PER_S = 1_000;

const ADMIT: LoadSheddingDecision = { type: 'admit' };

/** Decides about the requests to one service. */
export class ServiceShedder {
  private readonly share = new AdmittedShare();
  private readonly arrivals = new LevelCounts();
  private readonly rejections = new LevelCounts();
  private readonly admitted = new LevelCounts();
  private readonly admissions = new TeamAdmissions();
  private readonly waiting = new DelayedRequests();
  private readonly queue = new UsefulQueue();
  /** Admissions that each level has earned by its arrivals and not used. */
  private readonly credits = new Map<number, number>();
  private levelShares: LevelShares = ADMIT_ALL;
  private use = 0;
  private updatedAtMs = -Infinity;

  constructor(private readonly random: () => number) {}

  /** Adjusts the admitted share to the room of the service. */
  updateRoom(room: ServiceRoom, nowMs: number): void {
    this.updatedAtMs = nowMs;
    this.admissions.fade(nowMs);
    // Without a slot there is nothing to share out; placement reports why there is no endpoint.
    const isKnown = room.view.extent === 'whole' && room.slotsInEffect > 0;
    if (isKnown) this.adjustShare(room, nowMs);
    else this.share.relax(nowMs);
    this.levelShares = isKnown
      ? divideShare(this.arrivals.list(nowMs), this.readUsableShare(nowMs))
      : ADMIT_ALL;
    if (this.levelShares === ADMIT_ALL) this.credits.clear();
  }

  /** Share of the requests that is admitted; 1 without a view. */
  readAdmittedShare(nowMs: number): number {
    return this.isViewUsable(nowMs) && this.levelShares !== ADMIT_ALL ? this.share.read() : 1;
  }

  /** Takes out a request that waits and whose caller has left. */
  withdraw(request: SheddableRequest): void {
    this.waiting.remove(request);
  }

  /** Records how long a request took at its endpoint. */
  recordEnd(tookMs: number): void {
    this.queue.recordEnd(tookMs, this.use);
  }

  /** Decides about a request that has arrived, or again about one that is held back. */
  decide(request: SheddableRequest, nowMs: number): LoadSheddingDecision {
    this.waiting.dropGivenUp(nowMs);
    const waiting = this.waiting.find(request);
    const candidate = waiting ?? this.receive(request, nowMs);
    const levelShare = this.readShare(candidate.level, nowMs);
    const isLate = nowMs > request.latestStartAtMs && this.readAdmittedShare(nowMs) < 1;
    if (isLate) return this.reject(candidate, nowMs);
    const isDrawn = waiting === undefined && this.random() < DRAWN_SHARE;
    if (levelShare >= 1 || isDrawn) return this.admit(candidate, nowMs);
    if (waiting === undefined) this.earnCredit(candidate.level, levelShare);
    if (this.takeCredit(candidate)) return this.admit(candidate, nowMs);
    const waitMs = this.estimateWaitMs(candidate, levelShare, nowMs);
    const mayWait = waiting !== undefined || this.waiting.hasRoom;
    if (!mayWait || nowMs + waitMs > candidate.endsAtMs) return this.reject(candidate, nowMs);
    return this.wait(candidate, waitMs, nowMs);
  }

  private adjustShare(room: ServiceRoom, nowMs: number): void {
    this.use = readUse(room);
    const ranks = this.arrivals.list(nowMs).map(({ level }) => Math.floor(level / LEVELS_PER_RANK));
    const allowedUse = this.queue.readAllowedUse(ranks);
    this.share.update({ use: this.use, ageMs: room.view.ageMs, allowedUse }, nowMs);
  }

  /** The admitted share; more if fewer requests arrive than when the use was measured, which views show late. */
  private readUsableShare(nowMs: number): number {
    const trend = Math.max(MIN_TREND, Math.min(1, this.arrivals.readTrend(nowMs)));
    return Math.min(1, this.share.read() / trend);
  }

  /** Counts a request that has just arrived. */
  private receive(request: SheddableRequest, nowMs: number): DelayedRequest {
    const level = this.readLevel(request);
    this.arrivals.record(level, nowMs);
    const spareMs = request.latestStartAtMs - nowMs;
    this.queue.recordArrival(request.rank, spareMs);
    const longestMs = Math.max(SHORT_WAIT_MS, spareMs * WAIT_SHARE);
    const endsAtMs = Math.min(request.latestStartAtMs, nowMs + longestMs);
    return { request, level, endsAtMs, dueAtMs: nowMs };
  }

  /** Adds what an arrival earns to the credit of its level; the level's share leaves out those that are drawn. */
  private earnCredit(level: number, levelShare: number): void {
    // A random start keeps boxes with few requests from all rejecting their first one.
    const credit = this.credits.get(level) ?? this.random();
    const maxCredit = 1 + this.waiting.countAhead(level);
    this.credits.set(level, Math.min(maxCredit, credit + levelShare));
  }

  private readLevel({ rank, team, isOnce }: SheddableRequest): number {
    const fairness = this.admissions.isAboveFairShare(team) ? 2 : 0;
    return rank * LEVELS_PER_RANK + fairness + (isOnce ? 0 : 1);
  }

  private readShare(level: number, nowMs: number): number {
    return this.isViewUsable(nowMs) ? readLevelShare(this.levelShares, level) : 1;
  }

  private isViewUsable(nowMs: number): boolean {
    return nowMs - this.updatedAtMs <= MAX_VIEW_AGE_MS;
  }

  /** Takes an admission from the credit of the level, unless requests that came before need it. */
  private takeCredit(candidate: DelayedRequest): boolean {
    const { level } = candidate;
    const credit = this.credits.get(level) ?? 0;
    if (credit - this.waiting.countAhead(level, candidate) < 1) return false;
    this.credits.set(level, credit - 1);
    return true;
  }

  /** Time until the level has earned admissions for the request and for those that came before. */
  private estimateWaitMs(candidate: DelayedRequest, levelShare: number, nowMs: number): number {
    const { level } = candidate;
    const needed = this.waiting.countAhead(level, candidate) + 1 - (this.credits.get(level) ?? 0);
    return (needed * MS_PER_S) / (levelShare * this.arrivals.readPerS(level, nowMs));
  }

  private admit({ request, level }: DelayedRequest, nowMs: number): LoadSheddingDecision {
    this.admitted.record(level, nowMs);
    this.waiting.remove(request);
    this.admissions.record(request.team);
    return ADMIT;
  }

  private wait(candidate: DelayedRequest, waitMs: number, nowMs: number): LoadSheddingDecision {
    const recheckMs = Math.max(MIN_RECHECK_MS, Math.min(MAX_RECHECK_MS, waitMs));
    const forMs = Math.min(recheckMs, candidate.endsAtMs - nowMs);
    candidate.dueAtMs = nowMs + forMs;
    this.waiting.add(candidate);
    return { type: 'wait', forMs };
  }

  private reject({ request, level }: DelayedRequest, nowMs: number): LoadSheddingDecision {
    this.waiting.remove(request);
    const drawnPerS = DRAWN_SHARE * this.arrivals.readPerS(level, nowMs);
    const estimate = {
      rejected: this.rejections.read(level, nowMs),
      admittedPerS: Math.max(drawnPerS, this.admitted.readPerS(level, nowMs)),
      remainingMs: request.latestStartAtMs - nowMs,
    };
    this.rejections.record(level, nowMs);
    return { type: 'reject', retryAfterMs: estimateReturnMs(estimate, this.random()) };
  }
}
