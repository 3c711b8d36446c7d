/** Keeps the attempts of one request: the endpoints it was sent to, and whether it may have run at any of them. */
import type { IncomingMessage } from 'node:http';
import { Err, Ok } from '@hazelwalk/core';
import type { Result } from '@hazelwalk/core';
import type { AdmissionBasis, AdmissionHandle } from '../admission/admission.js';
import type { RunningRequestDuration } from '../capacity/requestDurations.js';
import type { CallerRequest, PromptPart, Route } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import type { PlacementChoice, PlacementFailure } from '../systems/placement.js';
import type { PlacementRequest } from '../systems/placementRequest.js';
import { acceptsRequests } from '../systems/endpointNotices.js';
import { findDeparture } from '../tables/departure.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import type { Assignment } from './assignment.js';
import { Attempt } from './attempt.js';
import type { ForwardedRequest } from './attempt.js';
import type { AbortReason, AttemptEvent, SendObstacle } from './attemptEvent.js';
import type { AttemptEnd } from './attemptEnd.js';
import { findSlotOutcome } from './attemptEnd.js';
import type { AttemptLogFields } from './exchangeLog.js';
import { describePlacement } from './exchangeLog.js';
import { selectRequestHeaders } from './forwardHeaders.js';
import { isRepeatable } from './silence.js';
import { endsInTime } from './timeUntilExit.js';

/** Longest idle time of a connection reused for a request that must run at most once; otherwise a new one is opened. */
const ONCE_MAX_IDLE_MS = 1_000;
const REPEATABLE_MAX_IDLE_MS = 20_000;
/** Connections that an endpoint of an undeclared service is assumed to accept. */
const DEFAULT_MAX_CONNECTIONS = 64;

/** Attempts that may end before anything is sent; one more and the request is refused. */
const MAX_UNSENT_ATTEMPTS = 4;
/** No further attempt is started with less time left than this. */
const MIN_ATTEMPT_MS = 50;

/** Returns the allowed regions of the route and of the team; an endpoint has to satisfy both. */
function listRegionRestrictions({ route, team }: Assignment): (readonly string[])[] {
  return [route.allowedRegions, team?.allowedRegions].filter((regions) => regions !== undefined);
}

/** The request of the attempts, and the handler of their events. */
export interface AttemptSetOptions {
  readonly req: IncomingMessage;
  readonly request: CallerRequest;
  /** Returns the time at which the request expires. */
  readonly readExpiry: () => number;
  /** Id of the last event that the caller has received of this box; undefined if it has received none. */
  readonly readResumeAfter: () => string | undefined;
  /** Version that the endpoint must have; undefined if any may be chosen. */
  readonly readSoftwareVersion: () => string | undefined;
  readonly onEvent: (attempt: Attempt, event: AttemptEvent) => void;
}

/** How an attempt is to be made. */
export interface AttemptPlan {
  /** Draws the endpoint at random instead of by the prompt. */
  readonly isPlacedRandomly: boolean;
  /** Tag of the endpoint whose slot was granted; undefined if any endpoint may be chosen. */
  readonly grantedTag: number | undefined;
  /** Why it may be sent. */
  readonly basis: AdmissionBasis;
  /** Learns how the attempt ended. */
  readonly handle: AdmissionHandle;
}

/** All attempts of one request. */
export class AttemptSet {
  readonly live: Attempt[] = [];
  body: Buffer | undefined;
  unsentCount = 0;
  /** Attempts whose endpoint confirmed that the request did not run. */
  notRunCount = 0;
  private lastChoice: PlacementChoice | undefined;
  private lastAttempt: Attempt | undefined;
  /** Attempts that sent the request to their endpoint. */
  private sentCount = 0;
  private readonly triedIds = new Set<string>();
  private readonly handles = new Map<Attempt, AdmissionHandle>();
  private readonly durations = new Map<Attempt, RunningRequestDuration>();
  private firstSentAtMs: number | undefined;

  constructor(
    private readonly context: RouterContext,
    private readonly options: AttemptSetOptions,
  ) {}

  /** Whether the request names a prompt, and is sent to engines. */
  hasPrompt(assignment: Assignment): boolean {
    return this.listPromptParts(assignment).length > 0;
  }

