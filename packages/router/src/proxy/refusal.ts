/** Writes the router's own error responses: a problem body with a result code and, where it helps, a retry time. */
import type { ServerResponse } from 'node:http';
import { createProblemBody, PROBLEM_CONTENT_TYPE } from '@hazelwalk/core';
import type { Ran, ResultCode } from '@hazelwalk/core';
import type { HttpDialect } from '../httpDialect.js';
import type { RouterContext } from '../routerContext.js';
import type { PlacementFailure } from '../systems/placement.js';
import type { TakeUpFailure } from './streamContinuity.js';

/** The router's response to a request without a usable response from an endpoint. */
export interface RouterRefusal {
  readonly code: ResultCode;
  readonly ran: Ran;
  /** Time after which the caller should retry; 0 if a retry does not help. */
  readonly retryAfterMs: number;
}

/** What the retry time of a request depends on whose service is away. */
type ReturnContext = Pick<RouterContext, 'outageReturns' | 'features' | 'now'>;

/** Short enough for a response within the target latency; the jitter keeps callers from retrying all at once. */
const RETRY_AFTER_MS = 60;
const RETRY_AFTER_JITTER_MS = 60;

/** Retry time where a retry does not help. */
const NO_RETRY = 0;

/** Picks the time after which a caller should retry a request that did not run. */
export function pickRetryAfterMs(): number {
  return RETRY_AFTER_MS + Math.random() * RETRY_AFTER_JITTER_MS;
}

/** Picks the time after which a caller should go to another box, which has nothing to recover from. */
export function pickElsewhereMs(): number {
  return 1 + Math.random() * RETRY_AFTER_JITTER_MS;
}

/**
 * Picks the time after which a caller should try again to take up a stream: another box may know where it began, but nobody can go
 * on with it once its version has left.
 *
 * @example pickTakeUpRetryMs('streamVersionGone') // 0: a retry does not help
 */
export function pickTakeUpRetryMs(failure: TakeUpFailure): number {
  switch (failure) {
    case 'streamVersionUnknown':
      return pickRetryAfterMs();
    case 'streamVersionGone':
      return NO_RETRY;
  }
}

/**
 * Retry time while all halls are evacuated: an earlier retry would only be refused again, and the caller may have time
 * to wait.
 */
const EVACUATED_RETRY_AFTER_MS = 1_000;
const EVACUATED_RETRY_AFTER_JITTER_MS = 1_000;

/**
 * Picks the time after which a caller should retry a request whose service is away.
 *
 * @param service undefined if the box knows no services yet
 * @param expiresAtMs until when the caller waits
 * @example pickReturnMs(context, 'rooms', Infinity) // 60 to 120 if no other request was rejected in the last second
 */
export function pickReturnMs(
  context: ReturnContext,
  service: string | undefined,
  expiresAtMs: number,
): number {
  if (!context.features.isOn('returnSpreading')) return pickRetryAfterMs();
  const nowMs = context.now();
  return context.outageReturns.pickRetryAfterMs(service ?? '', nowMs, expiresAtMs - nowMs);
}

/**
 * Picks the time after which a caller should retry a request for which no endpoint could be chosen.
 *
 * @param pickAwayMs picks the time if the service is away
 * @example pickRetryAfterFailureMs({ reason: 'hallsEvacuated', waitMs: 0 }, pickRetryAfterMs) // 1_000 to 2_000
 */
export function pickRetryAfterFailureMs(
  { reason, waitMs }: PlacementFailure,
  pickAwayMs: () => number,
): number {
  switch (reason) {
    case 'hallsEvacuated':
      return EVACUATED_RETRY_AFTER_MS + Math.random() * EVACUATED_RETRY_AFTER_JITTER_MS;
    case 'endpointsBackingOff':
      return waitMs + pickRetryAfterMs();
    case 'noEndpoint':
      return pickAwayMs();
    case 'endpointsBusy':
      return pickRetryAfterMs();
    case 'streamVersionGone':
      return NO_RETRY;
    case 'endpointsCold':
      // They take more requests every moment.
      return pickRetryAfterMs();
  }
}

/**
 * Writes an error response.
 *
 * @param closes closes the connection afterwards, as is necessary if the body of the request was not read to its end
 */
export function sendRefusal(
  res: ServerResponse,
  dialect: HttpDialect,
  refusal: RouterRefusal,
  requestId: string,
  closes: boolean,
): void {
  const body = createProblemBody(refusal, requestId);
  const text = JSON.stringify(body);
  res.statusCode = body.status;
  res.setHeader('content-type', PROBLEM_CONTENT_TYPE);
  res.setHeader('content-length', Buffer.byteLength(text));
  if (refusal.retryAfterMs > 0) res.setHeader(...dialect.writeRetryAfter(refusal.retryAfterMs));
  if (closes) res.setHeader('connection', 'close');
  res.end(text);
}
