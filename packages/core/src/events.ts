/**
 * What goes into a turn of the loop. Adapters turn sockets, watches and timers into these; the core does no I/O.
 */
import type { AttemptRef, ControlFrame, RequestHead, RequestId } from './frames.js';
import type { BoxId, BoxRecord, EndpointId, ValueName } from './records.js';
import type { ResultCode } from './resultCodes.js';

/** A caller's request has been read as far as routing needs. */
export interface CallerRequestEvent {
  readonly type: 'callerRequest';
  readonly requestId: RequestId;
  readonly head: RequestHead;
}

/** The caller went away before its answer was whole. */
export interface CallerGoneEvent {
  readonly type: 'callerGone';
  readonly requestId: RequestId;
}

/** How an attempt's call to its endpoint ended, as the steward saw it. */
export type CallOutcome =
  | { readonly type: 'whole'; readonly status: number }
  /** Nothing was sent: the connection could not be made. */
  | { readonly type: 'notSent' }
  /** Bytes may have reached the endpoint. */
  | { readonly type: 'broken'; readonly code: ResultCode }
  | { readonly type: 'cancelled' };

/** A steward's call to an endpoint ended. */
export interface CallEndedEvent extends AttemptRef {
  readonly type: 'callEnded';
  readonly outcome: CallOutcome;
}

/** The first bytes of an answer reached the caller: the request can no longer be started again. */
export interface AnswerStartedEvent extends AttemptRef {
  readonly type: 'answerStarted';
}

/** The caller has its whole answer. */
export interface AnswerEndedEvent extends AttemptRef {
  readonly type: 'answerEnded';
}

/** An answer broke its own announcement: shorter or longer than it said. */
export interface AnswerBrokenEvent {
  readonly type: 'answerBroken';
  readonly requestId: RequestId;
  readonly code: ResultCode;
}

/** The entry box began to read the caller's body; it cannot be read a second time. */
export interface BodyTakenEvent {
  readonly type: 'bodyTaken';
  readonly requestId: RequestId;
}

/** An endpoint's own report, late by nature. */
export interface EndpointReportEvent {
  readonly type: 'endpointReport';
  readonly endpointId: EndpointId;
  readonly inFlight: number;
  readonly leaving: boolean;
}

/** Something that happened outside the core. */
export type CoreEvent =
  | { readonly type: 'tick' }
  | { readonly type: 'frame'; readonly from: BoxId; readonly frame: ControlFrame }
  | { readonly type: 'peerUp'; readonly record: BoxRecord; readonly incarnation: string }
  | { readonly type: 'peerDown'; readonly boxId: BoxId }
  | { readonly type: 'valueRead'; readonly name: ValueName; readonly text: string }
  /** A call to the platform for a value ended; `askedAtMs` is when it began. */
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
