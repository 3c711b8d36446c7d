/**
 * Schedule of the slots of one service: what is granted, what waits, and what is rejected.
 *
 * A request is rejected as soon as it is expected to start too late, when it arrives or when more urgent ones have
 * pushed it back.
 */
import { EndedSlotRequests } from './endedSlotRequests.js';
import { canUseAny, pickEndpoint } from './endpointChoice.js';
import { HoldTimes } from './holdTimes.js';
import type { Arrival, RememberedRequest } from './rememberedReturns.js';
import { RememberedReturns } from './rememberedReturns.js';
import type { ReturnPlan } from './returnPlanner.js';
import { MAX_SHARE_OF_PATIENCE, ReturnPlanner, ROUND_TRIP_MS } from './returnPlanner.js';
import type { EndpointUse, Grant } from './slotLedger.js';
import { SlotLedger } from './slotLedger.js';
import { SlotAnswers } from './slotAnswers.js';
import type { SchedulableEndpoint, SlotAnswer, SlotRelease, SlotRequest } from './slotMessages.js';
import { GRANT_USE_MS, readSlotRequestKey } from './slotMessages.js';
import { SlotQueue } from './slotQueue.js';
import { readWholeTargetMs, WaitEstimates } from './waitEstimates.js';
import type { WaitingRequest } from './waitingRequest.js';

/** Requests that may wait at once. */
export const MAX_WAITING = 1_024;
/** A grant that is not released ends this long after its request, whose release may still be on its way. */
export const LEASE_MARGIN_MS = 1_000;
/** Time after the first request in which a predecessor's grants count: reports are up to a second old. */
export const SETTLE_MS = 1_000;
/** After this time without requests another box may have scheduled the service meanwhile. */
const IDLE_MS = 5_000;
/** Factor for errors of the estimate: a request that is accepted to be in time should not be rejected later. */
const WAIT_MARGIN = 1.5;
/** Part of its patience that a request is accepted to wait; others that miss their target may still go before it. */
const ACCEPTED_SHARE_OF_PATIENCE = 0.6;
/** A failure within this part of the usual time is one of the endpoint; later ones may be due to the request. */
const QUICK_FAILURE_SHARE = 0.25;
/** Interval at which the times of waiting requests are checked. */
const REVIEW_INTERVAL_MS = 20;
/** Their waits are estimated again after this time for each that waits, which bounds the cost. */
const ESTIMATE_INTERVAL_PER_WAITING_MS = 0.2;

/** State of a schedule, for logs and metrics. */
export interface ScheduleStatus {
  readonly service: string;
  readonly waiting: number;
  readonly granted: number;
  /** Slots in effect of all its endpoints. */
  readonly slots: number;
  /** Requests that end in a second while all slots are used. */
  readonly drainPerS: number;
  /** Requests rejected since the schedule began. */
  readonly rejected: number;
}

/** Schedule of the slots of one service. */
export class ServiceSchedule {
  private readonly ledger = new SlotLedger();
  private readonly queue = new SlotQueue();
  private readonly waitingByKey = new Map<string, WaitingRequest>();
  private readonly holds = new HoldTimes();
  private readonly estimates = new WaitEstimates({
    ledger: this.ledger,
    queue: this.queue,
    holds: this.holds,
  });
  private readonly planner: ReturnPlanner;
  private readonly returns = new RememberedReturns();
  private readonly ended = new EndedSlotRequests();
  private readonly answers: SlotAnswers;
  private nowMs = 0;
  private requestedAtMs = -Infinity;
  /** Until then a predecessor's requests and grants count. */
  private settlesAtMs = -Infinity;
  private reviewedAtMs = -Infinity;
  private estimatedAtMs = -Infinity;
  private rejectedCount = 0;
  /** Until then the slots of brittle endpoints are not granted. */
  private suspendedUntilMs = -Infinity;

  constructor(
    private readonly service: string,
    private readonly random: () => number,
    private readonly createdAtMs: number,
  ) {
    this.planner = new ReturnPlanner(random);
    this.answers = new SlotAnswers(service);
  }

  /** Whether nothing waits or is granted, and nothing has been requested for a while. */
  isIdle(nowMs: number): boolean {
    const isInUse = this.queue.size > 0 || this.ledger.size > 0;
    return !isInUse && nowMs - Math.max(this.createdAtMs, this.requestedAtMs) > IDLE_MS;
  }

  /** Replaces the usable endpoints. */
  setEndpoints(endpoints: readonly SchedulableEndpoint[], nowMs: number): SlotAnswer[] {
    return this.update(nowMs, () => {
      this.ledger.setEndpoints(endpoints);
      this.holds.retain(new Set(endpoints.map(({ tag }) => tag)));
    });
  }

