/**
 * One request of a caller, from its head to the last byte of its answer.
 *
 * A request is sent again only if nothing was sent, if an endpoint vouches that it did not run, or if it may run more
 * than once; and only within the attempts of its route and the fleet's retry budget.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ResultCode } from '@hazelwalk/core';
import type { CallerRequest } from '../records.js';
import type { RouterContext, RunningRequest } from '../routerContext.js';
import type { AnswerDelivery } from './answerDelivery.js';
import { createDelivery } from './answerDelivery.js';
import type { AnswerHead, Attempt, AttemptEvent, BreakReason, UnsentReason } from './attempt.js';
import { assignRequest } from './assignment.js';
import type { Assignment } from './assignment.js';
import { findHealthSign } from './attempt.js';
import { AttemptSet } from './attemptSet.js';
import type { ExchangeFacts, RetryReason } from './exchangeLog.js';
import { logBreak, logOutcome, logRetry } from './exchangeLog.js';
import type { RouterRefusal } from './refusal.js';
import { pickRetryAfterMs, pickReturnMs, sendRefusal } from './refusal.js';
import { readRequestBody } from './requestBody.js';
import { RequestSuspicion } from './requestSuspicion.js';
import { takeRetry } from './retryPermission.js';
import { isRepeatable } from './silence.js';
import { watchSilence } from './silenceWatch.js';

/** A request that names no deadline is held at most this long beyond its route's time-out. */
const DEFAULT_DEADLINE_MS = 30_000;
/** A box that just started takes requests before it has read what to serve; they wait for it this long. */
const START_WAIT_MS = 1_000;
const LEAST_SERVER_ERROR = 500;

/** One request under way. */
export class Exchange implements RunningRequest {
  private readonly arrivedAtMs: number;
  private expiresAtMs = Infinity;
  private assignment: Assignment | undefined;
  private readonly attempts: AttemptSet;
  private delivery: AnswerDelivery | undefined;
  private winner: Attempt | undefined;
  private heardAtMs = 0;
  private isSettled = false;
  /** Its body is read, but the box does not know yet what to serve. */
  private isWaitingForStart = false;
  private readonly suspicion: RequestSuspicion;

  constructor(
    private readonly context: RouterContext,
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
    private readonly request: CallerRequest,
  ) {
    this.arrivedAtMs = context.now();
    this.attempts = new AttemptSet(context, {
      req,
      request,
      readExpiry: () => this.expiresAtMs,
      onEvent: (attempt, event) => this.handleEvent(attempt, event),
    });
    this.suspicion = new RequestSuspicion(context, {
      req,
      readCaller: () => this.assignment?.team?.name ?? request.apiKey ?? '',
      readBody: () => this.attempts.body,
    });
  }

  /** Reads the body and goes on from there. */
  start(): void {
    const { req, res, context } = this;
    context.exchanges.add(this);
    this.expiresAtMs = this.arrivedAtMs + (this.request.deadlineMs ?? DEFAULT_DEADLINE_MS);
    res.on('close', () => this.handleCallerClosed());
    res.on('drain', () => this.winner?.resume());
    req.on('error', () => this.handleCallerClosed());
    readRequestBody(req, {
      readLimit: () => context.readIndex()?.configuration.limits.maxBodyBytes ?? Infinity,
      onTooLarge: () => this.refuse('bodyTooLarge', 0),
      onWhole: (body) => this.handleBody(body),
    });
  }

  /** Runs once a tick: time-outs and silent endpoints. */
  tick(nowMs: number): void {
    if (this.isSettled) return;
    if (nowMs >= this.expiresAtMs) return this.expire();
    if (this.isWaitingForStart) return this.waitForStart(nowMs);
    for (const attempt of [...this.attempts.live]) this.checkSilence(attempt, nowMs);
  }

  /** The process stood still: endpoints could not be heard meanwhile. */
  handlePause(stalledMs: number): void {
    this.heardAtMs += stalledMs;
    for (const attempt of this.attempts.live) if (attempt.sentAtMs > 0) attempt.sentAtMs += stalledMs;
  }

  private handleBody(body: Buffer | undefined): void {
    if (this.isSettled) return;
    this.attempts.body = body;
    this.waitForStart(this.context.now());
  }

