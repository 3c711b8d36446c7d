/** The response body of a refusal: problem+json (RFC 9457) with the numbered code and whether the request ran. */
import { STATUS_CODES } from 'node:http';
import type { Ran, ResultCode } from './resultCodes.js';
import { RESULT_CODES } from './resultCodes.js';

const MS_PER_S = 1_000;

/** Media type of a refusal's body. */
export const PROBLEM_CONTENT_TYPE = 'application/problem+json';

/** The response body of a refusal. */
export interface ProblemBody {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly code: number;
  readonly ran: Ran;
  readonly retryAfterMs: number;
  readonly detail: string;
  readonly requestId: string;
}

/**
 * Creates the response body of a refusal.
 *
 * @example createProblemBody({ code: 'noEndpoint', ran: 'no', retryAfterMs: 500 }, 'r1').status // 503
 */
export function createProblemBody(
  refusal: { readonly code: ResultCode; readonly ran: Ran; readonly retryAfterMs: number },
  requestId: string,
): ProblemBody {
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

/**
 * Formats a refusal as a raw HTTP response, for a request that could not be parsed or was not read.
 *
 * @example socket.end(formatRawProblem({ code: 'malformedRequest', ran: 'no', retryAfterMs: 0 }))
 */
export function formatRawProblem(refusal: Parameters<typeof createProblemBody>[0]): string {
  const body = createProblemBody(refusal, '');
  const text = JSON.stringify(body);
  const lines = [
    `HTTP/1.1 ${body.status} ${STATUS_CODES[body.status] ?? 'Error'}`,
    `content-type: ${PROBLEM_CONTENT_TYPE}`,
    `content-length: ${Buffer.byteLength(text)}`,
    'connection: close',
    ...(refusal.retryAfterMs > 0 ? [`retry-after: ${(refusal.retryAfterMs / MS_PER_S).toFixed(3)}`] : []),
  ];
  return `${lines.join('\r\n')}\r\n\r\n${text}`;
}
