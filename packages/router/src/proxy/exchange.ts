/**
 * Handles one request of a caller, from its head to the last byte of the response.
 *
 * A request is sent again only if nothing of it was sent, if the endpoint confirms that it did not run, or if its route
 * allows it to run more than once; and only within the route's attempt limit and the fleet's retry budget.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { BegunCall } from '@hazelwalk/http';
import type { LogFields } from '../observability/decisionLog.js';
import type { RequestStage } from '../observability/stopLog.js';
import type { CallerRequest } from '../records.js';
import type { RouterContext, RunningRequest } from '../routerContext.js';
import { ActiveResponse } from './activeResponse.js';
import type { Assignment } from './assignment.js';
import { AttemptEvents } from './attemptEvents.js';
import { AttemptOpener } from './attemptOpener.js';
import { AttemptSet } from './attemptSet.js';
import type { ExchangeLogFields } from './exchangeLog.js';
import { pickElsewhereMs, pickReturnMs, pickRetryAfterMs, pickTakeUpRetryMs } from './refusal.js';
import { RequestIntake } from './requestIntake.js';
import { RequestEnding } from './requestEnding.js';
import type { RequestOutcome } from './requestEnding.js';
import { RequestQuarantine } from './requestQuarantine.js';
import { recordSilence } from './silenceWatch.js';
import { StreamContinuity } from './streamContinuity.js';

/** Deadline of a request that states none; the timeout of its route applies as well. */
const DEFAULT_DEADLINE_MS = 30_000;

/** A request as it was received from its caller. */
export interface ReceivedRequest extends BegunCall {
  readonly arrivedAtMs: number;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly request: CallerRequest;
}

/** One request in progress. */
export class Exchange implements RunningRequest {
  readonly arrivedAtMs: number;
  private expiresAtMs = Infinity;
  private assignment: Assignment | undefined;
  private readonly attempts: AttemptSet;
  private readonly intake: RequestIntake;
  private readonly requestQuarantine: RequestQuarantine;
  private readonly ending: RequestEnding;
  private readonly opener: AttemptOpener;
  private readonly continuity: StreamContinuity;
  private readonly response: ActiveResponse;
  private readonly events: AttemptEvents;

  constructor(
    private readonly context: RouterContext,
    private readonly received: ReceivedRequest,
  ) {
    const { req, res, request } = received;
    this.arrivedAtMs = received.arrivedAtMs;
    this.intake = new RequestIntake(context, {
      req,
      request,
      arrivedAtMs: this.arrivedAtMs,
      readBody: received.readBody,
      hasEnded: () => this.ending.hasEnded,
      onAssigned: (assignment, body) => this.handleAssigned(assignment, body),
      onRefused: (code) => this.ending.refuse(code, code === 'notReady' ? this.pickReturnMs() : 0),
      onEvicted: () => this.ending.refuse('boxFull', pickElsewhereMs()),
    });
    const { arrivedAtMs } = this;
    this.continuity = new StreamContinuity(context, request);
    this.response = new ActiveResponse(context, { res, arrivedAtMs, continuity: this.continuity });
    this.attempts = new AttemptSet(context, {
      req,
      request,
      readExpiry: () => this.expiresAtMs,
      readResumeAfter: () => this.response.resumeAfter,
      readSoftwareVersion: () => this.continuity.softwareVersion,
      onEvent: (attempt, event) => this.events.handle(attempt, event),
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
      hasEnded: () => this.ending.hasEnded,
      createLogFields: () => this.createLogFields(),
      giveUp: (code, pickRetryMs) => this.events.giveUp(code, pickRetryMs),
    });
    this.ending = new RequestEnding(context, {
      req,
      res,
      request,
      hasResponseStarted: () => this.response.hasStarted,
      onEnded: (outcome) => this.handleEnded(outcome),
      createLogFields: () => this.createLogFields(),
    });
    this.events = new AttemptEvents(context, {
      request,
      attempts: this.attempts,
      opener: this.opener,
      response: this.response,
      requestQuarantine: this.requestQuarantine,
      ending: this.ending,
      readAssignment: () => this.assignment,
      createLogFields: () => this.createLogFields(),
      pickReturnMs: () => this.pickReturnMs(),
      onCallerLeft: () => this.handleCallerClosed(),
      onExpired: () => this.expire(),
    });
  }