  /** Goes on as soon as the box knows what to serve; refuses if that takes too long. */
  private waitForStart(nowMs: number): void {
    const isInformed = this.context.isInitialized();
    this.isWaitingForStart = !isInformed && nowMs - this.arrivedAtMs < START_WAIT_MS;
    if (!this.isWaitingForStart) this.begin();
  }

  private begin(): void {
    const { context, req, request } = this;
    const matched = assignRequest(context, req, request);
    if (matched.err) return this.refuse(matched.val, matched.val === 'notReady' ? pickRetryAfterMs() : 0);
    const assignment = matched.val;
    this.assignment = assignment;
    this.expiresAtMs = Math.min(this.expiresAtMs, this.arrivedAtMs + assignment.route.timeoutMs);
    context.metrics.requests.inc({ service: assignment.service });
    context.budget.recordRequest(assignment.service, context.now());
    this.place(undefined);
  }

  /** Sends the request to an endpoint, or gives up if there is none. */
  private place(resumeAfter: string | undefined): void {
    const { assignment, suspicion } = this;
    if (assignment === undefined || this.isSettled) return;
    const waitMs = suspicion.readWaitMs();
    if (waitMs > 0) return this.giveUp('requestQuarantined', waitMs);
    if (suspicion.awaitJudgement(() => this.place(resumeAfter))) return;
    const opened = this.attempts.open(assignment, resumeAfter, suspicion.mustSpread());
    if (opened.err) this.giveUp(opened.val.reason, pickReturnMs(opened.val));
  }

  private handleEvent(attempt: Attempt, event: AttemptEvent): void {
    if (this.isSettled) return;
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
    this.heardAtMs = nowMs;
    attempt.sentAtMs = nowMs;
    attempt.handedOverAtMs = nowMs;
    if (attempt.row.inFlight === 1) attempt.row.busySinceMs = nowMs;
  }

  private handleUnsent(attempt: Attempt, reason: UnsentReason): void {
    this.drop(attempt, reason);
    if (reason === 'callerLeft') return this.handleCallerClosed();
    if (reason === 'deadlinePassed') return this.expire();
    const sign = findHealthSign(reason);
    if (sign !== undefined) this.context.recordHealthSignal(attempt.row, sign);
    this.attempts.unsentCount += 1;
    logRetry(this.context, this.listFacts(), attempt.row, 'unsent', reason);
    if (this.attempts.live.length > 0) return;
    if (this.attempts.hasTriedEnough) return this.giveUp('connectFailed');
    this.place(this.delivery?.lastEventId);
  }

  private handleNotRun(attempt: Attempt, head: AnswerHead): void {
    this.drop(attempt, 'notRun');
    this.attempts.notRunCount += 1;
    this.context.recordHealthSignal(attempt.row, 'refused');
    // Its word covers its own run only; another attempt may still be running.
    if (this.attempts.live.length > 0) return;
    if (this.mayRetry('notRun')) return this.retry(attempt, 'notRun', `status ${head.status}`);
    const backOffMs = this.assignment === undefined ? 0 : this.attempts.readLeastBackOffMs(this.assignment);
    this.giveUp('endpointsBusy', backOffMs + pickRetryAfterMs());
  }

  private handleHead(attempt: Attempt, head: AnswerHead): void {
    if (head.status >= LEAST_SERVER_ERROR) {
      this.context.recordHealthSignal(attempt.row, 'errored');
      if (this.discardError(attempt, head)) return;
    } else {
      this.context.recordHealthSignal(attempt.row, 'answered');
    }
    for (const other of [...this.attempts.live]) if (other !== attempt) this.abandon(other, 'lost the race');
    this.winner = attempt;
    this.heardAtMs = this.context.now();
    if (this.delivery === undefined) this.startDelivery(head);
    else if (head.status !== this.delivery.status) {
      // The caller has the head of another answer already: this one cannot continue it.
      this.abandon(attempt, 'resume refused');
      this.handleBroken(attempt, 'resumeRefused', `status ${head.status}`);
    }
  }

