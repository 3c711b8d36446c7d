/** The lines that explain a request afterwards: why it was sent again, and how it ended. */
import type { ResultCode } from '@hazelwalk/core';
import type { RouterContext } from '../routerContext.js';
import type { PlacementChoice, PlacementWay } from '../systems/placement.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import type { Attempt } from './attempt.js';

/** Why a request is sent again. */
export type RetryReason = 'unsent' | 'notRun' | 'serverError' | 'broken' | 'silent' | 'hedge' | 'resume';

/** What is known of the attempts of a request. */
export interface AttemptFacts {
  readonly sent: number;
  readonly unsent: number;
  /** How its last endpoint was chosen, and what this box believed of loads then. */
  readonly way?: PlacementWay;
  readonly believedLoad?: number;
  readonly believedMean?: number;
}

/** What happened to a request so far. */
export interface ExchangeFacts extends AttemptFacts {
  readonly requestId: string;
  /** Names the request by its content: the same for all that ask for the same; only while endpoints crash. */
  readonly content: string | undefined;
  readonly route: string | undefined;
  readonly service: string | undefined;
  readonly team: string | undefined;
  /** Endpoint that it was sent to last. */
  readonly endpoint: string | undefined;
  readonly ageMs: number;
}

/** What the lines of a request say of the choice of its endpoint. */
export function describePlacement(
  choice: PlacementChoice | undefined,
): Pick<AttemptFacts, 'way' | 'believedLoad' | 'believedMean'> {
  if (choice === undefined) return {};
  const { way, load, meanLoad } = choice;
  return { way, believedLoad: load, believedMean: Math.round(meanLoad * 10) / 10 };
}

/** Writes that a request is sent again, and what is known of the endpoint that it leaves. */
export function logRetry(
  context: RouterContext,
  facts: ExchangeFacts,
  row: EndpointRow,
  reason: RetryReason,
  detail: string,
): void {
  context.log.write('notable', 'sentAgain', {
    ...facts,
    reason,
    detail,
    endpoint: row.listing.id,
    endpointInFlight: row.inFlight,
    standing: row.health.type,
    heardAgoMs: Math.round(context.now() - row.lastResponseAtMs),
  });
}

/** How an attempt broke. */
export interface BreakFacts {
  readonly reason: string;
  readonly detail: string;
}

/** Writes that an endpoint broke off a request: the same content in many of these lines points at the request. */
export function logBreak(
  context: RouterContext,
  facts: ExchangeFacts,
  attempt: Pick<Attempt, 'row' | 'handedOverAtMs'>,
  broken: BreakFacts,
): void {
  context.log.write('notable', 'attemptBroke', {
    ...facts,
    ...broken,
    endpoint: attempt.row.listing.id,
    endpointInFlight: attempt.row.inFlight,
    sentAgoMs: Math.round(context.now() - attempt.handedOverAtMs),
  });
}

/** Writes that a request is not sent again although it could be. */
export function logRetryDenied(context: RouterContext, facts: ExchangeFacts, reason: RetryReason): void {
  context.metrics.retriesDenied.inc({ reason: 'budget' });
  context.log.write('notable', 'retryDenied', { ...facts, reason, because: 'budget' });
}

/** Writes how a request ended. */
export function logOutcome(
  context: RouterContext,
  facts: ExchangeFacts,
  outcome: 'answered' | ResultCode,
  detail: string | undefined,
): void {
  context.metrics.outcomes.inc({ outcome });
  context.log.write(outcome === 'answered' ? 'routine' : 'notable', 'requestEnded', {
    ...facts,
    outcome,
    detail,
    configurationVersion: context.readIndex()?.configuration.version,
  });
}