  /** Grants no slots of brittle endpoints until then. */
  suspend(untilMs: number): void {
    this.suspendedUntilMs = untilMs;
  }

  /** Handles a request, or one that is repeated, or a slot that a predecessor granted. */
  handleRequest(request: SlotRequest, nowMs: number): SlotAnswer[] {
    return this.update(nowMs, () => {
      const { heldTag } = request;
      if (heldTag !== undefined) return this.adopt(request, heldTag);
      if (!this.answerRepeated(request)) this.handleNewRequest(request);
    });
  }

  /** Handles the release of a slot, or the withdrawal of a request. */
  handleRelease(release: SlotRelease, nowMs: number): SlotAnswer[] {
    return this.update(nowMs, () => {
      const waiting = this.waitingByKey.get(readSlotRequestKey(release));
      if (waiting !== undefined) this.removeWaiting(waiting);
      const grant = this.ledger.find(release);
      if (grant !== undefined) this.endGrant(grant, release);
      // A box that withdrew or gave back may ask again with the same number, such as after it asked elsewhere.
      const wasUsed = waiting === undefined && release.outcome !== 'unused';
      if (wasUsed) this.ended.add(release, { type: 'released' });
    });
  }

  /** Withdraws the requests and releases the slots of a box that is down. */
  dropBox(box: string, nowMs: number): SlotAnswer[] {
    return this.update(nowMs, () => {
      const waiting = this.queue.list().filter(({ request }) => request.box === box);
      for (const each of waiting) this.removeWaiting(each);
      for (const grant of this.ledger.listOfBox(box)) this.endUnreleased(grant, GRANT_USE_MS);
    });
  }

  /** Frees slots that were never released; requests that can no longer start in time are rejected. */
  tick(nowMs: number): SlotAnswer[] {
    return this.update(nowMs, () => {
      for (const grant of this.ledger.listExpired(nowMs)) this.ledger.remove(grant);
      this.queue.forgetIdleTeams(nowMs);
    });
  }

  /** Describes the state, for logs and metrics. */
  describe(): ScheduleStatus {
    return {
      service: this.service,
      waiting: this.queue.size,
      granted: this.ledger.size,
      slots: this.ledger.slots,
      drainPerS: this.estimates.ratePerMs * 1_000,
      rejected: this.rejectedCount,
    };
  }

  /** Applies a change, grants the slots that are free then, and returns the answers. */
  private update(nowMs: number, change: () => void): SlotAnswer[] {
    this.nowMs = nowMs;
    this.estimates.update(nowMs);
    change();
    this.estimates.update(nowMs);
    this.grantFreeSlots();
    if (nowMs - this.reviewedAtMs >= REVIEW_INTERVAL_MS) this.reviewWaiting();
    this.estimates.setFull(this.ledger.isFull(nowMs));
    return this.answers.take();
  }

  /** Answers a request that was answered before; false if it is new. */
  private answerRepeated(request: SlotRequest): boolean {
    const grant = this.ledger.find(request);
    const waiting = this.waitingByKey.get(readSlotRequestKey(request));
    const ended = this.ended.find(request);
    if (grant !== undefined) this.answers.addGranted(grant);
    else if (waiting !== undefined) this.answers.addQueued(waiting.request, this.readExpectedWaitMs(waiting));
    else if (ended?.type === 'rejected') this.answers.addRejected(request, ended.returnAtMs - this.nowMs);
    return grant !== undefined || waiting !== undefined || ended !== undefined;
  }

  private handleNewRequest(request: SlotRequest): void {
    this.recordRequestTime(request);
    const { content, waitedMs } = request;
    const arrival = this.returns.readArrival(content, { nowMs: this.nowMs, waitedMs });
    const waiting = this.createWaiting(request, arrival);
    if (!this.canStart(waiting, this.ledger.listUse(this.nowMs))) return this.reject(waiting);
    if (arrival.type === 'early' && this.listFree().length === 0)
      return this.rejectEarly(waiting, arrival.remembered);
    this.enqueue(waiting);
    this.grantFreeSlots();
    if (this.queue.has(waiting)) this.acceptOrReject(waiting);
    else this.queue.recordEntry(waiting, 'punctual', this.nowMs);
  }

  private adopt(request: SlotRequest, endpointTag: number): void {
    if (this.ledger.find(request) !== undefined || this.ended.find(request) !== undefined) return;
    this.recordRequestTime(request);
    const waiting = this.waitingByKey.get(readSlotRequestKey(request));
    if (waiting !== undefined) this.removeWaiting(waiting);
    const { box, number, expiresMs } = request;
    const leaseEndsAtMs = this.nowMs + expiresMs + LEASE_MARGIN_MS;
    this.ledger.add({ requestId: { box, number }, endpointTag, leaseEndsAtMs });
  }

