/** Decision about a request to a service with too many slots for scheduling each one. */
import type { ServiceRoom } from '../capacity/serviceRoom.js';

/** A request to decide about. */
export interface SheddableRequest {
  readonly service: string;
  /** Urgency among the requests of the service; 0 is the most urgent. */
  readonly rank: number;
  readonly team: string;
  /** The request may run at most once. */
  readonly isOnce: boolean;
  readonly arrivedAtMs: number;
  /** Time after which it is no longer worth starting. */
  readonly latestStartAtMs: number;
}

/** Whether a request is sent now, waits in its box, or is rejected. */
export type LoadSheddingDecision =
  | { readonly type: 'admit' }
  /** Decide again after this time. */
  | { readonly type: 'wait'; readonly forMs: number }
  | { readonly type: 'reject'; readonly retryAfterMs: number };

/** Sheds load of one box, without I/O. */
export interface LoadShedding {
  /** Records the room of a service, twice a second. */
  updateRoom(service: string, room: ServiceRoom, nowMs: number): void;
  /** Decides about a request, or again about one that waits; it is recognized by its object. */
  decide(request: SheddableRequest, nowMs: number): LoadSheddingDecision;
  /** Takes out a request that waits and whose caller has left; others have no effect. */
  withdraw(request: SheddableRequest): void;
  /** Records that an admitted request was served, and how long after it was sent. */
  recordEnd(service: string, tookMs: number): void;
  /** Forgets the services that are not among these. */
  retain(services: ReadonlySet<string>): void;
}
