/** The events of an attempt, and what they mean for the health of its endpoint. */
import type { ResponseHeaders } from '../httpDialect.js';
import type { ResponseMetadata } from '../records.js';
import type { HealthSignal } from '../systems/endpointHealth.js';
import type { ConnectFailure } from './endpointConnections.js';

/** Why a response cannot be used. The request may have run in each of these cases. */
export type BreakReason =
  /** The connection ended before the response did, or the response was not valid HTTP. */
  | 'connectionLost'
  /** The tunnel to the endpoint was lost: the other box or the link to it failed, which is no evidence about the endpoint. */
  | 'tunnelLost'
  /** The response carries the id of another request, or none. */
  | 'foreignAnswer'
  /** A successful response without the seal of the endpoint. */
  | 'unsealed'
  /** A response whose status is none of a final response of HTTP. */
  | 'invalidStatus'
  /** A stream whose bytes complete no event. */
  | 'endlessEvent';

/** The head of a response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: ResponseHeaders;
  readonly metadata: ResponseMetadata;
}

/** Why an attempt ended before its request was sent. */
export type UnsentReason = ConnectFailure | SendObstacle | AbortReason;

/** Why nothing is sent although there is a connection: it became so while the attempt waited for one. */
export type SendObstacle =
  /** The endpoint accepts no more requests. */
  | 'endpointDeclined'
  /** The response would not end before this box exits. */
  | 'boxStopping'
  /** The slot was granted too long ago, and may be counted on elsewhere. */
  | 'grantExpired'
  /** The response would not end before the box exits through which the connection passes. */
  | 'tunnelClosing';

/** Why a request is no longer wanted. */
export type AbortReason =
  /** The caller closed its connection. */
  'callerLeft' | 'deadlinePassed';

/**
 * Maps the reason of an unsent attempt to a health signal; undefined if the reason does not concern the endpoint.
 *
 * @example findHealthSignal('connectionLimit') // undefined
 */
export function findHealthSignal(reason: UnsentReason): HealthSignal | undefined {
  switch (reason) {
    case 'connectionLimit':
    case 'endpointDeclined':
    case 'boxStopping':
    case 'grantExpired':
    case 'tunnelClosing':
    case 'callerLeft':
    case 'deadlinePassed':
      return undefined;
    case 'connectRefused':
    case 'connectTimedOut':
    case 'connectBroken':
      return reason;
  }
}

const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_UNAVAILABLE = 503;

/**
 * Whether an endpoint that did not run a request refused it for lack of room, and not because it leaves or is another
 * endpoint than expected.
 *
 * @example isLackOfRoom(head) // true for 503 of an endpoint with a full queue
 */
export function isLackOfRoom({ status, metadata }: Pick<ResponseHead, 'status' | 'metadata'>): boolean {
  return !metadata.isLeaving && (status === STATUS_TOO_MANY_REQUESTS || status === STATUS_UNAVAILABLE);
}

/** An event of an attempt. `unsent`, `notRun`, `end` and `broken` are final. */
export type AttemptEvent =
  | { readonly type: 'sent' }
  | { readonly type: 'unsent'; readonly reason: UnsentReason }
  | { readonly type: 'notRun'; readonly head: ResponseHead }
  | { readonly type: 'head'; readonly head: ResponseHead }
  | { readonly type: 'data'; readonly chunk: Buffer }
  | { readonly type: 'end' }
  | { readonly type: 'broken'; readonly reason: BreakReason; readonly detail: string };
