/**
 * The messages between boxes. The wire package encodes them; the core gives them their meaning.
 * Every frame about a request names the request and the attempt, so that late frames are recognised.
 */
import type { BoxId, ChatId, EndpointId, ServiceKind, ServiceName, TeamName, ValueName } from './records.js';
import type { Ran, ResultCode } from './resultCodes.js';

/** `box.incarnation.counter`: unique over boxes and their restarts. */
export type RequestId = string;

/** Names one attempt at one request. */
export interface AttemptRef {
  readonly requestId: RequestId;
  readonly attempt: number;
}

/** An endpoint's load as its steward knows it. Negative: the endpoint takes no work. */
export type LoadEntry = readonly [EndpointId, number];

/** Version and digest of a published value; the digest orders two values of one version. */
export type ValueStamp = readonly [version: number, digest: number];

/** Sent to every peer at a fixed pace; proof of life and summary of loads. */
export interface HeartbeatFrame {
  readonly type: 'heartbeat';
  readonly loads: readonly LoadEntry[];
  /** Stamps in the order of VALUE_NAMES. */
  readonly stamps: readonly ValueStamp[];
  /** When each value was last confirmed with the platform, by a box's clock; 0 when never. Order of VALUE_NAMES. */
  readonly confirmedAtMs: readonly number[];
  readonly stopping: boolean;
  /** Whether the sender reached the platform lately. */
  readonly platformOk: boolean;
}

/** Asks a peer for a published value that it said it holds. */
export interface ValueRequestFrame {
  readonly type: 'valueRequest';
  readonly name: ValueName;
}

/** Answers a value request with the bytes as published. */
export interface ValueFrame {
  readonly type: 'value';
  readonly name: ValueName;
  readonly text: string;
}

/** What the routing boxes need to know of a request. */
export interface RequestHead {
  readonly kind: ServiceKind;
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly chat: ChatId;
  /** Larger goes first. */
  readonly priority: number;
  /** Time left when the frame was sent; a remaining time needs no common clock. From a caller, 0: the service's own. */
  readonly remainingMs: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly (readonly [string, string])[];
  /** Key of a call that may not be repeated, as the caller gave it. */
  readonly key?: string | undefined;
  /** The whole body, where it travels in the frame. */
  readonly body?: Uint8Array | undefined;
  /** Whether a body is streamed to the steward once the request is accepted. */
  readonly streamsBody: boolean;
}

/** Entry box to the chat's home box: choose an engine for this request. */
export interface PlaceFrame extends AttemptRef {
  readonly type: 'place';
  readonly entry: BoxId;
  readonly head: RequestHead;
}

/** To the steward of the first candidate: take this request, or pass it on. */
export interface AssignFrame extends AttemptRef {
  readonly type: 'assign';
  readonly entry: BoxId;
  /** The chat's home box, which learns who took the request; empty for plain services. */
  readonly home: BoxId;
  readonly head: RequestHead;
  /** Endpoints still to be asked, best first. */
  readonly candidates: readonly EndpointId[];
  /** Boxes that have handled it since it was placed; bounds forwarding while lists disagree. */
  readonly hops: number;
  /** Loads that travel along: the deciding box's own, and those of the engines that were over the bound. */
  readonly observed: readonly LoadEntry[];
  /** Engines that were over the bound, in the order asked. */
  readonly passed: readonly EndpointId[];
  /** All candidates were over the bound by a mean that may be late: the least loaded of those asked judges by these alone. */
  readonly isLast: boolean;
  /** Why the last candidate did not take it; the refusal's code once none is left. */
  readonly reason: ResultCode;
}

/** Steward to home box: the chat went to another engine than the home box's first choice. */
export interface PlacedFrame {
  readonly type: 'placed';
  readonly service: ServiceName;
  readonly chat: ChatId;
  readonly endpoint: EndpointId;
}

