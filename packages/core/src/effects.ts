/**
 * What comes out of a turn of the loop: instructions that adapters carry out.
 */
import type { AttemptRef, ControlFrame, RequestHead, RequestId } from './frames.js';
import type { BoxId, BoxRecord, EndpointId, ValueName } from './records.js';
import type { Ran, ResultCode } from './resultCodes.js';
import type { KeyUncertainty } from './systems/keyUncertainty.js';
import type { KeyRequester } from './tables/keys.js';

/** A request's final refusal or failure, for the caller. */
export interface Refusal {
  readonly code: ResultCode;
  readonly ran: Ran;
  /** When to come back, already spread out. */
  readonly retryAfterMs: number;
}

/** Why a request is tried again. */
export type RetryReason = 'placeLost' | 'stewardLost' | 'overBound' | 'endpointBroke';

/** Counters by name; refusals and retries carry their reason. */
export type CounterName =
  | `refusal.${ResultCode}`
  | `retry.${RetryReason}`
  | `value.${'accepted' | 'rejected' | 'older' | 'conflict'}`
  | `keyDoubt.${KeyUncertainty['type']}`
  | 'frame.foreign'
  | 'placement.forwarded'
  | 'placement.spilled'
  | 'endpoint.ejected';

/** An instruction to an adapter. */
export type Effect =
  | { readonly type: 'send'; readonly to: BoxId; readonly frame: ControlFrame }
  | { readonly type: 'broadcast'; readonly to: readonly BoxId[]; readonly frame: ControlFrame }
  /** Keep links to exactly these boxes. */
  | { readonly type: 'connectPeers'; readonly boxes: readonly BoxRecord[] }
  /** Watch exactly these values on the platform. */
  | { readonly type: 'watchValues'; readonly names: readonly ValueName[] }
  /** Ask the platform at once whether these values are as this box holds them. */
  | { readonly type: 'confirmValues'; readonly names: readonly ValueName[] }
  /** Read reports of exactly these endpoints. */
  | { readonly type: 'watchEndpoints'; readonly endpoints: readonly WatchedEndpoint[] }
  | DispatchEffect
  | (AttemptRef & { readonly type: 'cancelCall' })
  /** The steward took the request: the entry box may stream its body there. */
  | (AttemptRef & { readonly type: 'bindRequest'; readonly ownerId: BoxId; readonly endpointId: EndpointId })
  /** Hold the answer of an owner's own request. */
  | { readonly type: 'openKeyed'; readonly requestId: RequestId }
  /** Send the answer held to an asker's entry box. */
  | { readonly type: 'deliverKeyed'; readonly keyedRequestId: RequestId; readonly requester: KeyRequester }
  /** The answer need not be held any longer. */
  | { readonly type: 'forgetKeyed'; readonly keyedRequestId: RequestId }
  | { readonly type: 'refuseCaller'; readonly requestId: RequestId; readonly refusal: Refusal }
  | { readonly type: 'count'; readonly counter: CounterName }
  | { readonly type: 'log'; readonly level: 'info' | 'warn'; readonly message: string }
  /** A planned stop is complete. */
  | { readonly type: 'stopped' };

/** An endpoint whose reports are wanted. */
export interface WatchedEndpoint {
  readonly id: EndpointId;
  readonly address: string;
}

/** Call an endpoint and stream its answer to the entry box. */
export interface DispatchEffect extends AttemptRef {
  readonly type: 'dispatch';
  readonly entry: BoxId;
  readonly endpointId: EndpointId;
  /** `host:port`. */
  readonly address: string;
  readonly head: RequestHead;
  /** Time left for the call. */
  readonly remainingMs: number;
}