  private recordRequestTime(request: SlotRequest): void {
    if (this.nowMs - this.requestedAtMs > IDLE_MS) {
      this.settlesAtMs = this.nowMs + SETTLE_MS;
      this.ledger.countReportedUntil(this.settlesAtMs);
      this.holds.assume(readWholeTargetMs(request));
    }
    this.requestedAtMs = this.nowMs;
  }

  private createWaiting(request: SlotRequest, arrival: Arrival): WaitingRequest {
    const targetAtMs = this.nowMs + request.targetMs;
    const headStartMs = arrival.type === 'returned' ? Math.max(0, targetAtMs - arrival.firstDueAtMs) : 0;
    const latestStartAtMs = this.nowMs + request.patienceMs;
    const expiresAtMs = this.nowMs + request.expiresMs;
    return { request, targetAtMs, latestStartAtMs, expiresAtMs, headStartMs };
  }

  /** Whether a request may start now at one of the endpoints. */
  private canStart({ request, latestStartAtMs }: WaitingRequest, uses: readonly EndpointUse[]): boolean {
    return latestStartAtMs > this.nowMs && canUseAny(request, uses);
  }

  private enqueue(waiting: WaitingRequest): void {
    this.queue.add(waiting, this.estimates.meetsTarget(waiting, 0, this.nowMs) ? 'punctual' : 'overdue');
    this.waitingByKey.set(readSlotRequestKey(waiting.request), waiting);
  }

  private acceptOrReject(waiting: WaitingRequest): void {
    const likelyMs = this.estimates.estimateWaitMs(waiting, this.nowMs) * WAIT_MARGIN;
    if (!this.estimates.meetsTarget(waiting, likelyMs, this.nowMs)) this.queue.moveToOverdue(waiting);
    const acceptedMs = (waiting.latestStartAtMs - this.nowMs) * this.readAcceptedShare(waiting);
    if (this.estimates.estimateLeastWaitMs(waiting, this.nowMs) > acceptedMs) return this.reject(waiting);
    if (this.queue.size > MAX_WAITING) this.rejectLast();
    if (!this.queue.has(waiting)) return;
    const promptness = this.queue.isPunctual(waiting) ? 'punctual' : 'overdue';
    this.queue.recordEntry(waiting, promptness, this.nowMs);
    this.answers.addQueued(waiting.request, this.readExpectedWaitMs(waiting));
  }

  private rejectLast(): void {
    const last = this.queue.findLast();
    if (last !== undefined) this.reject(last);
  }

  /** One that a predecessor accepted is rejected only if it starts too late, like those that wait here. */
  private readAcceptedShare({ request }: WaitingRequest): number {
    const mayBeAccepted = request.waitedMs > 0 && this.nowMs < this.settlesAtMs;
    return mayBeAccepted ? 1 : ACCEPTED_SHARE_OF_PATIENCE;
  }

  /** Moves requests that missed their target behind the others, and rejects those that cannot start in time. */
  private reviewWaiting(): void {
    this.reviewedAtMs = this.nowMs;
    for (const waiting of this.queue.list()) {
      if (waiting.latestStartAtMs <= this.nowMs) this.reject(waiting);
      else if (this.queue.isPunctual(waiting) && !this.estimates.meetsTarget(waiting, 0, this.nowMs))
        this.queue.moveToOverdue(waiting);
    }
    const estimateIntervalMs = this.queue.size * ESTIMATE_INTERVAL_PER_WAITING_MS;
    if (this.nowMs - this.estimatedAtMs >= estimateIntervalMs) this.rejectLate();
  }

  /** Rejects waiting requests that are expected to start too late, or lost their last endpoint. */
  private rejectLate(): void {
    this.estimatedAtMs = this.nowMs;
    const uses = this.ledger.listUse(this.nowMs);
    for (const waiting of this.queue.list()) {
      const startsAtMs = this.nowMs + this.estimates.estimateLeastWaitMs(waiting, this.nowMs);
      if (!this.canStart(waiting, uses) || startsAtMs > waiting.latestStartAtMs) this.reject(waiting);
    }
  }

  private listFree(): EndpointUse[] {
    return this.ledger.listUse(this.nowMs).filter(({ inUse, capacity }) => inUse < capacity);
  }

