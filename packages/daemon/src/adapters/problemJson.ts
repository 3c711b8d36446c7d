/** Refusals as callers receive them: problem+json (RFC 9457) with the numbered code, `ran` and Retry-After. */
import type { ServerResponse } from 'node:http';
import type { Refusal } from '@hazelwalk/core';
import { createProblemBody, PROBLEM_CONTENT_TYPE } from '@hazelwalk/core';

const MS_PER_SECOND = 1_000;

function isRetryable(status: number): boolean {
  return status === 429 || status >= 500;
}

/** Sends a refusal. The connection is closed after it if `closes` is set: the caller's body was not read to its end. */
export function sendProblem(res: ServerResponse, refusal: Refusal, requestId: string, closes: boolean): void {
  const body = createProblemBody(refusal, requestId);
  res.statusCode = body.status;
  res.setHeader('content-type', PROBLEM_CONTENT_TYPE);
  res.setHeader('x-request-id', requestId);
  if (isRetryable(body.status)) {
    res.setHeader('retry-after', String(Math.ceil(refusal.retryAfterMs / MS_PER_SECOND)));
  }
  if (closes) res.setHeader('connection', 'close');
  res.end(JSON.stringify(body));
}
