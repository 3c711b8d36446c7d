/**
 * Decides what becomes of a request when something happens to one of its attempts: whether the response is delivered, the request
 * is sent again, its stream is resumed, or the request fails.
 */
import type { ResultCode } from '@hazelwalk/core';
import type { CallerRequest } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import type { ActiveResponse } from './activeResponse.js';
import type { Assignment } from './assignment.js';
import type { Attempt } from './attempt.js';
import type { AttemptEvent, BreakReason, ResponseHead, UnsentReason } from './attemptEvent.js';
import { findHealthSignal, isLackOfRoom } from './attemptEvent.js';
import type { AttemptEnd } from './attemptEnd.js';
import type { AttemptOpener } from './attemptOpener.js';
import type { AttemptSet } from './attemptSet.js';
import type { ExchangeLogFields, RetryReason } from './exchangeLog.js';
import { logBreak, logContinuation, logRetry, logRoomRefusal, logSurplus } from './exchangeLog.js';
import { pickElsewhereMs, pickRetryAfterMs } from './refusal.js';
import type { RequestEnding } from './requestEnding.js';
import type { RequestQuarantine } from './requestQuarantine.js';
import { takeRetry } from './retryPermission.js';
import { isRepeatable } from './silence.js';
import { isWaitingUseless, recordSilence, watchSilence } from './silenceWatch.js';

const MIN_SERVER_ERROR_STATUS = 500;

/** The request whose attempts are handled, and its parts. */
export interface AttemptEventsOptions {
  readonly request: CallerRequest;
  readonly attempts: AttemptSet;
  readonly opener: AttemptOpener;
  readonly response: ActiveResponse;
  readonly requestQuarantine: RequestQuarantine;
  readonly ending: RequestEnding;
  /** Undefined until the route of the request is known. */
  readonly readAssignment: () => Assignment | undefined;
  readonly createLogFields: () => ExchangeLogFields;
  /** Picks when the caller should retry as its service is away. */
  readonly pickReturnMs: () => number;
  readonly onCallerLeft: () => void;
  readonly onExpired: () => void;
}

/** Handles the events of the attempts of one request, and the silence of their endpoints. */
export class AttemptEvents {
  constructor(
    private readonly context: RouterContext,
    private readonly options: AttemptEventsOptions,
  ) {}

  /** Handles an event of an attempt; does nothing once the request has ended. */
  handle(attempt: Attempt, event: AttemptEvent): void {
    if (this.options.ending.hasEnded) return;
    switch (event.type) {
      case 'sent':
        return this.handleSent(attempt);
      case 'unsent':
        return this.handleUnsent(attempt, event.reason);
      case 'notRun':
        return this.handleNotRun(attempt, event.head);
      case 'head':
        return this.handleHead(attempt, event.head);
      case 'data':
        return this.handleData(attempt, event.chunk);
      case 'end':
        return this.handleEnd(attempt);
      case 'broken':
        return this.handleBroken(attempt, event.reason, event.detail);
    }
  }

  private handleSent(attempt: Attempt): void {
    const nowMs = this.context.now();
    this.options.response.lastActivityAtMs = nowMs;
    attempt.sentAtMs = nowMs;
    attempt.handedOverAtMs = nowMs;
    attempt.softwareVersion = attempt.row.listing.softwareVersion;
    attempt.believed = { inFlight: attempt.row.inFlight, peersInFlight: attempt.row.peersInFlight };
    this.recordContinuation(attempt);
    if (attempt.row.inFlight === 1) attempt.row.busySinceMs = nowMs;
  }

  private recordContinuation(attempt: Attempt): void {
    const { lastEventId, resumedRequestId } = this.options.request;
    const isResumed = this.options.response.hasStarted;
    if (!isResumed && lastEventId === undefined) return;
    const by = isResumed ? 'box' : 'caller';
    logContinuation(this.context, this.options.createLogFields(), attempt.row, { by, resumedRequestId });
  }

  private handleUnsent(attempt: Attempt, reason: UnsentReason): void {
    this.drop(attempt, reason);
    if (reason === 'callerLeft') return this.options.onCallerLeft();
    if (reason === 'deadlinePassed') return this.options.onExpired();
    const signal = findHealthSignal(reason);
    if (signal !== undefined) this.context.recordHealthSignal(attempt.row, signal);
    this.options.attempts.unsentCount += 1;
    logRetry(this.context, this.options.createLogFields(), attempt.row, 'unsent', reason);
    if (this.hasOtherWayThan(attempt)) return;
    if (this.options.attempts.hasReachedUnsentLimit)
      return this.giveUp('connectFailed', this.options.pickReturnMs);
    this.openAttempt();
  }

