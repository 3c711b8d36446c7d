/**
 * One request of a caller, from its head to the last byte of its answer.
 *
 * A request is sent again only if nothing was sent, if an endpoint vouches that it did not run, or if it may run more
 * than once; and only within the attempts of its route and the fleet's retry budget.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { ResultCode } from '@hazelwalk/core';
import type { CallerRequest, Route, Service, Team } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import type { HealthSign } from '../systems/endpointHealth.js';
import { pickTarget } from '../systems/routeIndex.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import { readSharedPrompt } from '../systems/placement.js';
import type { AnswerDelivery } from './answerDelivery.js';
import { createDelivery } from './answerDelivery.js';
import { Attempt } from './attempt.js';
import type { AnswerHead, AttemptEvent, ForwardedRequest } from './attempt.js';
import { keepForwarded } from './forwardHeaders.js';
import { sendRefusal } from './refusal.js';

/** A request that names no deadline is held at most this long beyond its route's time-out. */
const DEFAULT_DEADLINE_MS = 30_000;
/** Endpoints that may be tried in vain before a request is refused; nothing is sent to them. */
const MAX_UNSENT = 4;
/** A request that runs at most once goes on a connection that was used a moment ago, or on a new one. */
const ONCE_MAX_IDLE_MS = 1_000;
const REPEATABLE_MAX_IDLE_MS = 20_000;
/** A plain request without an answer is sent a second time after this share of its target latency. */
const HEDGE_SHARE = 0.6;
/** A resumable stream that is silent for this long goes on elsewhere. */
const STREAM_SILENCE_MS = 800;
/** Less time than this is not worth another attempt. */
const LEAST_ATTEMPT_MS = 50;
/** When callers should come back after a refusal: soon enough to be on time, spread so that they don't return together. */
const RETRY_AFTER_MS = 60;
const RETRY_AFTER_SPREAD_MS = 60;
/** Connections that an endpoint of an undeclared service is assumed to take. */
const DEFAULT_MAX_CONNECTIONS = 64;
const LEAST_SERVER_ERROR = 500;

/** Why a request is sent again. */
type RetryReason = 'unsent' | 'notRun' | 'serverError' | 'broken' | 'silent' | 'hedge' | 'resume';

/** What a request is for, once matched. */
interface Assignment {
  readonly route: Route;
  readonly team: Team | undefined;
  readonly service: string;
  readonly declared: Service | undefined;
}

/** One request under way. */
export class Exchange {
  private readonly arrivedAtMs: number;
  private readonly chunks: Buffer[] = [];
  private bodyBytes = 0;
  private body: Buffer | undefined;
  private expiresAtMs = Infinity;
  private assignment: Assignment | undefined;
  private attempts: Attempt[] = [];
  private readonly triedIds = new Set<string>();
  private sentCount = 0;
  private unsentCount = 0;
  private delivery: AnswerDelivery | undefined;
  private winner: Attempt | undefined;
  private heardAtMs = 0;
  private provenNotRun = 0;
  private isSettled = false;

  constructor(
    private readonly context: RouterContext,
    private readonly req: IncomingMessage,
    private readonly res: ServerResponse,
    private readonly request: CallerRequest,
  ) {
    this.arrivedAtMs = context.now();
  }

  /** Reads the body and goes on from there. */
  start(): void {
    const { req, res, context } = this;
    context.exchanges.add(this);
    this.expiresAtMs = this.arrivedAtMs + (this.request.deadlineMs ?? DEFAULT_DEADLINE_MS);
    res.on('close', () => this.handleCallerClosed());
    res.on('drain', () => this.winner?.resume());
    req.on('error', () => this.handleCallerClosed());
    req.on('data', (chunk: Buffer) => this.readBody(chunk));
    req.on('end', () => this.handleBodyRead());
  }

  /** Runs once a tick: time-outs and silent endpoints. */
  tick(nowMs: number): void {
    if (this.isSettled) return;
    if (nowMs >= this.expiresAtMs) return this.expire();
    for (const attempt of [...this.attempts]) this.checkSilence(attempt, nowMs);
  }

  private readBody(chunk: Buffer): void {
    this.bodyBytes += chunk.length;
    const limit = this.context.readIndex()?.configuration.limits.maxBodyBytes ?? Infinity;
    if (this.bodyBytes > limit) return this.refuse('bodyTooLarge', 0);
    this.chunks.push(chunk);
  }

  private handleBodyRead(): void {
    if (this.isSettled) return;
    this.body = this.chunks.length === 0 ? undefined : Buffer.concat(this.chunks);
    const assignment = this.assign();
    if (assignment === undefined) return;
    this.assignment = assignment;
    const { context } = this;
    this.expiresAtMs = Math.min(this.expiresAtMs, this.arrivedAtMs + assignment.route.timeoutMs);
    context.metrics.requests.inc({ service: assignment.service });
    context.budget.noteRequest(assignment.service, context.now());
    this.place(undefined);
  }