  /** Whether the request may have run at any endpoint. */
  get mayHaveRun(): boolean {
    return this.sentCount > this.notRunCount;
  }

  /** Whether so many attempts ended before anything was sent that no other endpoint is tried. */
  get hasReachedUnsentLimit(): boolean {
    return this.unsentCount > MAX_UNSENT_ATTEMPTS;
  }

  /** Whether the remaining time and the route's attempt limit allow another attempt. */
  mayOpenAnother(route: Route): boolean {
    const hasTime = this.options.readExpiry() - this.context.now() >= MIN_ATTEMPT_MS;
    return hasTime && this.sentCount < route.maxAttempts;
  }

  /**
   * Whether the response is expected to end before the box exits, if the request is sent now.
   *
   * @param connectionClosesAtMs when the connection to the endpoint is closed
   */
  endsInTime({ route }: Assignment, connectionClosesAtMs = Infinity): boolean {
    const { context, firstSentAtMs } = this;
    const isResumed = this.options.readResumeAfter() !== undefined;
    const answeredForMs = isResumed && firstSentAtMs !== undefined ? context.now() - firstSentAtMs : 0;
    const expiresAtMs = this.options.readExpiry();
    return endsInTime(context, { route, expiresAtMs, answeredForMs, connectionClosesAtMs });
  }

  /** Whether the request may be sent once more after an attempt that may have run. */
  mayRepeat(assignment: Assignment | undefined): boolean {
    return (
      assignment !== undefined && isRepeatable(assignment.route) && this.mayOpenAnother(assignment.route)
    );
  }

  /** Log fields that describe the attempts. */
  createLogFields(): AttemptLogFields {
    return {
      sent: this.sentCount,
      unsent: this.unsentCount,
      tunnel: this.lastAttempt?.tunnel,
      ...describePlacement(this.lastChoice),
    };
  }

  get lastTriedId(): string | undefined {
    return [...this.triedIds].at(-1);
  }

  /** Tags of the endpoints that suit the request best, the best first. */
  listPreferredTags(assignment: Assignment, isPlacedRandomly: boolean): number[] {
    const request = this.createPlacementRequest(assignment, isPlacedRandomly);
    return this.context.placement.listPreferredTags(request, this.context.now());
  }

  /** Tags of the endpoints that the request cannot use. */
  listExcludedTags(assignment: Assignment): number[] {
    const request = this.createPlacementRequest(assignment, true);
    return this.context.placement.listExcludedTags(request, this.context.now());
  }

  /** Starts an attempt at an endpoint that was not tried yet, or returns why none can be chosen. */
  open(assignment: Assignment, plan: AttemptPlan): Result<void, PlacementFailure> {
    const { context, options } = this;
    const { isPlacedRandomly, grantedTag } = plan;
    const resumeAfter = this.options.readResumeAfter();
    const placementRequest = {
      ...this.createPlacementRequest(assignment, isPlacedRandomly),
      grantedTag,
    };
    const nowMs = context.now();
    const choice = context.placement.choose(placementRequest, nowMs);
    if (choice === undefined) return Err(context.placement.explainFailure(placementRequest, nowMs));
    const { row } = choice;
    this.lastChoice = choice;
    context.metrics.placements.inc({ way: choice.way });
    const cacheSource = assignment.declared?.canMoveCache === true ? choice.cacheSource : undefined;
    this.triedIds.add(row.listing.id);
    const attempt = new Attempt({
      row,
      resumeAfter,
      basis: plan.basis,
      connections: context.connections,
      dialect: context.dialect,
      findAbortReason: () => this.findAbortReason(),
      findObstacle: ({ closesAtMs }) => this.findObstacle(assignment, row, plan.basis, closesAtMs),
      createRequest: () => this.createRequest(row, assignment, resumeAfter, cacheSource),
      maxIdleMs: isRepeatable(assignment.route) ? REPEATABLE_MAX_IDLE_MS : ONCE_MAX_IDLE_MS,
      maxConnections: assignment.declared?.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
      onEvent: (source, event) => {
        if (event.type === 'sent') this.recordSent(assignment.route, source);
        if (event.type === 'head') context.paceObserver.recordHead(row, event.head);
        options.onEvent(source, event);
      },
      onResponseMetadata: context.recordAnnouncements,
    });
    this.live.push(attempt);
    this.lastAttempt = attempt;
    this.handles.set(attempt, plan.handle);
    void attempt.start();
    return Ok(undefined);
  }

