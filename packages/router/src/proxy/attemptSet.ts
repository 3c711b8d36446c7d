/** The attempts of one request: where it was sent, and what is proved of each. */
import type { IncomingMessage } from 'node:http';
import { Err, Ok } from '@hazelwalk/core';
import type { Result } from '@hazelwalk/core';
import type { CallerRequest, PromptPart, Route } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import type { PlacementChoice, PlacementFailure, PlacementRequest } from '../systems/placement.js';
import { acceptsRequests } from '../systems/endpointNotices.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import type { Assignment } from './assignment.js';
import { Attempt } from './attempt.js';
import type { AttemptEvent, CallerObstacle, ForwardedRequest } from './attempt.js';
import type { AttemptFacts } from './exchangeLog.js';
import { describePlacement } from './exchangeLog.js';
import { keepForwarded } from './forwardHeaders.js';
import { isRepeatable } from './silence.js';

/** A request that runs at most once goes on a connection that was used a moment ago, or on a new one. */
const ONCE_MAX_IDLE_MS = 1_000;
const REPEATABLE_MAX_IDLE_MS = 20_000;
/** Connections that an endpoint of an undeclared service is assumed to take. */
const DEFAULT_MAX_CONNECTIONS = 64;

/** Endpoints that may be tried in vain before a request is refused; nothing is sent to them. */
const MAX_UNSENT = 4;
/** Less time than this is not worth another attempt. */
const LEAST_ATTEMPT_MS = 50;

/** Route and team may each name regions: both bind. */
function listRegionBounds({ route, team }: Assignment): (readonly string[])[] {
  return [route.allowedRegions, team?.allowedRegions].filter((regions) => regions !== undefined);
}

/** What the attempts need of their request. */
export interface AttemptSetOptions {
  readonly req: IncomingMessage;
  readonly request: CallerRequest;
  /** When the request ends at the latest. */
  readonly readExpiry: () => number;
  readonly onEvent: (attempt: Attempt, event: AttemptEvent) => void;
}

/** All attempts of one request. */
export class AttemptSet {
  readonly live: Attempt[] = [];
  body: Buffer | undefined;
  unsentCount = 0;
  /** Attempts whose endpoint vouches that it did not run them. */
  notRunCount = 0;
  private lastChoice: PlacementChoice | undefined;
  /** Endpoints that the request was handed to. */
  private sent = 0;
  private readonly triedIds = new Set<string>();

  constructor(
    private readonly context: RouterContext,
    private readonly options: AttemptSetOptions,
  ) {}

  /** Whether it cannot be ruled out that the request ran. */
  get mayHaveRun(): boolean {
    return this.sent > this.notRunCount;
  }

  /** Whether so many endpoints were out of reach that no other one is tried. */
  get hasTriedEnough(): boolean {
    return this.unsentCount > MAX_UNSENT;
  }

  /** Whether time and the route's attempts allow another attempt. */
  mayOpenAnother(route: Route): boolean {
    const hasTime = this.options.readExpiry() - this.context.now() >= LEAST_ATTEMPT_MS;
    return hasTime && this.sent < route.maxAttempts;
  }

  /** Whether the request may be sent once more after an attempt that may have run. */
  mayRepeat(assignment: Assignment | undefined): boolean {
    return (
      assignment !== undefined && isRepeatable(assignment.route) && this.mayOpenAnother(assignment.route)
    );
  }

  /** What the lines of the request say of its attempts. */
  listFacts(): AttemptFacts {
    return { sent: this.sent, unsent: this.unsentCount, ...describePlacement(this.lastChoice) };
  }

  get lastTriedId(): string | undefined {
    return [...this.triedIds].at(-1);
  }

  /**
   * Starts an attempt at an endpoint that was not tried yet, or tells why there is none.
   *
   * @param resumeAfter id of the last event that the caller has, if its stream goes on
   * @param isSpread the endpoint is drawn at random, whatever the prompt
   */
  open(
    assignment: Assignment,
    resumeAfter: string | undefined,
    isSpread: boolean,
  ): Result<void, PlacementFailure> {
    const { context, options } = this;
    const wanted = this.createPlacementRequest(assignment, isSpread ? [] : options.request.promptParts);
    const nowMs = context.now();
    const choice = context.placement.choose(wanted, nowMs);
    if (choice === undefined) return Err(context.placement.explainFailure(wanted, nowMs));
    const { row } = choice;
    this.lastChoice = choice;
    context.metrics.placements.inc({ way: choice.way });
    const cacheSource = assignment.declared?.canMoveCache === true ? choice.cacheSource : undefined;
    this.triedIds.add(row.listing.id);
    const attempt = new Attempt({
      row,
      connections: context.connections,
      dialect: context.dialect,
      findAbortReason: () => this.findObstacle(),
      maySend: () => acceptsRequests(row, context.now()),
      createRequest: () => this.createRequest(row, assignment, resumeAfter, cacheSource),
      maxIdleMs: isRepeatable(assignment.route) ? REPEATABLE_MAX_IDLE_MS : ONCE_MAX_IDLE_MS,
      maxConnections: assignment.declared?.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
      onEvent: options.onEvent,
      onAnswerFacts: context.recordAnnouncements,
    });
    this.live.push(attempt);
    void attempt.start();
    return Ok(undefined);
  }

  /** Time until the first back-off among the endpoints that the request may reach ends; 0 if any of them has none. */
  readLeastBackOffMs(assignment: Assignment): number {
    const { context } = this;
    return context.placement.readLeastBackOffMs(this.createPlacementRequest(assignment, []), context.now());
  }

  /** Takes an attempt out; `end` says why, for the counters. */
  drop(attempt: Attempt, end: string): void {
    const at = this.live.indexOf(attempt);
    if (at < 0) return;
    this.live.splice(at, 1);
    this.context.metrics.attempts.inc({ end });
  }

  private findObstacle(): CallerObstacle | undefined {
    const { req, readExpiry } = this.options;
    // The server closes a connection whose caller has closed its side.
    if (req.socket.readableEnded || req.socket.destroyed) return 'callerLeft';
    return readExpiry() <= this.context.now() ? 'deadlinePassed' : undefined;
  }

  private createPlacementRequest(
    assignment: Assignment,
    promptParts: readonly PromptPart[],
  ): PlacementRequest {
    return {
      service: assignment.service,
      coldStart: assignment.declared?.coldStart,
      allowedRegions: listRegionBounds(assignment),
      promptParts,
      excluded: this.triedIds,
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
    this.sent += 1;
    const forwarded = context.dialect.writeForwardedHeaders({
      deadlineMs: Math.max(1, Math.round(options.readExpiry() - context.now())),
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
}