  private handleNotRun(attempt: Attempt, head: ResponseHead): void {
    const lacksRoom = isLackOfRoom(head);
    this.drop(attempt, 'notRun', lacksRoom);
    if (lacksRoom) {
      this.context.recordLackOfRoom(attempt.row.listing.service);
      logRoomRefusal(this.context, this.options.createLogFields(), attempt);
    }
    this.options.attempts.notRunCount += 1;
    this.context.recordHealthSignal(attempt.row, 'refused');
    // The endpoint confirms this for itself only; another attempt may still be running.
    if (this.hasOtherWayThan(attempt)) return;
    if (this.mayRetry('notRun')) return this.retry(attempt, 'notRun', `status ${head.status}`);
    if (this.assignment !== undefined && !this.options.attempts.endsInTime(this.assignment))
      return this.giveUp('stopping', pickElsewhereMs);
    const backOffMs =
      this.assignment === undefined ? 0 : this.options.attempts.readLeastBackOffMs(this.assignment);
    this.giveUp('endpointsBusy', () => backOffMs + pickRetryAfterMs());
  }

  private handleHead(attempt: Attempt, head: ResponseHead): void {
    if (head.status >= MIN_SERVER_ERROR_STATUS) {
      this.context.recordHealthSignal(attempt.row, 'errored');
      if (this.discardError(attempt, head)) return;
    } else {
      this.context.recordHealthSignal(attempt.row, 'answered');
    }
    if (this.assignment === undefined) return;
    switch (this.options.response.accept(this.assignment, attempt, head)) {
      case 'accepted':
        return this.withdrawOthers(attempt);
      case 'owned':
        logSurplus(this.context, this.options.createLogFields(), attempt.row);
        return this.abandon(attempt, 'surplus');
      case 'unfit':
        this.abandon(attempt, 'resume refused');
        return this.handleBroken(attempt, 'resumeRefused', `status ${head.status}`);
    }
  }

  /** Ends all that could lead to a second response: other attempts, and those that wait to be opened. */
  private withdrawOthers(owner: Attempt): void {
    for (const other of [...this.options.attempts.live])
      if (other !== owner) this.abandon(other, 'lost the race');
    this.options.opener.withdraw();
  }

  /**
   * Discards an error response if the request may be repeated and another attempt is open or allowed; returns false if
   * the error has to be passed on.
   */
  private discardError(attempt: Attempt, head: ResponseHead): boolean {
    const { assignment } = this;
    if (assignment === undefined || this.options.response.hasHead || !isRepeatable(assignment.route))
      return false;
    const hasOtherWay = this.hasOtherWayThan(attempt);
    if (!hasOtherWay && !this.mayRetry('serverError')) return false;
    attempt.discard();
    this.drop(attempt, 'errored');
    if (!hasOtherWay) this.retry(attempt, 'serverError', `status ${head.status}`);
    return true;
  }

  private handleData(attempt: Attempt, chunk: Buffer): void {
    if (this.assignment !== undefined) this.options.response.push(this.assignment, attempt, chunk);
  }

  private handleEnd(attempt: Attempt): void {
    this.drop(attempt, 'whole');
    const { response } = this.options;
    if (!response.hasHead) return;
    attempt.row.lastResponseAtMs = this.context.now();
    const status = response.readWholeStatus();
    if (status === undefined) return this.handleBroken(attempt, 'connectionLost', 'ended inside an event');
    this.options.requestQuarantine.recordResponse(status);
    response.finish();
    this.options.ending.end('answered');
  }

  private handleBroken(attempt: Attempt, reason: BreakReason | 'resumeRefused', detail: string): void {
    this.drop(attempt, 'broken');
    const { context } = this;
    const { requestQuarantine } = this.options;
    if (reason !== 'tunnelLost') context.recordHealthSignal(attempt.row, 'broke');
    logBreak(
      context,
      { ...this.options.createLogFields(), content: requestQuarantine.fingerprint },
      attempt,
      {
        reason,
        detail,
        promptParts: this.options.request.promptParts.map(({ id }) => id).join(),
      },
    );
    const retryOrFail = (): void => this.retryOrFail(attempt, 'broken', `${reason}: ${detail}`);
    if (reason !== 'connectionLost') return retryOrFail();
    const { mustWait, checked } = requestQuarantine.handleBroken(attempt);
    // A request that cannot be repeated fails whatever the check finds, so it fails without waiting.
    if (mustWait && this.options.attempts.mayRepeat(this.assignment)) void checked.then(retryOrFail);
    else retryOrFail();
  }

