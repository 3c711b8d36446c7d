/**
 * Handles one request of a caller, from its head to the last byte of the response.
 *
 * A request is sent again only if nothing of it was sent, if the endpoint confirms that it did not run, or if its route
 * allows it to run more than once; and only within the route's attempt limit and the fleet's retry budget.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ResultCode } from '@hazelwalk/core';
import type { CallerRequest } from '../records.js';
import type { RouterContext, RunningRequest } from '../routerContext.js';
import { ActiveResponse } from './activeResponse.js';
import type { Attempt, AttemptEvent, BreakReason, ResponseHead, UnsentReason } from './attempt.js';
import type { Assignment } from './assignment.js';
import { findHealthSignal, isLackOfRoom } from './attempt.js';
import type { AttemptEnd } from './attemptEnd.js';
import { AttemptOpener } from './attemptOpener.js';
import { AttemptSet } from './attemptSet.js';
import type { ExchangeLogFields, RetryReason } from './exchangeLog.js';
import { logBreak, logContinuation, logRetry } from './exchangeLog.js';
import { pickReturnMs, pickRetryAfterMs, pickTakeUpRetryMs } from './refusal.js';
import { RequestIntake } from './requestIntake.js';
import { RequestEnding } from './requestEnding.js';
import type { RequestOutcome } from './requestEnding.js';
import { RequestQuarantine } from './requestQuarantine.js';
import { takeRetry } from './retryPermission.js';
import { StreamContinuity } from './streamContinuity.js';
import { isRepeatable } from './silence.js';
import { isWaitingUseless, recordSilence, watchSilence } from './silenceWatch.js';

/** Deadline of a request that states none; the timeout of its route applies as well. */
const DEFAULT_DEADLINE_MS = 30_000;
const MIN_SERVER_ERROR_STATUS = 500;

/** One request in progress. */
export class Exchange implements RunningRequest {
  private readonly arrivedAtMs: number;
  private expiresAtMs = Infinity;
  private assignment: Assignment | undefined;
  private readonly attempts: AttemptSet;
  private readonly intake: RequestIntake;
  private readonly requestQuarantine: RequestQuarantine;
  private readonly ending: RequestEnding;
  private readonly opener: AttemptOpener;
  private readonly continuity: StreamContinuity;
  private readonly response: ActiveResponse;

  constructor(
    private readonly context: RouterContext,
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
    private readonly request: CallerRequest,
  ) {
    this.arrivedAtMs = context.now();
    this.intake = new RequestIntake(context, {
      req,
      request,
      arrivedAtMs: this.arrivedAtMs,
      hasEnded: () => this.ending.hasEnded,
      onAssigned: (assignment, body) => this.handleAssigned(assignment, body),
      onRefused: (code) => this.ending.refuse(code, code === 'notReady' ? this.pickReturnMs() : 0),
    });
    const { arrivedAtMs } = this;
    this.continuity = new StreamContinuity(context, request);
    this.response = new ActiveResponse(context, { res, arrivedAtMs, continuity: this.continuity });
    this.attempts = new AttemptSet(context, {
      req,
      request,
      readExpiry: () => this.expiresAtMs,
      readSoftwareVersion: () => this.continuity.softwareVersion,
      onEvent: (attempt, event) => this.handleEvent(attempt, event),
    });
    this.requestQuarantine = new RequestQuarantine(context, {
      req,
      readCaller: () => this.assignment?.team?.name ?? request.apiKey ?? '',
      readBody: () => this.attempts.body,
      readService: () => this.assignment?.service ?? '',
      readPromptParts: () =>
        this.assignment === undefined ? [] : this.attempts.listPromptParts(this.assignment),
    });
    this.opener = new AttemptOpener(context, {
      attempts: this.attempts,
      requestQuarantine: this.requestQuarantine,
      arrivedAtMs: this.arrivedAtMs,
      readExpiry: () => this.expiresAtMs,
      readResumeAfter: () => this.response.resumeAfter,
      hasEnded: () => this.ending.hasEnded,
      createLogFields: () => this.createLogFields(),
      giveUp: (code, pickRetryMs) => this.giveUp(code, pickRetryMs),
    });
    this.ending = new RequestEnding(context, {
      req,
      res,
      request,
      hasResponseStarted: () => this.response.hasStarted,
      onEnded: (outcome) => this.handleEnded(outcome),
      createLogFields: () => this.createLogFields(),
    });
  }