  private assign(): Assignment | undefined {
    const index = this.context.readIndex();
    if (index === undefined) {
      this.refuse('notReady', this.pickRetryAfter());
      return undefined;
    }
    const path = readPath(this.req.url ?? '/');
    const match = index.match(this.req.headers.host ?? '', path, this.request.apiKey);
    if (match.type === 'refused') {
      this.refuse(match.code, 0);
      return undefined;
    }
    const { route, team } = match;
    const spread = readSharedPrompt(this.request.promptParts) ?? this.request.requestId;
    const service = pickTarget(route.targets, this.context.hash(spread)) ?? '';
    return { route, team, service, declared: index.findService(service) };
  }

  /** Sends the request to an endpoint, or gives up if there is none. */
  private place(resumeAfter: string | undefined): void {
    const { context, assignment } = this;
    if (assignment === undefined) return;
    const choice = context.placement.choose(
      {
        service: assignment.service,
        promptParts: this.request.promptParts,
        excluded: this.triedIds,
      },
      context.now(),
    );
    if (choice === undefined) return this.giveUp('noEndpoint');
    const { row } = choice;
    const cacheSource = assignment.declared?.canMoveCache === true ? choice.cacheSource : undefined;
    this.triedIds.add(row.listing.id);
    const isRepeatable = this.isRepeatable(assignment);
    const attempt = new Attempt({
      row,
      connections: context.connections,
      dialect: context.dialect,
      createRequest: () => this.createRequest(row, assignment, resumeAfter, cacheSource),
      maxIdleMs: isRepeatable ? REPEATABLE_MAX_IDLE_MS : ONCE_MAX_IDLE_MS,
      maxConnections: assignment.declared?.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
      onEvent: (from, event) => this.handleEvent(from, event),
    });
    this.attempts.push(attempt);
    void attempt.start();
  }