  /**
   * After an attempt that may have run: retries the request or resumes its stream if allowed, otherwise fails it, or goes on
   * waiting if the endpoint is silent and may go on.
   */
  private retryOrFail(attempt: Attempt, reason: 'broken' | 'silent', detail: string, silentMs = 0): void {
    if (this.options.ending.hasEnded || this.hasOtherWayThan(attempt)) return;
    const { assignment } = this;
    const { response } = this.options;
    if (assignment === undefined) return;
    if (!isRepeatable(assignment.route)) return this.options.ending.fail(detail);
    if (!response.mayMove) return this.options.ending.fail(detail);
    const retryReason = response.hasStarted ? 'resume' : reason;
    const isPermitted = this.mayRetry(retryReason);
    if (reason === 'silent') {
      recordSilence(this.context, attempt, isPermitted);
      if (!isPermitted && !isWaitingUseless(attempt, silentMs)) return;
      this.abandon(attempt, 'silent');
    }
    if (!isPermitted) return this.options.ending.fail(detail);
    this.retry(attempt, retryReason, detail);
  }

  /** Reacts if the endpoint of an attempt has been silent for long; call it once a tick. */
  checkSilence(attempt: Attempt, nowMs: number): void {
    const { assignment, context } = this;
    const { winner, lastActivityAtMs } = this.options.response;
    if (assignment === undefined || attempt.sentAtMs === 0) return;
    const lastDataAtMs = attempt === winner ? lastActivityAtMs : undefined;
    const hasOthers = this.options.attempts.live.length > 1 || this.options.opener.isWaiting;
    const watched = { route: assignment.route, lastDataAtMs, hasOthers, nowMs };
    const { action, silentMs } = watchSilence(context, attempt, watched);
    switch (action) {
      case 'wait':
        return;
      case 'leave':
        return this.leaveSilentEndpoint(attempt, silentMs);
      case 'hedge':
        return this.hedge(attempt, silentMs);
    }
  }

  private hedge(attempt: Attempt, silentMs: number): void {
    const isPermitted = this.mayRetry('hedge');
    recordSilence(this.context, attempt, isPermitted);
    if (isPermitted) this.retry(attempt, 'hedge', `silent for ${Math.round(silentMs)} ms`);
  }

  /** Moves a stream off a silent endpoint if it can and may continue at another one; otherwise keeps waiting. */
  private leaveSilentEndpoint(attempt: Attempt, silentMs: number): void {
    if (!this.options.response.mayMove) return;
    if (!this.options.attempts.mayRepeat(this.assignment)) return;
    this.retryOrFail(attempt, 'silent', `silent for ${Math.round(silentMs)} ms`, silentMs);
  }

  /** Whether another attempt is allowed; if so, it is taken from the retry budget. */
  private mayRetry(reason: RetryReason): boolean {
    const { assignment } = this;
    const { attempts, requestQuarantine, createLogFields } = this.options;
    return takeRetry(this.context, { assignment, attempts, requestQuarantine, createLogFields }, reason);
  }

  private retry(attempt: Attempt, reason: RetryReason, detail: string): void {
    this.context.metrics.retries.inc({ reason });
    logRetry(this.context, this.options.createLogFields(), attempt.row, reason, detail);
    this.openAttempt();
  }

  /** Whether another attempt than this one is in progress, or waits for its admission. */
  private hasOtherWayThan(attempt: Attempt): boolean {
    return this.options.opener.isWaiting || this.options.attempts.live.some((other) => other !== attempt);
  }

  /**
   * Ends a request for which there is no endpoint or no further attempt.
   *
   * @param pickRetryMs called only if the request did not run
   */
  giveUp(code: ResultCode, pickRetryMs = pickRetryAfterMs): void {
    if (this.options.attempts.live.length > 0) return;
    if (this.options.attempts.mayHaveRun) return this.options.ending.fail(code);
    this.options.ending.refuse(code === 'connectFailed' ? 'noEndpoint' : code, pickRetryMs());
  }

  private abandon(attempt: Attempt, end: AttemptEnd): void {
    this.drop(attempt, end);
    attempt.cancel();
  }

  /** Ends all attempts. */
  abandonAll(end: AttemptEnd): void {
    for (const attempt of [...this.options.attempts.live]) this.abandon(attempt, end);
  }

  private drop(attempt: Attempt, end: AttemptEnd, lacksRoom = false): void {
    this.options.attempts.drop(attempt, end, lacksRoom);
    if (end !== 'whole') this.options.response.release(attempt);
  }

  private get assignment(): Assignment | undefined {
    return this.options.readAssignment();
  }

  private openAttempt(): void {
    if (this.assignment !== undefined) this.options.opener.open(this.assignment);
  }
}