  /** Time until the first back-off among the endpoints that the request may use ends; 0 if any of them has none. */
  readLeastBackOffMs(assignment: Assignment): number {
    const { context } = this;
    return context.placement.readLeastBackOffMs(this.createPlacementRequest(assignment, true), context.now());
  }

  /**
   * Removes an attempt, counts how it ended and releases its slot.
   *
   * @param lacksRoom the endpoint refused the request for lack of room
   */
  drop(attempt: Attempt, end: AttemptEnd, lacksRoom = false): void {
    const at = this.live.indexOf(attempt);
    if (at < 0) return;
    this.live.splice(at, 1);
    this.context.metrics.attempts.inc({ end });
    this.handles.get(attempt)?.release(findSlotOutcome({ end, wasSent: attempt.sentAtMs > 0, lacksRoom }));
    this.handles.delete(attempt);
    this.durations.get(attempt)?.end(this.context.now(), end === 'whole');
    this.durations.delete(attempt);
  }

  private recordSent(route: Route, attempt: Attempt): void {
    const nowMs = this.context.now();
    this.firstSentAtMs ??= nowMs;
    this.durations.set(attempt, this.context.durations.begin(route.name, nowMs));
  }

  /** Why nothing may be sent to an endpoint although there is a connection. */
  private findObstacle(
    assignment: Assignment,
    row: EndpointRow,
    basis: AdmissionBasis,
    connectionClosesAtMs: number,
  ): SendObstacle | undefined {
    const nowMs = this.context.now();
    if (!acceptsRequests(row, nowMs)) {
      const departure = findDeparture(row);
      if (departure !== undefined) this.context.metrics.lateStops.inc({ proof: departure.proof });
      return 'endpointDeclined';
    }
    if (basis.type === 'granted' && nowMs > basis.grant.usableUntilMs) return 'grantExpired';
    if (this.endsInTime(assignment, connectionClosesAtMs)) return undefined;
    return this.endsInTime(assignment) ? 'tunnelClosing' : 'boxStopping';
  }

  private findAbortReason(): AbortReason | undefined {
    const { req, readExpiry } = this.options;
    // Once the caller has closed its side, the server closes the connection.
    if (req.socket.readableEnded || req.socket.destroyed) return 'callerLeft';
    return readExpiry() <= this.context.now() ? 'deadlinePassed' : undefined;
  }

  /** Parts of the prompt; none if the service has no engines, whatever the headers contain. */
  listPromptParts({ declared }: Assignment): readonly PromptPart[] {
    return declared?.isEngine === false ? [] : this.options.request.promptParts;
  }

  private createPlacementRequest(assignment: Assignment, isPlacedRandomly: boolean): PlacementRequest {
    return {
      service: assignment.service,
      coldStart: assignment.declared?.coldStart,
      allowedRegions: listRegionRestrictions(assignment),
      promptParts: isPlacedRandomly ? [] : this.listPromptParts(assignment),
      excluded: this.triedIds,
      softwareVersion: this.options.readSoftwareVersion(),
    };
  }

  private createRequest(
    row: EndpointRow,
    assignment: Assignment,
    resumeAfter: string | undefined,
    cacheSource: EndpointRow | undefined,
  ): ForwardedRequest {
    const { context, options } = this;
    const { req, request } = options;
    this.sentCount += 1;
    const forwarded = context.dialect.writeForwardedHeaders({
      deadlineMs: Math.max(1, Math.round(options.readExpiry() - context.now())),
      endpointId: row.listing.id,
      team: assignment.team?.name,
      lastEventId: resumeAfter,
      cacheSource:
        cacheSource === undefined ? undefined : `${cacheSource.listing.host}:${cacheSource.listing.port}`,
      urgency: context.features.isOn('requestUrgency') ? assignment.urgency : undefined,
    });
    const dropped = new Set(context.dialect.reservedHeaders);
    if (resumeAfter !== undefined) dropped.add('last-event-id');
    return {
      requestId: request.requestId,
      method: req.method ?? 'GET',
      path: req.url ?? '/',
      headers: [...selectRequestHeaders(req.rawHeaders, dropped), ...forwarded],
      body: this.body,
    };
  }
}
