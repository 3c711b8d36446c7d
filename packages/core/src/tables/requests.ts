/** The requests table: callers' requests that entered the fleet at this box. */
import type { RequestHead, RequestId } from '../frames.js';
import type { BoxId, EndpointId, ServiceDeclaration } from '../records.js';

/** Where a request stands. */
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
  /** When the present attempt was placed. */
  placedMs: number;
  /** When to try again, while backing off. */
  retryAtMs: number;
  /** The box last sent to; the steward once accepted. */
  targetBox: BoxId | undefined;
  endpointId: EndpointId | undefined;
  /** Part of the answer has reached the caller. */
  responseStarted: boolean;
  /** This box owns the request's key and carries the call itself. */
  readonly isKeyOwner: boolean;
  /** The caller's streamed body has been read and is gone. */
  bodyTaken: boolean;
}
