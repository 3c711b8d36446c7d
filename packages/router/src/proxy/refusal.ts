/** Refusals and failures as callers get them: a numbered problem, and when to come back where that helps. */
import type { ServerResponse } from 'node:http';
import { createProblemBody, PROBLEM_CONTENT_TYPE } from '@hazelwalk/core';
import type { Ran, ResultCode } from '@hazelwalk/core';
import type { HttpDialect } from '../httpDialect.js';
import type { PlacementFailure } from '../systems/placement.js';

/** A request's final answer where no endpoint gave one. */
export interface RouterRefusal {
  readonly code: ResultCode;
  readonly ran: Ran;
  /** When to come back; 0 where coming back does not help. */
  readonly retryAfterMs: number;
}

/** Soon enough for an answer on time, and spread so that callers don't return together. */
const RETRY_AFTER_MS = 60;
const RETRY_AFTER_SPREAD_MS = 60;

/** When a caller should come back after a request that did not run. */
export function pickRetryAfterMs(): number {
  return RETRY_AFTER_MS + Math.random() * RETRY_AFTER_SPREAD_MS;
}

/** Where nothing will change soon a caller that returns at once is refused once more; it may well have time to wait. */
const LATER_MS = 1_000;
const LATER_SPREAD_MS = 1_000;

/**
 * When a caller should come back whose request found no endpoint.
 *
 * @example pickReturnMs({ reason: 'hallsEvacuated', waitMs: 0 }) // 1_000 to 2_000
 */
export function pickReturnMs({ reason, waitMs }: PlacementFailure): number {
  switch (reason) {
    case 'hallsEvacuated':
      return LATER_MS + Math.random() * LATER_SPREAD_MS;
    case 'endpointsBackingOff':
      return waitMs + pickRetryAfterMs();
    case 'noEndpoint':
    case 'endpointsCold':
      return pickRetryAfterMs();
  }
}

/** Writes a refusal. The connection is closed after it if the body of the request was not read to its end. */
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
