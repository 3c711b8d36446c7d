/** The keys table: calls that may not be repeated, as their owner knows them. Lost with the box. */
import type { AttemptRef, RequestId } from '../frames.js';
import type { BoxId, ServiceName } from '../records.js';

/** An asker whose entry box waits for the answer. */
export interface KeyRequester extends AttemptRef {
  readonly entry: BoxId;
}

/** What became of a keyed call. A call that provably did not run leaves no row. */
export type KeyState =
  | { readonly type: 'running' }
  /** It ran, and its answer is held. */
  | { readonly type: 'done' }
  /** It ran; the answer is not held here. */
  | { readonly type: 'answerGone' }
  /** It may have run. */
  | { readonly type: 'unknown' };

/** One keyed call. */
export interface KeyRow {
  readonly key: string;
  readonly service: ServiceName;
  /** The owner's own request that carries the call. */
  readonly requestId: RequestId;
  state: KeyState;
  /** Entry boxes that wait for the answer. */
  requesters: KeyRequester[];
  readonly createdMs: number;
}