/** Steward to entry box: the request is queued or sent here. */
export interface AcceptedFrame extends AttemptRef {
  readonly type: 'accepted';
  readonly endpoint: EndpointId;
  /** The steward's present loads: what is sent anyway keeps its peers' view fresh. */
  readonly loads: readonly LoadEntry[];
}

/** Any deciding box to the entry box: the attempt ended without running, or it cannot be told. */
export interface RefusedFrame extends AttemptRef {
  readonly type: 'refused';
  readonly code: ResultCode;
  readonly ran: Ran;
  readonly retryAfterMs: number;
}

/** Entry box to steward: stop this attempt. */
export interface CancelFrame extends AttemptRef {
  readonly type: 'cancel';
}

/** Directory entries handed to the box that is now home to these chats. */
export interface DirectoryFrame {
  readonly type: 'directory';
  /** Model and chat, separated by a slash, with the engines that hold the prefix. */
  readonly entries: readonly (readonly [string, readonly EndpointId[]])[];
}

/** Entry box to the judge of a key: run this call unless it may have run. */
export interface KeyedFrame extends AttemptRef {
  readonly type: 'keyed';
  readonly entry: BoxId;
  readonly head: RequestHead;
}

/** A stopping box's last word on keys: what it knows of them, and that it runs no more. */
export interface KeysFrame {
  readonly type: 'keys';
  readonly incarnation: string;
  /** When it was said, by the sender's clock. */
  readonly atMs: number;
  /** Since when the sender's own ownerships had not changed. */
  readonly sinceMs: number;
  /** The box list by which it owned them. */
  readonly listVersion: number;
  readonly entries: readonly (readonly [key: string, ServiceName, 'answerGone' | 'unknown'])[];
}

/** Frames that the core handles. */
export type ControlFrame =
  | HeartbeatFrame
  | ValueRequestFrame
  | ValueFrame
  | PlaceFrame
  | AssignFrame
  | PlacedFrame
  | AcceptedFrame
  | RefusedFrame
  | CancelFrame
  | DirectoryFrame
  | KeyedFrame
  | KeysFrame;

/** Which way a body travels: with the request to the steward, or with the answer to the entry box. */
export type StreamSide = 'request' | 'answer';

/** Steward to entry box: status and headers of the answer. */
export interface AnswerHeadFrame extends AttemptRef {
  readonly type: 'answerHead';
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
}

/** A piece of a body. Sequence numbers start at 0 and have no gaps. */
export interface DataFrame extends AttemptRef {
  readonly type: 'data';
  readonly side: StreamSide;
  readonly seq: number;
  readonly bytes: Uint8Array;
}

/** The body ended whole after `count` data frames. */
export interface EndFrame extends AttemptRef {
  readonly type: 'end';
  readonly side: StreamSide;
  readonly count: number;
}

/** The receiver has passed on this many bytes and can take as many again. */
export interface CreditFrame extends AttemptRef {
  readonly type: 'credit';
  readonly side: StreamSide;
  readonly bytes: number;
}

/** Frames that carry bodies; adapters pass them on without asking the core. */
export type StreamFrame = AnswerHeadFrame | DataFrame | EndFrame | CreditFrame;

/** Everything that travels between boxes. */
export type Frame = ControlFrame | StreamFrame;

/**
 * Tells whether a frame is control traffic, as opposed to a caller's request or answer on its way.
 *
 * @example isControlTraffic({ type: 'cancel', requestId: 'a', attempt: 1 }) // false
 */
export function isControlTraffic(frame: Frame): boolean {
  switch (frame.type) {
    case 'heartbeat':
    case 'valueRequest':
    case 'value':
    case 'placed':
    case 'directory':
    case 'keys':
      return true;
    case 'place':
    case 'keyed':
    case 'assign':
    case 'accepted':
    case 'refused':
    case 'cancel':
    case 'answerHead':
    case 'data':
    case 'end':
    case 'credit':
      return false;
  }
}
