/**
 * Messages about the slots of a service that is short of room. A box requests a slot for each request of a caller from
 * the box that schedules the service, and releases it when the request has ended. Times are in milliseconds and
 * relative to the sending, since the clocks of boxes differ.
 */

/** A slot is used within this time after its box last asked for it, or given back: then another box may count on it. */
export const GRANT_USE_MS = 500;

/** Identifies a request for a slot in the whole fleet. */
export interface SlotRequestId {
  /** Address of the box that has the caller. */
  readonly box: string;
  /** Never used twice by that box. */
  readonly number: number;
}

/** Request for a slot. */
export interface SlotRequest extends SlotRequestId {
  readonly service: string;
  /** Urgency among the requests of the service; 0 is the most urgent. */
  readonly rank: number;
  /** Name of the team; empty if callers need no key. */
  readonly team: string;
  /** The request may run at most once. */
  readonly isOnce: boolean;
  /** Fingerprint of the request, by which a caller that returns is recognized. */
  readonly content: string;
  /** Time since it arrived at its first box. */
  readonly waitedMs: number;
  /** Time within which the response should arrive; negative if that time has passed. */
  readonly targetMs: number;
  /** Time after which it is no longer worth starting. */
  readonly patienceMs: number;
  /** Time after which the request has ended in any case. */
  readonly expiresMs: number;
  /** Tags of the endpoints that suit the request best, the best first. */
  readonly preferred: readonly number[];
  /** Tags of endpoints that it cannot use. */
  readonly excluded: readonly number[];
  /** Tag of the endpoint whose slot it holds already, granted by a box that scheduled the service before. */
  readonly heldTag?: number | undefined;
}

/** Answer to a request for a slot. `granted` and `rejected` are final. */
export type SlotAnswer = SlotRequestId &
  (
    | { readonly type: 'granted'; readonly service: string; readonly endpointTag: number }
    /** It waits; repeated requests get the same answer. */
    | { readonly type: 'queued'; readonly expectedWaitMs: number }
    /** It could not start in time. */
    | { readonly type: 'rejected'; readonly retryAfterMs: number }
  );

/** How a slot was used. */
export type SlotOutcome =
  /** The endpoint responded. */
  | 'served'
  /** The endpoint failed. */
  | 'failed'
  /** The endpoint refused the request for lack of room. */
  | 'refused'
  /** The caller left, also while the endpoint worked, or nothing was sent: this says nothing of the endpoint. */
  | 'unused';

/** How a slot was used, as its box knows. */
export type SlotUseOutcome =
  | SlotOutcome
  /** The caller left while the endpoint worked, which may go on. */
  | 'abandoned';

/** Release of a slot, or withdrawal of a request that waits. */
export interface SlotRelease extends SlotRequestId {
  readonly service: string;
  readonly outcome: SlotOutcome;
  /** Time from the grant to the end of the response; 0 if nothing was sent. An unused slot with a time may still be in use. */
  readonly heldMs: number;
}

/** An endpoint whose slots can be granted. */
export interface SchedulableEndpoint {
  readonly tag: number;
  /** Requests that it processes concurrently; fewer than its slots while it is slow. */
  readonly slotsInEffect: number;
  /** Requests in flight there by the reports of all boxes, which are up to a second old. */
  readonly reportedInFlight: number;
  /** Rejections in a second that it survives, so that no request is sent to wait there; undefined if there is no limit. */
  readonly rejectionsPerS?: number | undefined;
}

/** Schedules the slots of services, without I/O: requests and releases go in, answers come out. */
export interface SlotScheduling {
  /** Replaces the usable endpoints of a service. */
  setEndpoints(service: string, endpoints: readonly SchedulableEndpoint[], nowMs: number): SlotAnswer[];
  /** Handles a request, or one that is repeated because its box has heard nothing for a while. */
  handleRequest(request: SlotRequest, nowMs: number): SlotAnswer[];
  handleRelease(release: SlotRelease, nowMs: number): SlotAnswer[];
  /** Grants no slots of a service until then: what another box granted may not be known yet. */
  suspend(service: string, untilMs: number): void;
  /** Forgets a service, which another box schedules now. */
  end(service: string): void;
  /** Withdraws the requests and releases the slots of a box that is down. */
  dropBox(box: string, nowMs: number): SlotAnswer[];
  /** Rejects requests that can no longer start in time, and frees slots that were never released. */
  tick(nowMs: number): SlotAnswer[];
}

/**
 * Returns the key of a request for a slot in maps.
 *
 * @example readSlotRequestKey({ box: '10.0.0.1:7000', number: 7 }) // '10.0.0.1:7000 7'
 */
export function readSlotRequestKey({ box, number }: SlotRequestId): string {
  return `${box} ${number}`;
}