  /** An error of a request that may repeat is dropped for another attempt; false if it has to be passed on. */
  private discardError(attempt: Attempt, head: AnswerHead): boolean {
    const { assignment } = this;
    if (assignment === undefined || this.delivery !== undefined || !isRepeatable(assignment.route))
      return false;
    const others = this.attempts.live.filter((other) => other !== attempt);
    if (others.length === 0 && !this.mayRetry('serverError')) return false;
    attempt.discard();
    this.drop(attempt, 'errored');
    if (others.length === 0) this.retry(attempt, 'serverError', `status ${head.status}`);
    return true;
  }

  private startDelivery(head: AnswerHead): void {
    const { assignment, context, res } = this;
    if (assignment === undefined) return;
    if (context.isStopping()) res.shouldKeepAlive = false;
    const isStream = assignment.route.kind === 'stream';
    this.delivery = createDelivery(res, head, isStream, assignment.route.isResumable);
    context.metrics.firstByteMs.observe({ service: assignment.service }, context.now() - this.arrivedAtMs);
  }

  private handleData(attempt: Attempt, chunk: Buffer): void {
    if (attempt !== this.winner || this.delivery === undefined) return;
    const nowMs = this.context.now();
    this.heardAtMs = nowMs;
    attempt.row.lastResponseAtMs = nowMs;
    if (!this.delivery.push(chunk)) attempt.pause();
  }

  private handleEnd(attempt: Attempt): void {
    this.drop(attempt, 'whole');
    const { delivery } = this;
    if (delivery === undefined) return;
    attempt.row.lastResponseAtMs = this.context.now();
    if (!delivery.isWhole()) return this.handleBroken(attempt, 'connectionLost', 'ended inside an event');
    this.suspicion.noteAnswered(delivery.status);
    delivery.finish();
    this.settle('answered');
  }

  private handleBroken(attempt: Attempt, reason: BreakReason | 'resumeRefused', detail: string): void {
    this.drop(attempt, 'broken');
    const { context, suspicion } = this;
    context.recordHealthSignal(attempt.row, 'broke');
    logBreak(context, { ...this.listFacts(), content: suspicion.content }, attempt, { reason, detail });
    const goOn = (): void => this.goOnElsewhere(attempt, 'broken', `${reason}: ${detail}`);
    if (reason !== 'connectionLost') return goOn();
    const { mustWait, checked } = suspicion.noteBroken(attempt);
    // What fails in any case is answered at once.
    if (mustWait && this.attempts.mayRepeat(this.assignment)) void checked.then(goOn);
    else goOn();
  }

  /** After an attempt that may have run: sends again what may repeat, or ends the request as failed. */
  private goOnElsewhere(attempt: Attempt, reason: 'broken' | 'silent', detail: string): void {
    if (this.isSettled || this.attempts.live.length > 0) return;
    const { assignment, delivery } = this;
    if (assignment === undefined) return;
    if (!isRepeatable(assignment.route)) return this.fail(detail);
    if (delivery?.hasStarted === true && !delivery.canResume) return this.fail(detail);
    if (!this.mayRetry(reason)) return this.fail(detail);
    if (delivery?.hasStarted === true) {
      delivery.prepareResume();
      return this.retry(attempt, 'resume', detail, delivery.lastEventId);
    }
    this.delivery = undefined;
    this.retry(attempt, reason, detail);
  }

  private checkSilence(attempt: Attempt, nowMs: number): void {
    const { assignment, context, winner, heardAtMs } = this;
    if (assignment === undefined || attempt.sentAtMs === 0) return;
    const answeredAtMs = attempt === winner ? heardAtMs : undefined;
    const hasOthers = this.attempts.live.length > 1;
    const { action: verdict, silentMs } = watchSilence(context, attempt, {
      route: assignment.route,
      answeredAtMs,
      hasOthers,
      nowMs,
    });
    switch (verdict) {
      case 'wait':
        return;
      case 'leave':
        return this.leaveSilent(attempt, silentMs);
      case 'hedge':
        return this.hedge(attempt, silentMs);
    }
  }

  private hedge(attempt: Attempt, silentMs: number): void {
    if (!this.mayRetry('hedge')) return;
    this.context.recordHealthSignal(attempt.row, 'silent');
    this.retry(attempt, 'hedge', `silent for ${Math.round(silentMs)} ms`);
  }