  private grantFreeSlots(): void {
    if (this.ledger.isBrittle && this.nowMs < this.suspendedUntilMs) return;
    for (;;) {
      const free = this.listFree();
      if (free.length === 0) return;
      const waiting = this.queue.take((each) => this.canStart(each, free));
      if (waiting === undefined) return;
      const { holds, random, nowMs } = this;
      const endpointTag = pickEndpoint(waiting.request, free, { holds, random, nowMs });
      if (endpointTag !== undefined) this.grant(waiting, endpointTag);
    }
  }

  private grant({ request, expiresAtMs }: WaitingRequest, endpointTag: number): void {
    const grant = {
      requestId: { box: request.box, number: request.number },
      endpointTag,
      leaseEndsAtMs: expiresAtMs + LEASE_MARGIN_MS,
    };
    this.ledger.add(grant);
    this.waitingByKey.delete(readSlotRequestKey(request));
    this.answers.addGranted(grant);
  }

  private endGrant(grant: Grant, { outcome, heldMs }: SlotRelease): void {
    const mayBeInUse = outcome === 'failed' || (outcome === 'unused' && heldMs > 0);
    if (mayBeInUse) this.endUnreleased(grant, -heldMs);
    else this.ledger.remove(grant);
    switch (outcome) {
      case 'served':
        this.ledger.recordServed(grant.endpointTag);
        this.holds.record(grant.endpointTag, heldMs, this.nowMs);
        return this.estimates.recordCompletion();
      case 'failed':
        this.recordFailure(grant.endpointTag, heldMs);
        return this.estimates.recordCompletion();
      case 'refused':
        return this.ledger.limitAfterRefusal(grant.endpointTag, this.nowMs);
      case 'unused':
        return;
    }
  }

  /** Ends a grant whose endpoint may work on: a brittle one gets no more until nearly all requests would have ended. */
  private endUnreleased(grant: Grant, marginMs: number): void {
    const inUseMs = this.ledger.isBrittle ? this.holds.readLongMs() + marginMs : 0;
    if (inUseMs > 0) this.ledger.shorten(grant, this.nowMs + inUseMs);
    else this.ledger.remove(grant);
  }

  private recordFailure(tag: number, heldMs: number): void {
    const isQuick = heldMs < this.holds.readMs(tag, this.nowMs) * QUICK_FAILURE_SHARE;
    if (isQuick) this.ledger.recordQuickFailure(tag, this.nowMs);
  }

  private removeWaiting(waiting: WaitingRequest): void {
    this.queue.remove(waiting);
    this.waitingByKey.delete(readSlotRequestKey(waiting.request));
  }

  private reject(waiting: WaitingRequest): void {
    const { targetAtMs, headStartMs } = waiting;
    const { afterMs, isReserved } = this.planReturn(waiting);
    this.rejectUntil(waiting, {
      // Without a part of the rate kept for it, it returns like a new one.
      firstDueAtMs: isReserved ? targetAtMs - headStartMs : Infinity,
      rejectedAtMs: this.nowMs,
      returnAtMs: this.nowMs + afterMs,
    });
  }

  /** Rejects one that returned before its time: it is told the same time, unless that is too late for it. */
  private rejectEarly(waiting: WaitingRequest, remembered: RememberedRequest): void {
    const capMs = (waiting.latestStartAtMs - this.nowMs) * MAX_SHARE_OF_PATIENCE;
    const returnAtMs = Math.min(remembered.returnAtMs, this.nowMs + Math.max(ROUND_TRIP_MS, capMs));
    this.rejectUntil(waiting, { ...remembered, rejectedAtMs: this.nowMs, returnAtMs });
  }

  private rejectUntil(waiting: WaitingRequest, remembered: RememberedRequest): void {
    const { request } = waiting;
    const { returnAtMs } = remembered;
    this.removeWaiting(waiting);
    this.rejectedCount += 1;
    this.returns.remember(request.content, remembered);
    this.ended.add(request, { type: 'rejected', returnAtMs });
    this.answers.addRejected(request, returnAtMs - this.nowMs);
  }

  private readExpectedWaitMs(waiting: WaitingRequest): number {
    const estimatedMs = this.estimates.estimateWaitMs(waiting, this.nowMs);
    return Math.min(estimatedMs, waiting.latestStartAtMs - this.nowMs);
  }

  private planReturn({ request, latestStartAtMs }: WaitingRequest): ReturnPlan {
    const { rank } = request;
    const patienceMs = latestStartAtMs - this.nowMs;
    const backlog = this.queue.countAtLeastAsUrgent(rank);
    const { ratePerMs } = this.estimates;
    return this.planner.plan({ rank, patienceMs, backlog, ratePerMs }, this.nowMs);
  }
}