  /** Reads the body, then sends the request to an endpoint. */
  start(): void {
    const { req, res, context } = this;
    context.exchanges.add(this);
    this.expiresAtMs = this.arrivedAtMs + (this.request.deadlineMs ?? DEFAULT_DEADLINE_MS);
    res.on('close', () => this.handleCallerClosed());
    res.on('drain', () => this.response.winner?.resume());
    req.on('error', () => this.handleCallerClosed());
    this.intake.start();
  }

  /** Runs once a tick: handles timeouts and unresponsive endpoints. */
  tick(nowMs: number): void {
    if (this.ending.hasEnded) return;
    if (nowMs >= this.expiresAtMs) return this.expire();
    if (this.intake.isWaiting) return this.intake.waitForInitialization(nowMs);
    for (const attempt of [...this.attempts.live]) this.checkSilence(attempt, nowMs);
  }

  /** Shifts the timestamps by a pause of this process, during which it could not receive responses. */
  handlePause(pausedMs: number): void {
    this.response.lastActivityAtMs += pausedMs;
    for (const attempt of this.attempts.live) if (attempt.sentAtMs > 0) attempt.sentAtMs += pausedMs;
  }

  private handleAssigned(assignment: Assignment, body: Buffer | undefined): void {
    this.attempts.body = body;
    this.assignment = assignment;
    this.expiresAtMs = Math.min(this.expiresAtMs, this.arrivedAtMs + assignment.route.timeoutMs);
    this.continuity.begin(assignment, (decision) => {
      if (this.ending.hasEnded) return;
      if (decision.err) this.ending.refuse(decision.val, pickTakeUpRetryMs(decision.val));
      else this.sendFirst(decision.val);
    });
  }

  private sendFirst(assignment: Assignment): void {
    const { context } = this;
    this.assignment = assignment;
    context.metrics.requests.inc({ service: assignment.service });
    context.budget.recordRequest(assignment.service, context.now());
    this.openAttempt();
  }

  private openAttempt(): void {
    if (this.assignment !== undefined) this.opener.open(this.assignment);
  }

  private handleEvent(attempt: Attempt, event: AttemptEvent): void {
    if (this.ending.hasEnded) return;
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
    this.response.lastActivityAtMs = nowMs;
    attempt.sentAtMs = nowMs;
    attempt.handedOverAtMs = nowMs;
    attempt.softwareVersion = attempt.row.listing.softwareVersion;
    this.recordContinuation(attempt);
    if (attempt.row.inFlight === 1) attempt.row.busySinceMs = nowMs;
  }

  private recordContinuation(attempt: Attempt): void {
    const { lastEventId, resumedRequestId } = this.request;
    const isResumed = this.response.hasStarted;
    if (!isResumed && lastEventId === undefined) return;
    const by = isResumed ? 'box' : 'caller';
    logContinuation(this.context, this.createLogFields(), attempt.row, { by, resumedRequestId });
  }

  private handleUnsent(attempt: Attempt, reason: UnsentReason): void {
    this.drop(attempt, reason);
    if (reason === 'callerLeft') return this.handleCallerClosed();
    if (reason === 'deadlinePassed') return this.expire();
    const signal = findHealthSignal(reason);
    if (signal !== undefined) this.context.recordHealthSignal(attempt.row, signal);
    this.attempts.unsentCount += 1;
    logRetry(this.context, this.createLogFields(), attempt.row, 'unsent', reason);
    if (this.hasOtherWayThan(attempt)) return;
    if (this.attempts.hasReachedUnsentLimit) return this.giveUp('connectFailed', this.pickReturnMs);
    this.openAttempt();
  }

  private handleNotRun(attempt: Attempt, head: ResponseHead): void {
    const lacksRoom = isLackOfRoom(head);
    this.drop(attempt, 'notRun', lacksRoom);
    if (lacksRoom) this.context.recordLackOfRoom(attempt.row.listing.service);
    this.attempts.notRunCount += 1;
    this.context.recordHealthSignal(attempt.row, 'refused');
    // The endpoint confirms this for itself only; another attempt may still be running.
    if (this.hasOtherWayThan(attempt)) return;
    if (this.mayRetry('notRun')) return this.retry(attempt, 'notRun', `status ${head.status}`);
    const backOffMs = this.assignment === undefined ? 0 : this.attempts.readLeastBackOffMs(this.assignment);
    this.giveUp('endpointsBusy', () => backOffMs + pickRetryAfterMs());
  }