  /** Moves a stream off a silent endpoint, if it can go on elsewhere; otherwise goes on waiting. */
  private leaveSilent(attempt: Attempt, silentMs: number): void {
    const { delivery, assignment } = this;
    if (delivery?.hasStarted === true && !delivery.canResume) return;
    if (assignment === undefined || !this.attempts.mayOpenAnother(assignment.route)) return;
    this.abandon(attempt, 'silent');
    this.context.recordHealthSignal(attempt.row, 'silent');
    this.goOnElsewhere(attempt, 'silent', `silent for ${Math.round(silentMs)} ms`);
  }

  /** Whether another attempt is allowed; takes it from the budget. */
  private mayRetry(reason: RetryReason): boolean {
    const { assignment, attempts, suspicion } = this;
    const listFacts = (): ExchangeFacts => this.listFacts();
    return takeRetry(this.context, { assignment, attempts, suspicion, listFacts }, reason);
  }

  private retry(attempt: Attempt, reason: RetryReason, detail: string, resumeAfter?: string): void {
    this.context.metrics.retries.inc({ reason });
    logRetry(this.context, this.listFacts(), attempt.row, reason, detail);
    this.place(resumeAfter);
  }

  private expire(): void {
    const { assignment } = this;
    const isRouteTimeout =
      assignment !== undefined && this.context.now() - this.arrivedAtMs >= assignment.route.timeoutMs;
    if (this.attempts.live.some((attempt) => attempt.sentAtMs > 0) && this.delivery === undefined) {
      for (const attempt of this.attempts.live) this.context.recordHealthSignal(attempt.row, 'silent');
    }
    this.abandonAll('expired');
    if (!this.attempts.mayHaveRun) return this.refuse('overloaded', pickRetryAfterMs());
    this.fail(
      isRouteTimeout ? 'route time-out' : 'deadline',
      isRouteTimeout ? 'routeTimeout' : 'deadlineExceeded',
    );
  }

  /** Ends a request that no endpoint takes. */
  private giveUp(code: ResultCode, retryAfterMs = pickRetryAfterMs()): void {
    if (this.attempts.live.length > 0) return;
    if (this.attempts.mayHaveRun) return this.fail(code);
    this.refuse(code === 'connectFailed' ? 'noEndpoint' : code, retryAfterMs);
  }

  /** Ends a request that may have run: as failed, or as visibly cut off if its answer has begun. */
  private fail(detail: string, code: ResultCode = 'endpointBroke'): void {
    if (this.isSettled) return;
    const hasStarted = this.delivery?.hasStarted === true;
    this.settle(code, detail);
    if (hasStarted) this.res.destroy();
    else this.respond({ code, ran: 'unknown', retryAfterMs: 0 }, false);
  }

  /** Ends a request that did not run and never will. */
  private refuse(code: ResultCode, retryAfterMs: number): void {
    if (this.isSettled) return;
    this.settle(code);
    this.respond({ code, ran: 'no', retryAfterMs }, !this.req.complete);
  }

  private respond(refusal: RouterRefusal, closes: boolean): void {
    sendRefusal(this.res, this.context.dialect, refusal, this.request.requestId, closes);
  }

  private handleCallerClosed(): void {
    if (this.isSettled) return;
    this.abandonAll('caller left');
    this.settle('callerGone');
  }

  private settle(outcome: 'answered' | ResultCode, detail?: string): void {
    this.isSettled = true;
    const { context } = this;
    this.abandonAll(outcome);
    context.exchanges.delete(this);
    logOutcome(context, this.listFacts(), outcome, detail);
  }

  private listFacts(): ExchangeFacts {
    const { assignment } = this;
    return {
      requestId: this.request.requestId,
      content: this.suspicion.knownContent,
      route: assignment?.route.name,
      service: assignment?.service,
      team: assignment?.team?.name,
      endpoint: this.winner?.row.listing.id ?? this.attempts.lastTriedId,
      ...this.attempts.listFacts(),
      ageMs: Math.round(this.context.now() - this.arrivedAtMs),
    };
  }

  private abandon(attempt: Attempt, end: string): void {
    this.drop(attempt, end);
    attempt.cancel();
  }

  private abandonAll(end: string): void {
    for (const attempt of [...this.attempts.live]) this.abandon(attempt, end);
  }

  private drop(attempt: Attempt, end: string): void {
    this.attempts.drop(attempt, end);
    if (this.winner === attempt && end !== 'whole') this.winner = undefined;
  }
}
