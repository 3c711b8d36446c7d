/**
 * Decides whether a service is so full that hedges and repeats of requests would take slots from others. Scheduling begins
 * much earlier; to deny retries then would leave requests at endpoints that hang, beside free slots.
 */

/** Use from which on the next request may have to wait: the loads of other boxes are late. */
const FULL_USE = 0.9;
/** A refusal for lack of room shows for this long that a service is full: about two reports of loads. */
const REFUSAL_VALID_MS = 1_000;

/** What a box knows of the use of a service. */
export interface UseHistory {
  /** Use by the last report of loads; undefined before the first. */
  readonly latestUse: number | undefined;
  /** Use by the report before that one. */
  readonly priorUse: number | undefined;
  /** When an endpoint last refused a request for lack of room. */
  readonly refusedAtMs: number;
}

/** A service of which nothing is known. */
export const NO_USE_HISTORY: UseHistory = {
  latestUse: undefined,
  priorUse: undefined,
  refusedAtMs: -Infinity,
};

/**
 * Adds a report of loads.
 *
 * @example recordUse(history, readUse(room))
 */
export function recordUse(history: UseHistory, use: number): UseHistory {
  return { ...history, latestUse: use, priorUse: history.latestUse };
}

/**
 * Adds a refusal for lack of room.
 *
 * @example recordRoomRefusal(history, performance.now())
 */
export function recordRoomRefusal(history: UseHistory, nowMs: number): UseHistory {
  return { ...history, refusedAtMs: nowMs };
}

/**
 * Whether a service is full: by its use, averaged over two reports, or by a refusal just now.
 *
 * @example isFull({ latestUse: 1, priorUse: 0.6, refusedAtMs: -Infinity }, performance.now()) // false
 */
export function isFull({ latestUse, priorUse, refusedAtMs }: UseHistory, nowMs: number): boolean {
  if (nowMs - refusedAtMs < REFUSAL_VALID_MS) return true;
  if (latestUse === undefined) return false;
  return (latestUse + (priorUse ?? latestUse)) / 2 >= FULL_USE;
}