  private createRequest(
    row: EndpointRow,
    assignment: Assignment,
    resumeAfter: string | undefined,
    cacheSource: EndpointRow | undefined,
  ): ForwardedRequest {
    const { context, req, request } = this;
    const deadlineMs = Math.max(1, Math.round(this.expiresAtMs - context.now()));
    const forwarded = context.dialect.writeForwarded({
      deadlineMs,
      endpointId: row.listing.id,
      team: assignment.team?.name,
      lastEventId: resumeAfter,
      cacheSource:
        cacheSource === undefined ? undefined : `${cacheSource.listing.host}:${cacheSource.listing.port}`,
    });
    const dropped = new Set(context.dialect.reservedHeaders);
    if (resumeAfter !== undefined) dropped.add('last-event-id');
    return {
      requestId: request.requestId,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: [...keepForwarded(req.rawHeaders, dropped), ...forwarded],
      body: this.body,
    };
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
        return this.handleBroken(attempt, `${event.reason}: ${event.detail}`);
    }
  }

  private handleSent(attempt: Attempt): void {
    const nowMs = this.context.now();
    this.sentCount += 1;
    this.heardAtMs = nowMs;
    attempt.sentAtMs = nowMs;
    if (attempt.row.inFlight === 1) attempt.row.busySinceMs = nowMs;
  }

  private handleUnsent(attempt: Attempt, reason: 'connectRefused' | 'connectTimedOut' | 'connectionLimit'): void {
    this.dropAttempt(attempt, reason);
    if (reason !== 'connectionLimit') this.noteSign(attempt, reason);
    this.unsentCount += 1;
    this.logRetry(attempt, 'unsent', reason);
    if (this.attempts.length > 0) return;
    if (this.unsentCount > MAX_UNSENT) return this.giveUp('connectFailed');
    this.place(this.delivery?.lastEventId);
  }

  private handleNotRun(attempt: Attempt, head: AnswerHead): void {
    this.dropAttempt(attempt, 'notRun');
    this.provenNotRun += 1;
    this.noteLoad(attempt, head);
    this.noteSign(attempt, 'refused');
    // Its word covers its own run only; another attempt may still be running.
    if (this.attempts.length > 0) return;
    if (this.mayRetry('notRun')) return this.retry(attempt, 'notRun', `status ${head.status}`);
    this.giveUp('endpointsBusy');
  }

  private handleHead(attempt: Attempt, head: AnswerHead): void {
    this.noteLoad(attempt, head);
    if (head.status >= LEAST_SERVER_ERROR) {
      this.noteSign(attempt, 'errored');
      if (this.discardError(attempt, head)) return;
    } else {
      this.noteSign(attempt, 'answered');
    }
    for (const other of this.attempts) if (other !== attempt) this.abandon(other, 'lost the race');
    this.attempts = [attempt];
    this.winner = attempt;
    this.heardAtMs = this.context.now();
    if (this.delivery === undefined) this.startDelivery(head);
    else if (head.status !== this.delivery.status) {
      // The caller has the head of another answer already: this one cannot continue it.
      this.abandon(attempt, 'resume refused');
      this.handleBroken(attempt, `resume answered with status ${head.status}`);
    }
  }

  /** An error of a request that may repeat is dropped for another attempt; false if it has to be passed on. */
  private discardError(attempt: Attempt, head: AnswerHead): boolean {
    const { assignment } = this;
    if (assignment === undefined || this.delivery !== undefined || !this.isRepeatable(assignment)) return false;
    const others = this.attempts.filter((other) => other !== attempt);
    if (others.length === 0 && !this.mayRetry('serverError')) return false;
    attempt.discard();
    this.dropAttempt(attempt, 'errored');
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
    attempt.row.heardAtMs = nowMs;
    if (!this.delivery.push(chunk)) attempt.pause();
  }

  private handleEnd(attempt: Attempt): void {
    this.dropAttempt(attempt, 'whole');
    const { delivery } = this;
    if (delivery === undefined) return;
    attempt.row.heardAtMs = this.context.now();
    if (!delivery.isWhole()) return this.handleBroken(attempt, 'the answer ended inside an event');
    delivery.finish();
    this.settle('answered');
  }

  private handleBroken(attempt: Attempt, detail: string): void {
    this.dropAttempt(attempt, 'broken');
    this.noteSign(attempt, 'broke');
    this.goOnElsewhere(attempt, 'broken', detail);
  }

  /** After an attempt that may have run: sends again what may repeat, or ends the request as failed. */
  private goOnElsewhere(attempt: Attempt, reason: 'broken' | 'silent', detail: string): void {
    if (this.attempts.length > 0) return;
    const { assignment, delivery } = this;
    if (assignment === undefined) return;
    if (!this.isRepeatable(assignment)) return this.fail(detail);
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
    const { assignment } = this;
    if (assignment === undefined || attempt.sentAtMs === 0 || !this.isRepeatable(assignment)) return;
    const silentMs = nowMs - (attempt === this.winner ? this.heardAtMs : attempt.sentAtMs);
    const isCutOff = attempt.row.standing.type === 'unreachable' && silentMs > LEAST_ATTEMPT_MS;
    if (assignment.route.kind === 'stream') {
      if (silentMs < STREAM_SILENCE_MS && !isCutOff) return;
      this.leaveSilent(attempt, silentMs);
    } else {
      const hedgeMs = HEDGE_SHARE * assignment.route.targetLatencyMs;
      if ((silentMs < hedgeMs && !isCutOff) || this.attempts.length > 1 || attempt === this.winner) return;
      if (!this.mayRetry('hedge')) return;
      this.noteSign(attempt, 'silent');
      this.retry(attempt, 'hedge', `silent for ${Math.round(silentMs)} ms`);
    }
  }

  /** Moves a stream off a silent endpoint, if it can go on elsewhere; otherwise goes on waiting. */
  private leaveSilent(attempt: Attempt, silentMs: number): void {
    const { delivery } = this;
    if (delivery?.hasStarted === true && !delivery.canResume) return;
    if (!this.canRetry()) return;
    this.abandon(attempt, 'silent');
    this.noteSign(attempt, 'silent');
    this.goOnElsewhere(attempt, 'silent', `silent for ${Math.round(silentMs)} ms`);
  }

  private get mayHaveRun(): boolean {
    return this.sentCount > this.provenNotRun;
  }

  private isRepeatable(assignment: Assignment): boolean {
    const { route } = assignment;
    switch (route.kind) {
      case 'repeatable':
        return true;
      case 'once':
        return false;
      case 'stream':
        return route.isResumable;
    }
  }

  /** Whether time and the route's attempts allow another attempt. */
  private canRetry(): boolean {
    const { assignment, context } = this;
    if (assignment === undefined) return false;
    const hasTime = this.expiresAtMs - context.now() >= LEAST_ATTEMPT_MS;
    return hasTime && this.sentCount < assignment.route.maxAttempts;
  }

  /** Whether another attempt is allowed; takes it from the budget. */
  private mayRetry(reason: RetryReason): boolean {
    const { assignment, context } = this;
    if (assignment === undefined || !this.canRetry()) {
      context.metrics.retriesDenied.inc({ reason: 'attempts' });
      return false;
    }
    if (context.budget.take(assignment.service, context.now())) return true;
    context.metrics.retriesDenied.inc({ reason: 'budget' });
    context.log.write('notable', 'retryDenied', { requestId: this.request.requestId, reason, because: 'budget' });
    return false;
  }

  private retry(attempt: Attempt, reason: RetryReason, detail: string, resumeAfter?: string): void {
    this.context.metrics.retries.inc({ reason });
    this.logRetry(attempt, reason, detail);
    this.place(resumeAfter);
  }

  private expire(): void {
    const { assignment } = this;
    const isRouteTimeout =
      assignment !== undefined && this.context.now() - this.arrivedAtMs >= assignment.route.timeoutMs;
    if (this.attempts.some((attempt) => attempt.sentAtMs > 0) && this.delivery === undefined) {
      for (const attempt of this.attempts) this.noteSign(attempt, 'silent');
    }
    this.abandonAll('expired');
    if (!this.mayHaveRun) return this.refuse('overloaded', this.pickRetryAfter());
    this.fail(isRouteTimeout ? 'route time-out' : 'deadline', isRouteTimeout ? 'routeTimeout' : 'deadlineExceeded');
  }

  /** Ends a request that no endpoint takes. */
  private giveUp(code: ResultCode): void {
    if (this.attempts.length > 0) return;
    if (this.mayHaveRun) return this.fail(code);
    this.refuse(code === 'connectFailed' ? 'noEndpoint' : code, this.pickRetryAfter());
  }

  /** Ends a request that may have run: as failed, or as visibly cut off if its answer has begun. */
  private fail(detail: string, code: ResultCode = 'endpointBroke'): void {
    if (this.isSettled) return;
    if (this.delivery?.hasStarted === true) {
      this.settle(code, detail);
      this.res.destroy();
      return;
    }
    this.settle(code, detail);
    sendRefusal(this.res, this.context.dialect, { code, ran: 'unknown', retryAfterMs: 0 }, this.request.requestId, false);
  }

  /** Ends a request that did not run and never will. */
  private refuse(code: ResultCode, retryAfterMs: number): void {
    if (this.isSettled) return;
    this.settle(code);
    const closes = !this.req.complete;
    sendRefusal(this.res, this.context.dialect, { code, ran: 'no', retryAfterMs }, this.request.requestId, closes);
  }

  private handleCallerClosed(): void {
    if (this.isSettled) return;
    this.abandonAll('caller left');
    this.settle('callerGone');
  }

  private settle(outcome: 'answered' | ResultCode, detail?: string): void {
    this.isSettled = true;
    const { context, assignment, request } = this;
    this.abandonAll(outcome);
    context.exchanges.delete(this);
    context.metrics.outcomes.inc({ outcome });
    context.log.write(outcome === 'answered' ? 'routine' : 'notable', 'requestEnded', {
      requestId: request.requestId,
      outcome,
      detail,
      route: assignment?.route.name,
      service: assignment?.service,
      team: assignment?.team?.name,
      endpoint: (this.winner ?? this.attempts.at(-1))?.row.listing.id ?? [...this.triedIds].at(-1),
      sent: this.sentCount,
      unsent: this.unsentCount,
      afterMs: Math.round(context.now() - this.arrivedAtMs),
      configurationVersion: context.readIndex()?.configuration.version,
    });
  }

  private abandonAll(end: string): void {
    for (const attempt of [...this.attempts]) this.abandon(attempt, end);
  }

  private abandon(attempt: Attempt, end: string): void {
    this.dropAttempt(attempt, end);
    attempt.cancel();
  }

  private dropAttempt(attempt: Attempt, end: string): void {
    const at = this.attempts.indexOf(attempt);
    if (at < 0) return;
    this.attempts.splice(at, 1);
    if (this.winner === attempt && end !== 'whole') this.winner = undefined;
    this.context.metrics.attempts.inc({ end });
  }

  private noteSign(attempt: Attempt, sign: HealthSign): void {
    this.context.noteSign(attempt.row, sign);
  }

  private noteLoad(attempt: Attempt, head: AnswerHead): void {
    const { load } = head.facts;
    if (load === undefined) return;
    attempt.row.told = load;
    attempt.row.toldAtMs = this.context.now();
  }

  private logRetry(attempt: Attempt, reason: RetryReason, detail: string): void {
    this.context.log.write('notable', 'sentAgain', {
      requestId: this.request.requestId,
      reason,
      detail,
      endpoint: attempt.row.listing.id,
      endpointInFlight: attempt.row.inFlight,
      standing: attempt.row.standing.type,
      heardAgoMs: Math.round(this.context.now() - attempt.row.heardAtMs),
      sent: this.sentCount,
      unsent: this.unsentCount,
    });
  }

  private pickRetryAfter(): number {
    return RETRY_AFTER_MS + Math.random() * RETRY_AFTER_SPREAD_MS;
  }
}

function readPath(target: string): string {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
}