  private handleHead(attempt: Attempt, head: ResponseHead): void {
    if (head.status >= MIN_SERVER_ERROR_STATUS) {
      this.context.recordHealthSignal(attempt.row, 'errored');
      if (this.discardError(attempt, head)) return;
    } else {
      this.context.recordHealthSignal(attempt.row, 'answered');
    }
    for (const other of [...this.attempts.live]) if (other !== attempt) this.abandon(other, 'lost the race');
    this.opener.withdraw();
    if (this.assignment === undefined || this.response.accept(this.assignment, attempt, head)) return;
    // The caller already has the head of another response, which this one cannot continue.
    this.abandon(attempt, 'resume refused');
    this.handleBroken(attempt, 'resumeRefused', `status ${head.status}`);
  }

  /**
   * Discards an error response if the request may be repeated and another attempt is open or allowed; returns false if
   * the error has to be passed on.
   */
  private discardError(attempt: Attempt, head: ResponseHead): boolean {
    const { assignment } = this;
    if (assignment === undefined || this.response.hasHead || !isRepeatable(assignment.route)) return false;
    const hasOtherWay = this.hasOtherWayThan(attempt);
    if (!hasOtherWay && !this.mayRetry('serverError')) return false;
    attempt.discard();
    this.drop(attempt, 'errored');
    if (!hasOtherWay) this.retry(attempt, 'serverError', `status ${head.status}`);
    return true;
  }

  private handleData(attempt: Attempt, chunk: Buffer): void {
    if (this.assignment !== undefined) this.response.push(this.assignment, attempt, chunk);
  }

  private handleEnd(attempt: Attempt): void {
    this.drop(attempt, 'whole');
    const { response } = this;
    if (!response.hasHead) return;
    attempt.row.lastResponseAtMs = this.context.now();
    const status = response.readWholeStatus();
    if (status === undefined) return this.handleBroken(attempt, 'connectionLost', 'ended inside an event');
    this.requestQuarantine.recordResponse(status);
    response.finish();
    this.ending.end('answered');
  }

  private handleBroken(attempt: Attempt, reason: BreakReason | 'resumeRefused', detail: string): void {
    this.drop(attempt, 'broken');
    const { context, requestQuarantine } = this;
    if (reason !== 'tunnelLost') context.recordHealthSignal(attempt.row, 'broke');
    logBreak(context, { ...this.createLogFields(), content: requestQuarantine.fingerprint }, attempt, {
      reason,
      detail,
      promptParts: this.request.promptParts.map(({ id }) => id).join(),
    });
    const retryOrFail = (): void => this.retryOrFail(attempt, 'broken', `${reason}: ${detail}`);
    if (reason !== 'connectionLost') return retryOrFail();
    const { mustWait, checked } = requestQuarantine.handleBroken(attempt);
    // A request that cannot be repeated fails whatever the check finds, so it fails without waiting.
    if (mustWait && this.attempts.mayRepeat(this.assignment)) void checked.then(retryOrFail);
    else retryOrFail();
  }

  /**
   * After an attempt that may have run: retries the request or resumes its stream if allowed, otherwise fails it, or goes on
   * waiting if the endpoint is silent and may go on.
   */
  private retryOrFail(attempt: Attempt, reason: 'broken' | 'silent', detail: string, silentMs = 0): void {
    if (this.ending.hasEnded || this.hasOtherWayThan(attempt)) return;
    const { assignment, response } = this;
    if (assignment === undefined) return;
    if (!isRepeatable(assignment.route)) return this.ending.fail(detail);
    if (!response.mayMove) return this.ending.fail(detail);
    const retryReason = response.hasStarted ? 'resume' : reason;
    const isPermitted = this.mayRetry(retryReason);
    if (reason === 'silent') {
      recordSilence(this.context, attempt, isPermitted);
      if (!isPermitted && !isWaitingUseless(attempt, silentMs)) return;
      this.abandon(attempt, 'silent');
    }
    if (!isPermitted) return this.ending.fail(detail);
    response.prepareRetry();
    this.retry(attempt, retryReason, detail);
  }

