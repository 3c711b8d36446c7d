/**
 * The output of a turn: effects that the adapters carry out.
 */
import type { AttemptRef, ControlFrame, RequestHead, RequestId } from './frames.js';
import type { BoxId, BoxRecord, EndpointId, ValueName } from './records.js';
import type { Ran, ResultCode } from './resultCodes.js';
import type { KeyUncertainty } from './systems/keyUncertainty.js';
import type { KeyRequester } from './tables/keys.js';

/** The final refusal or failure of a request, as sent to the caller. */
export interface Refusal {
  readonly code: ResultCode;
  readonly ran: Ran;
  /** Delay for the caller's next try, with jitter already applied. */
  readonly retryAfterMs: number;
}

/** Why a request is retried. */
export type RetryReason = 'placeLost' | 'stewardLost' | 'overBound' | 'endpointBroke';

/** Names of the counters; those of refusals and retries end with the reason. */
export type CounterName =
  | `refusal.${ResultCode}`
  | `retry.${RetryReason}`
  | `value.${'accepted' | 'rejected' | 'older' | 'conflict'}`
  | `keyDoubt.${KeyUncertainty['type']}`
  | 'frame.foreign'
  | 'placement.forwarded'
  | 'placement.spilled'
  | 'endpoint.ejected';

/** An instruction for an adapter. */
export type Effect =
  | { readonly type: 'send'; readonly to: BoxId; readonly frame: ControlFrame }
  | { readonly type: 'broadcast'; readonly to: readonly BoxId[]; readonly frame: ControlFrame }
  /** Keep links to exactly these boxes. */
  | { readonly type: 'connectPeers'; readonly boxes: readonly BoxRecord[] }
  /** Watch exactly these values on the platform. */
  | { readonly type: 'watchValues'; readonly names: readonly ValueName[] }
  /** Read these values from the platform immediately, to confirm that this box holds the current ones. */
  | { readonly type: 'confirmValues'; readonly names: readonly ValueName[] }
  /** Poll the load reports of exactly these endpoints. */
  | { readonly type: 'watchEndpoints'; readonly endpoints: readonly WatchedEndpoint[] }
  | DispatchEffect
  | (AttemptRef & { readonly type: 'cancelCall' })
  /** The endpoint's owner accepted the request; the entry box may stream the body to it. */
  | (AttemptRef & { readonly type: 'bindRequest'; readonly ownerId: BoxId; readonly endpointId: EndpointId })
  /** Store the response of a keyed call that this box runs as the key's owner. */
  | { readonly type: 'openKeyed'; readonly requestId: RequestId }
  /** Send the stored response to a requester's entry box. */
  | { readonly type: 'deliverKeyed'; readonly keyedRequestId: RequestId; readonly requester: KeyRequester }
  /** Discard the stored response. */
  | { readonly type: 'forgetKeyed'; readonly keyedRequestId: RequestId }
  | { readonly type: 'refuseCaller'; readonly requestId: RequestId; readonly refusal: Refusal }
  | { readonly type: 'count'; readonly counter: CounterName }
  | { readonly type: 'log'; readonly level: 'info' | 'warn'; readonly message: string }
  /** A graceful shutdown is complete. */
  | { readonly type: 'stopped' };

/** An endpoint whose load reports are polled. */
export interface WatchedEndpoint {
  readonly id: EndpointId;
  readonly address: string;
}

/** Call an endpoint and stream its response to the entry box. */
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