  /** Reads the body, then sends the request to an endpoint. */
  start(): void {
    const { context } = this;
    const { req, res, request } = this.received;
    context.exchanges.add(this);
    this.expiresAtMs = this.arrivedAtMs + (request.deadlineMs ?? DEFAULT_DEADLINE_MS);
    res.on('close', () => this.handleCallerClosed());
    res.on('drain', () => this.response.winner?.resume());
    req.on('error', () => this.handleCallerClosed());
    this.intake.start();
  }

  get earlierOnConnection(): number {
    return this.received.earlierOnConnection;
  }

  get stage(): RequestStage {
    if (this.response.hasStarted) return 'answering';
    if (this.attempts.mayHaveRun) return 'sent';
    return this.assignment === undefined ? 'reading' : 'waiting';
  }

  /** Runs once a tick: handles timeouts and unresponsive endpoints. */
  tick(nowMs: number): void {
    if (this.ending.hasEnded) return;
    if (this.assignment === undefined) this.boundReading();
    if (nowMs >= this.expiresAtMs) return this.expire();
    if (!this.attempts.mayHaveRun && !this.endsInTime()) return this.leave();
    if (this.intake.isWaiting) return this.intake.waitForInitialization(nowMs);
    for (const attempt of [...this.attempts.live]) this.events.checkSilence(attempt, nowMs);
  }

  /** A caller may state any deadline; its route bounds the time for its body as well. */
  private boundReading(): void {
    this.expiresAtMs = Math.min(this.expiresAtMs, this.arrivedAtMs + this.intake.readTimeoutMs());
  }

  /** Ends the request with a final response, as the box exits. */
  cutOff(): void {
    if (this.attempts.mayHaveRun) this.ending.fail('the box exits', 'boxStopped');
    else this.leave();
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
    this.opener.open(assignment);
  }

  private expire(): void {
    const { assignment } = this;
    const isRouteTimeout =
      assignment !== undefined && this.context.now() - this.arrivedAtMs >= assignment.route.timeoutMs;
    if (this.attempts.live.some((attempt) => attempt.sentAtMs > 0) && !this.response.hasHead)
      for (const attempt of this.attempts.live) recordSilence(this.context, attempt, true);
    this.events.abandonAll('expired');
    if (!this.attempts.mayHaveRun) return this.ending.refuse('overloaded', pickRetryAfterMs());
    if (isRouteTimeout) this.ending.fail('route time-out', 'routeTimeout');
    else this.ending.fail('deadline', 'deadlineExceeded');
  }

  /** Whether the response can end before the box exits, as far as its route is known. */
  private endsInTime(): boolean {
    if (this.assignment === undefined) return this.context.readRemainingMs() > 0;
    return this.attempts.endsInTime(this.assignment);
  }

  /** Refuses the request, which has not run, as the box is about to exit. */
  private leave(): void {
    this.ending.refuse('stopping', pickElsewhereMs());
  }

  /** Picks when the caller should retry as its service is away. */
  private readonly pickReturnMs = (): number =>
    pickReturnMs(this.context, this.assignment?.service, this.expiresAtMs);

  private handleCallerClosed(): void {
    if (this.ending.hasEnded) return;
    this.events.abandonAll('caller left');
    this.ending.end('callerGone');
  }

  private handleEnded(outcome: RequestOutcome): void {
    this.opener.withdraw();
    this.continuity.recordEnd();
    this.events.abandonAll(outcome);
    this.context.exchanges.delete(this);
  }

  readonly createLogFields = (): ExchangeLogFields & LogFields => ({
    requestId: this.received.request.requestId,
    content: this.requestQuarantine.knownFingerprint,
    route: this.assignment?.route.name,
    service: this.assignment?.service,
    team: this.assignment?.team?.name,
    endpoint: this.response.winner?.row.listing.id ?? this.attempts.lastTriedId,
    ...this.attempts.createLogFields(),
    ageMs: Math.round(this.context.now() - this.arrivedAtMs),
  });
}