  private checkSilence(attempt: Attempt, nowMs: number): void {
    const { assignment, context } = this;
    const { winner, lastActivityAtMs } = this.response;
    if (assignment === undefined || attempt.sentAtMs === 0) return;
    const lastDataAtMs = attempt === winner ? lastActivityAtMs : undefined;
    const hasOthers = this.attempts.live.length > 1 || this.opener.isWaiting;
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
    if (!this.response.mayMove) return;
    if (!this.attempts.mayRepeat(this.assignment)) return;
    this.retryOrFail(attempt, 'silent', `silent for ${Math.round(silentMs)} ms`, silentMs);
  }

  /** Whether another attempt is allowed; if so, it is taken from the retry budget. */
  private mayRetry(reason: RetryReason): boolean {
    const { assignment, attempts, requestQuarantine, createLogFields } = this;
    return takeRetry(this.context, { assignment, attempts, requestQuarantine, createLogFields }, reason);
  }

  private retry(attempt: Attempt, reason: RetryReason, detail: string): void {
    this.context.metrics.retries.inc({ reason });
    logRetry(this.context, this.createLogFields(), attempt.row, reason, detail);
    this.openAttempt();
  }

  private expire(): void {
    const { assignment } = this;
    const isRouteTimeout =
      assignment !== undefined && this.context.now() - this.arrivedAtMs >= assignment.route.timeoutMs;
    if (this.attempts.live.some((attempt) => attempt.sentAtMs > 0) && !this.response.hasHead)
      for (const attempt of this.attempts.live) recordSilence(this.context, attempt, true);
    this.abandonAll('expired');
    if (!this.attempts.mayHaveRun) return this.ending.refuse('overloaded', pickRetryAfterMs());
    if (isRouteTimeout) this.ending.fail('route time-out', 'routeTimeout');
    else this.ending.fail('deadline', 'deadlineExceeded');
  }

  /** Whether another attempt than this one is in progress, or waits for its admission. */
  private hasOtherWayThan(attempt: Attempt): boolean {
    return this.opener.isWaiting || this.attempts.live.some((other) => other !== attempt);
  }

  /** Picks when the caller should retry as its service is away. */
  private readonly pickReturnMs = (): number =>
    pickReturnMs(this.context, this.assignment?.service, this.expiresAtMs);

  /**
   * Ends a request for which there is no endpoint or no further attempt.
   *
   * @param pickRetryMs called only if the request did not run
   */
  private giveUp(code: ResultCode, pickRetryMs = pickRetryAfterMs): void {
    if (this.attempts.live.length > 0) return;
    if (this.attempts.mayHaveRun) return this.ending.fail(code);
    this.ending.refuse(code === 'connectFailed' ? 'noEndpoint' : code, pickRetryMs());
  }

  private handleCallerClosed(): void {
    if (this.ending.hasEnded) return;
    this.abandonAll('caller left');
    this.ending.end('callerGone');
  }

  private handleEnded(outcome: RequestOutcome): void {
    this.opener.withdraw();
    this.continuity.recordEnd();
    this.abandonAll(outcome);
    this.context.exchanges.delete(this);
  }

  private readonly createLogFields = (): ExchangeLogFields => ({
    requestId: this.request.requestId,
    content: this.requestQuarantine.knownFingerprint,
    route: this.assignment?.route.name,
    service: this.assignment?.service,
    team: this.assignment?.team?.name,
    endpoint: this.response.winner?.row.listing.id ?? this.attempts.lastTriedId,
    ...this.attempts.createLogFields(),
    ageMs: Math.round(this.context.now() - this.arrivedAtMs),
  });

  private abandon(attempt: Attempt, end: AttemptEnd): void {
    this.drop(attempt, end);
    attempt.cancel();
  }

  private abandonAll(end: AttemptEnd): void {
    for (const attempt of [...this.attempts.live]) this.abandon(attempt, end);
  }

  private drop(attempt: Attempt, end: AttemptEnd, lacksRoom = false): void {
    this.attempts.drop(attempt, end, lacksRoom);
    if (this.response.winner === attempt && end !== 'whole') this.response.winner = undefined;
  }
}
