/**
 * The input of a turn. Adapters turn sockets, watches and timers into these events; the core does no I/O.
 */
import type { AttemptRef, ControlFrame, RequestHead, RequestId } from './frames.js';
import type { BoxId, BoxRecord, EndpointId, ValueName } from './records.js';
import type { ResultCode } from './resultCodes.js';

/** The part of a caller's request that routing needs has been read. */
export interface CallerRequestEvent {
  readonly type: 'callerRequest';
  readonly requestId: RequestId;
  readonly head: RequestHead;
}

/** The caller disconnected before its response was complete. */
export interface CallerGoneEvent {
  readonly type: 'callerGone';
  readonly requestId: RequestId;
}

/** How an attempt's call ended, as seen by the endpoint's owner. */
export type CallOutcome =
  /** The response was complete. */
  | { readonly type: 'whole'; readonly status: number }
  /** Nothing was sent: no connection could be established. */
  | { readonly type: 'notSent' }
  /** Bytes may have reached the endpoint. */
  | { readonly type: 'broken'; readonly code: ResultCode }
  | { readonly type: 'cancelled' };

/** A call of this box to an endpoint ended. */
export interface CallEndedEvent extends AttemptRef {
  readonly type: 'callEnded';
  readonly outcome: CallOutcome;
}

/** The first bytes of the response were sent to the caller; the request can no longer be retried. */
export interface AnswerStartedEvent extends AttemptRef {
  readonly type: 'answerStarted';
}

/** The caller received the complete response. */
export interface AnswerEndedEvent extends AttemptRef {
  readonly type: 'answerEnded';
}

/** The response is incomplete, does not match its announced length, or is too large to be stored for its key. */
export interface AnswerBrokenEvent {
  readonly type: 'answerBroken';
  readonly requestId: RequestId;
  readonly code: ResultCode;
}

/** The entry box started to read the caller's streamed body, which cannot be read a second time. */
export interface BodyTakenEvent {
  readonly type: 'bodyTaken';
  readonly requestId: RequestId;
}

/** A load report polled from an endpoint; it is stale by up to the polling interval. */
export interface EndpointReportEvent {
  readonly type: 'endpointReport';
  readonly endpointId: EndpointId;
  readonly inFlight: number;
  readonly leaving: boolean;
}

/** An event from outside the core. */
export type CoreEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'frame'; readonly from: BoxId; readonly frame: ControlFrame }
  | { readonly type: 'peerUp'; readonly record: BoxRecord; readonly incarnation: string }
  | { readonly type: 'peerDown'; readonly boxId: BoxId }
  | { readonly type: 'valueRead'; readonly name: ValueName; readonly text: string }
  /** A call to the platform for a value ended; `requestedAtMs` is when it started. */
  | {
      readonly type: 'platformContact';
      readonly name: ValueName;
      readonly ok: boolean;
      readonly requestedAtMs: number;
    }
  | { readonly type: 'stopRequested' }
  | CallerRequestEvent
  | CallerGoneEvent
  | BodyTakenEvent
  | CallEndedEvent
  | AnswerStartedEvent
  | AnswerEndedEvent
  | AnswerBrokenEvent
  | EndpointReportEvent;
