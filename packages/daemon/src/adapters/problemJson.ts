/** Refusals as callers see them: problem+json (RFC 9457) with the numbered code, `ran` and Retry-After. */
import { STATUS_CODES } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { Refusal } from '@hazelwalk/core';
import { RESULT_CODES } from '@hazelwalk/core';

const MS_PER_SECOND = 1_000;
const CONTENT_TYPE = 'application/problem+json';

/** The body of a refusal. */
export interface ProblemBody {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly code: number;
  readonly ran: Refusal['ran'];
  readonly retryAfterMs: number;
  readonly detail: string;
  readonly requestId: string;
}

/** Builds the body of a refusal. */
export function createProblemBody(refusal: Refusal, requestId: string): ProblemBody {
  const info = RESULT_CODES[refusal.code];
  return {
    type: `urn:hazelwalk:code:${info.number}`,
    title: info.title,
    status: info.httpStatus,
    code: info.number,
    ran: refusal.ran,
    retryAfterMs: refusal.retryAfterMs,
    detail: info.action,
    requestId,
  };
}

function isWorthReturning(status: number): boolean {
  return status === 429 || status >= 500;
}

/** Answers with a refusal. The connection is closed after it if the caller's body was not read to its end. */
export function sendProblem(res: ServerResponse, refusal: Refusal, requestId: string, closes: boolean): void {
  const body = createProblemBody(refusal, requestId);
  res.statusCode = body.status;
  res.setHeader('content-type', CONTENT_TYPE);
  res.setHeader('x-request-id', requestId);
  if (isWorthReturning(body.status)) {
    res.setHeader('retry-after', String(Math.ceil(refusal.retryAfterMs / MS_PER_SECOND)));
  }
  if (closes) res.setHeader('connection', 'close');
  res.end(JSON.stringify(body));
}

/** Formats a refusal as a raw response, for a connection whose request could not even be parsed. */
export function formatRawProblem(refusal: Refusal): string {
  const body = createProblemBody(refusal, '');
  const text = JSON.stringify(body);
  const lines = [
    `HTTP/1.1 ${body.status} ${STATUS_CODES[body.status] ?? 'Error'}`,
    `content-type: ${CONTENT_TYPE}`,
    `content-length: ${Buffer.byteLength(text)}`,
    'connection: close',
  ];
  return `${lines.join('\r\n')}\r\n\r\n${text}`;
}
