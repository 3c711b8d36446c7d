/** Writes the log lines of a request: why it was sent again, and how it ended. */
import type { ResultCode } from '@hazelwalk/core';
import type { RouterContext } from '../routerContext.js';
import type { PlacementChoice, PlacementWay } from '../systems/placement.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import type { Attempt } from './attempt.js';

/** Why a request is sent again. */
export type RetryReason = 'unsent' | 'notRun' | 'serverError' | 'broken' | 'silent' | 'hedge' | 'resume';

/** Why the budget denies a retry. */
export type RetryDenial =
  /** The budget is used up. */
  | 'budget'
  /** The service is short of room, and what is left of the budget is kept for others. */
  | 'shortOfRoom';

/** Log fields of the attempts of a request. */
export interface AttemptLogFields {
  readonly sent: number;
  readonly unsent: number;
  /** Name of the tunnel that carried the last attempt, in the logs of both boxes; undefined for a direct connection. */
  readonly tunnel?: string | undefined;
  /** How the last endpoint was chosen. */
  readonly way?: PlacementWay;
  /** Load of that endpoint as known to this box at that time, and the mean load of its service. */
  readonly believedLoad?: number;
  readonly believedMean?: number;
}

/** Log fields of a request. */
export interface ExchangeLogFields extends AttemptLogFields {
  readonly requestId: string;
  /** Fingerprint, equal for identical requests; undefined until an endpoint has crashed or broken off a request. */
  readonly content: string | undefined;
  readonly route: string | undefined;
  readonly service: string | undefined;
  readonly team: string | undefined;
  /** Endpoint whose response is delivered, or else the one tried last. */
  readonly endpoint: string | undefined;
  readonly ageMs: number;
}

/** Log fields that describe how the endpoint of a request was chosen. */
export function describePlacement(
  choice: PlacementChoice | undefined,
): Pick<AttemptLogFields, 'way' | 'believedLoad' | 'believedMean'> {
  if (choice === undefined) return {};
  const { way, load, meanLoad } = choice;
  return { way, believedLoad: load, believedMean: Math.round(meanLoad * 10) / 10 };
}

/** Logs that a request is sent again, with the state of the endpoint of the earlier attempt. */
export function logRetry(
  context: RouterContext,
  fields: ExchangeLogFields,
  row: EndpointRow,
  reason: RetryReason,
  detail: string,
): void {
  context.log.write('notable', 'sentAgain', {
    ...fields,
    reason,
    detail,
    endpoint: row.listing.id,
    softwareVersion: row.listing.softwareVersion,
    endpointInFlight: row.inFlight,
    standing: row.health.type,
    heardAgoMs: Math.round(context.now() - row.lastResponseAtMs),
  });
}

/** Why an attempt was broken off. */
export interface BreakDetails {
  readonly reason: string;
  readonly detail: string;
  /** Ids of the parts of its prompt; empty without a prompt. */
  readonly promptParts: string;
}

/**
 * Logs that an endpoint broke off a request. The same `content` in many of these lines points at the request as
 * cause, the same part of a prompt in many of them at that part.
 */
export function logBreak(
  context: RouterContext,
  fields: ExchangeLogFields,
  attempt: Pick<Attempt, 'row' | 'handedOverAtMs'>,
  broken: BreakDetails,
): void {
  context.log.write('notable', 'attemptBroke', {
    ...fields,
    ...broken,
    endpoint: attempt.row.listing.id,
    softwareVersion: attempt.row.listing.softwareVersion,
    endpointInFlight: attempt.row.inFlight,
    sentAgoMs: Math.round(context.now() - attempt.handedOverAtMs),
  });
}

/**
 * Logs and counts that an endpoint refused a request for lack of room: why it was sent, and what this box knew then of the use of
 * the endpoint, from itself and from the reports of others.
 */
export function logRoomRefusal(
  context: RouterContext,
  fields: ExchangeLogFields,
  { row, basis, believed, handedOverAtMs }: Attempt,
): void {
  const { service, id, slots } = row.listing;
  const grant = basis.type === 'granted' ? basis.grant : undefined;
  context.metrics.roomRefusals.inc({ service, basis: basis.type });
  context.log.write('notable', 'roomRefused', {
    ...fields,
    endpoint: id,
    slots,
    basis: basis.type,
    askedAgoMs: grant && Math.round(handedOverAtMs - grant.askedAtMs),
    grantedAgoMs: grant && Math.round(handedOverAtMs - grant.grantedAtMs),
    inFlight: believed.inFlight,
    inFlightAtPeers: believed.peersInFlight,
    loadsAgeMs: Math.round(context.readLoadAgeMs()),
    rejectionsPerS: row.notice.rejectionsPerS,
    sentAgoMs: Math.round(context.now() - handedOverAtMs),
  });
}

/** Logs that an attempt responded although another one owns the response; the attempts are counted by their ends. */
export function logSurplus(
  context: RouterContext,
  fields: ExchangeLogFields,
  { listing }: EndpointRow,
): void {
  context.log.write('notable', 'surplusResponse', { ...fields, surplusEndpoint: listing.id });
}

/** A stream that goes on at an endpoint. */
export interface ContinuedStream {
  /** Whether this box resumes it or its caller has taken it up. */
  readonly by: 'box' | 'caller';
  /** Id of the request that began it, if the caller names it. */
  readonly resumedRequestId: string | undefined;
}

/** Logs and counts that a stream goes on at an endpoint, with its software version. */
export function logContinuation(
  context: RouterContext,
  fields: ExchangeLogFields,
  { listing }: EndpointRow,
  stream: ContinuedStream,
): void {
  context.metrics.streamsContinued.inc({ by: stream.by });
  context.log.write('notable', 'streamContinued', {
    ...fields,
    ...stream,
    endpoint: listing.id,
    softwareVersion: listing.softwareVersion,
  });
}

/** Logs and counts that the retry budget denies a retry. */
export function logRetryDenied(
  context: RouterContext,
  fields: ExchangeLogFields,
  reason: RetryReason,
  denial: RetryDenial,
): void {
  context.metrics.retriesDenied.inc({ reason: denial });
  context.log.write('notable', 'retryDenied', { ...fields, reason, because: denial });
}

/** Why a request was rejected. */
export interface RejectionDetails {
  /** Urgency among the requests of the service; 0 is the most urgent. */
  readonly rank: number;
  readonly retryAfterMs: number;
  /** How long it was last expected to wait; undefined if it was rejected at once. */
  readonly expectedWaitMs: number | undefined;
}

/** Logs that a request was rejected because it could not start in time. */
export function logRejection(
  context: RouterContext,
  fields: ExchangeLogFields,
  { rank, retryAfterMs, expectedWaitMs }: RejectionDetails,
): void {
  context.log.write('notable', 'requestRejected', {
    ...fields,
    rank,
    retryAfterMs: Math.round(retryAfterMs),
    expectedWaitMs: expectedWaitMs === undefined ? undefined : Math.round(expectedWaitMs),
  });
}

/** Logs and counts how a request ended. */
export function logOutcome(
  context: RouterContext,
  fields: ExchangeLogFields,
  outcome: 'answered' | ResultCode,
  detail: string | undefined,
): void {
  context.metrics.outcomes.inc({ outcome });
  context.log.write(outcome === 'answered' ? 'routine' : 'notable', 'requestEnded', {
    ...fields,
    outcome,
    detail,
    configurationVersion: context.readIndex()?.configuration.version,
  });
}
