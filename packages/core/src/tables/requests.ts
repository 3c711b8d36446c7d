/** The requests table: callers' requests whose entry box this is, and keyed calls that this box runs as an owner. */
import type { RequestHead, RequestId } from '../frames.js';
import type { BoxId, EndpointId, ServiceDeclaration } from '../records.js';

/** Phase of a request. */
export type RequestPhase = 'placing' | 'accepted' | 'backingOff';

/** One caller's request. */
export interface RequestRow {
  readonly id: RequestId;
  readonly head: RequestHead;
  readonly service: ServiceDeclaration;
  attempt: number;
  phase: RequestPhase;
  readonly arrivedMs: number;
  readonly deadlineMs: number;
  /** When the current attempt was placed. */
  placedMs: number;
  /** When the next attempt starts, while backing off. */
  retryAtMs: number;
  /** The box that the attempt was sent to; once accepted, the owner of the endpoint or of the key that accepted it. */
  targetBox: BoxId | undefined;
  endpointId: EndpointId | undefined;
  /** Whether part of the response was sent to the caller. */
  responseStarted: boolean;
  /** Whether this box runs the call as the owner of its idempotency key. */
  readonly isKeyOwner: boolean;
  /** Whether the caller's streamed body was read; it cannot be read again. */
  bodyTaken: boolean;
}
