/** The keys table: calls that may run at most once, at the owner of their key. Kept in memory, lost with the box. */
import type { AttemptRef, RequestId } from '../frames.js';
import type { BoxId, ServiceName } from '../records.js';

/** An attempt whose entry box waits for the response of a keyed call. */
export interface KeyRequester extends AttemptRef {
  readonly entry: BoxId;
}

/** State of a keyed call. The row of a call that provably did not run is removed. */
export type KeyState =
  | { readonly type: 'running' }
  /** It ran, and its response is stored on this box. */
  | { readonly type: 'done' }
  /** It ran; its response is not stored on this box. */
  | { readonly type: 'answerGone' }
  /** It may have run. */
  | { readonly type: 'unknown' };

/** One keyed call. */
export interface KeyRow {
  readonly key: string;
  readonly service: ServiceName;
  /** The request with which the owner runs the call. */
  readonly requestId: RequestId;
  state: KeyState;
  /** Attempts whose entry boxes wait for the response. */
  requesters: KeyRequester[];
  readonly createdMs: number;
}
