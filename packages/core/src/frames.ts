/**
 * The messages between boxes. The wire package encodes them, the core handles them. Every frame about a request carries
 * the request's id and the attempt, so that late frames can be detected and dropped.
 */
import type { BoxId, ChatId, EndpointId, ServiceKind, ServiceName, TeamName, ValueName } from './records.js';
import type { Ran, ResultCode } from './resultCodes.js';

/** `box.incarnation.counter`: unique across boxes and restarts. */
export type RequestId = string;

/** Identifies one attempt of a request. */
export interface AttemptRef {
  readonly requestId: RequestId;
  readonly attempt: number;
}

/** An endpoint's load as its owner reports it. Negative if the endpoint accepts no work. */
export type LoadEntry = readonly [EndpointId, number];

/** Version and digest of a published value; the digest orders two values with the same version. */
export type ValueStamp = readonly [version: number, digest: number];

/** Sent to every peer at a fixed interval: liveness signal, loads and versions of the published values. */
export interface HeartbeatFrame {
  readonly type: 'heartbeat';
  readonly loads: readonly LoadEntry[];
  /** Stamps in the order of VALUE_NAMES. */
  readonly stamps: readonly ValueStamp[];
  /**
   * When the platform last confirmed each value, in the order of VALUE_NAMES and by the clock of the box that asked;
   * 0 if never.
   */
  readonly confirmedAtMs: readonly number[];
  readonly stopping: boolean;
  /** False if the sender's last call to the platform failed. */
  readonly platformOk: boolean;
}

/** Requests a published value from a peer that advertised a newer version. */
export interface ValueRequestFrame {
  readonly type: 'valueRequest';
  readonly name: ValueName;
}

/** Response to a value request: the text exactly as published. */
export interface ValueFrame {
  readonly type: 'value';
  readonly name: ValueName;
  readonly text: string;
}

/** The part of a request that routing needs. */
export interface RequestHead {
  readonly kind: ServiceKind;
  readonly service: ServiceName;
  readonly team: TeamName;
  readonly chat: ChatId;
  /** Requests with a higher priority start first. */
  readonly priority: number;
  /**
   * Time left when the frame was sent; a duration, so that boxes need no common clock. 0 in a caller's request means
   * the service's default deadline.
   */
  readonly remainingMs: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly (readonly [string, string])[];
  /** Idempotency key of a call that may run at most once, as sent by the caller. */
  readonly key?: string | undefined;
  /** The whole body, if it is sent within the frame. */
  readonly body?: Uint8Array | undefined;
  /** Whether the body is streamed to the endpoint's owner once the request is accepted. */
  readonly streamsBody: boolean;
}

/** Sent by the entry box to the chat's home box, which chooses an engine for the request. */
export interface PlaceFrame extends AttemptRef {
  readonly type: 'place';
  readonly entry: BoxId;
  readonly head: RequestHead;
}

/** Sent to the owner of the first candidate, which accepts the request or forwards it to the next candidate. */
export interface AssignFrame extends AttemptRef {
  readonly type: 'assign';
  readonly entry: BoxId;
  /**
   * The chat's home box (the partition owner of its directory entry), which is sent the engine that accepted the
   * request; empty for plain services.
   */
  readonly home: BoxId;
  readonly head: RequestHead;
  /** Endpoints not yet tried, best first. */
  readonly candidates: readonly EndpointId[];
  /** Number of boxes that have handled the assignment; limits forwarding while boxes hold different lists. */
  readonly hops: number;
  /** Loads sent along: those of the endpoints that the placing box owns, and those of engines found over the bound. */
  readonly observed: readonly LoadEntry[];
  /** Engines found over the bound, in the order tried. */
  readonly passed: readonly EndpointId[];
  /**
   * Every candidate was over the bound, computed from a mean that may be stale. The request goes to the least loaded of
   * them, whose owner computes the bound from the loads of these engines only.
   */
  readonly isLast: boolean;
  /** Why the previous candidate did not accept it; the code of the refusal if no candidate is left. */
  readonly reason: ResultCode;
}

/** Sent by an endpoint's owner to the home box if another engine than the home box's first choice took the chat. */
export interface PlacedFrame {
  readonly type: 'placed';
  readonly service: ServiceName;
  readonly chat: ChatId;
  readonly endpoint: EndpointId;
}

/**
 * Sent by an endpoint's owner to the entry box: the request is queued or running at the endpoint. The owner of a key also
 * sends it for a keyed call, with its own box id as `endpoint`.
 */
export interface AcceptedFrame extends AttemptRef {
  readonly type: 'accepted';
  readonly endpoint: EndpointId;
  /** Current loads of the sender's endpoints; piggybacked to keep the receiver's view fresh. */
  readonly loads: readonly LoadEntry[];
}

/**
 * Sent to the entry box by the box that handled the attempt, which ended without a complete response. `ran` is `unknown`
 * unless the request provably did not run.
 */
export interface RefusedFrame extends AttemptRef {
  readonly type: 'refused';
  readonly code: ResultCode;
  readonly ran: Ran;
  readonly retryAfterMs: number;
}

/** Sent by the entry box to the endpoint's owner: cancel this attempt. */
export interface CancelFrame extends AttemptRef {
  readonly type: 'cancel';
}

/** Handover of directory entries to the box that has become the home box of these chats. */
export interface DirectoryFrame {
  readonly type: 'directory';
  /** Directory key (`model/chat`) with the engines that have the chat's prefix cached. */
  readonly entries: readonly (readonly [string, readonly EndpointId[]])[];
}

/** Sent by the entry box to the box that decides on a key: run this call unless it may have run already. */
export interface KeyedFrame extends AttemptRef {
  readonly type: 'keyed';
  readonly entry: BoxId;
  readonly head: RequestHead;
}

/** Handover of a stopping box's keys: their states, and the statement that it runs no more keyed calls. */
export interface KeysFrame {
  readonly type: 'keys';
  readonly incarnation: string;
  /** When the frame was sent, by the sender's clock. */
  readonly atMs: number;
  /** Since when the sender's key ownership had not changed. */
  readonly sinceMs: number;
  /** Version of the box list by which the sender owned the keys. */
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

/** Direction of a body: `request` to the endpoint's owner, `answer` (the response) to the entry box. */
export type StreamSide = 'request' | 'answer';

/** Sent by the endpoint's owner to the entry box: status and headers of the response. */
export interface AnswerHeadFrame extends AttemptRef {
  readonly type: 'answerHead';
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
}

/** A chunk of a body. Sequence numbers start at 0 and have no gaps. */
export interface DataFrame extends AttemptRef {
  readonly type: 'data';
  readonly side: StreamSide;
  readonly seq: number;
  readonly bytes: Uint8Array;
}

/** End of a complete body of `count` data frames. */
export interface EndFrame extends AttemptRef {
  readonly type: 'end';
  readonly side: StreamSide;
  readonly count: number;
}

/** Flow control: the receiver has forwarded this many bytes and can take as many more. */
export interface CreditFrame extends AttemptRef {
  readonly type: 'credit';
  readonly side: StreamSide;
  readonly bytes: number;
}

/** Frames that carry responses and bodies; adapters handle them without the core. */
export type StreamFrame = AnswerHeadFrame | DataFrame | EndFrame | CreditFrame;

/** Every frame between boxes, except the `hello` that opens a link. */
export type Frame = ControlFrame | StreamFrame;

/**
 * Whether a frame is control traffic, as opposed to part of a caller's request or response.
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
