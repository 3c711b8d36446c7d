/**
 * Limits how many endpoints of a service failures may eject: at most a share of them, and only while the others have
 * slots for the requests in flight. Ejecting more would move requests to endpoints that cannot hold them, and lose what
 * the failing endpoint still serves.
 */

/** Failures eject an endpoint only if at most this share of its service's endpoints is unusable afterwards. */
const MAX_EJECTED_SHARE = 0.34;
/**
 * From this failure rate on an endpoint brings no room: it serves less than a third of what it gets, and what it fails
 * may have run, so that often it cannot be sent again. A request that finds no room can be.
 */
const NO_ROOM_FAILURE_RATE = 0.7;
/** Slots needed per request in flight: the loads of other boxes are late, and requests do not spread evenly. */
const HEADROOM_FACTOR = 1.1;

/** An endpoint as far as its ejection, or that of another one, depends on it. */
export interface EjectionCandidate {
  /** Requests that it processes concurrently. */
  readonly slots: number;
  /** Requests of this box in flight there. */
  readonly ownInFlight: number;
  /** Requests of all boxes in flight there, as far as this box knows. */
  readonly inFlight: number;
  /** Share of its requests that fail, 0 to 1. */
  readonly failureRate: number;
  /** Its health permits new requests, and it is not leaving, backing off or evacuated. */
  readonly isInUse: boolean;
  /** It sustains only a few requests so far. */
  readonly isCold: boolean;
}

/** Whether an endpoint may be ejected, or why it stays in use. */
export type EjectionDecision =
  | 'permitted'
  /** Too many endpoints of the service would be unusable. */
  | 'overShare'
  /** The other endpoints have no slots for the requests in flight. */
  | 'shortOfRoom';

/**
 * Whether so many endpoints of a service may be unusable at a time.
 *
 * @example isWithinEjectionShare(1, 3) // true
 */
export function isWithinEjectionShare(unusable: number, endpoints: number): boolean {
  return unusable <= Math.floor(endpoints * MAX_EJECTED_SHARE);
}

/**
 * Whether the other endpoints of a service have room for the requests that this box has at a failing one. Other boxes decide
 * for themselves: the link to it may be bad for one hall only. Requests of boxes whose loads are not known count as none.
 *
 * @param others the other endpoints of the service
 * @example hasRoomWithout({ ...endpoint, failureRate: 0.5 }, fullEndpoints) // false
 */
export function hasRoomWithout(failing: EjectionCandidate, others: readonly EjectionCandidate[]): boolean {
  if (!failing.isInUse || failing.failureRate >= NO_ROOM_FAILURE_RATE) return true;
  const rest = others.filter(bringsRoom);
  const demand = rest.reduce((sum, { inFlight, slots }) => sum + Math.min(inFlight, slots), 0);
  const moved = Math.min(failing.ownInFlight, failing.slots);
  return HEADROOM_FACTOR * demand + moved <= rest.reduce((sum, { slots }) => sum + slots, 0);
}

function bringsRoom({ failureRate, isInUse, isCold }: EjectionCandidate): boolean {
  return isInUse && !isCold && failureRate < NO_ROOM_FAILURE_RATE;
}
