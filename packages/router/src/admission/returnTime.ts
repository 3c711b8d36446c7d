/** Time after which the caller of a rejected request should return. */

/** Shortest estimate: in less time the use of a service hardly changes. */
const MIN_RETURN_MS = 300;
/** Longest estimate; callers would give up rather than wait much longer. */
const MAX_RETURN_MS = 5_000;
/** Returns are spread from half to one and a half times the estimate, so that callers do not come back as one wave. */
const MIN_SPREAD = 0.5;
const MS_PER_S = 1_000;

/** Longest estimate as a part of the remaining time, so that the request can still start in time when it returns. */
const USABLE_SHARE = 0.5;

/** A rejected request, and others like it at this box. */
export interface ReturnEstimate {
  /** Requests of the last seconds that were rejected and are expected to return. */
  readonly rejected: number;
  /** Requests that are admitted per second. */
  readonly admittedPerS: number;
  /** Time for which the rejected request is still worth starting. */
  readonly remainingMs: number;
}

/**
 * Estimates when a rejected request would be admitted: after those that were rejected before it.
 *
 * @param random a random number between 0 and 1
 * @example estimateReturnMs({ rejected: 3, admittedPerS: 2, remainingMs: 9_000 }, 0.5) // 2_000
 */
export function estimateReturnMs(
  { rejected, admittedPerS, remainingMs }: ReturnEstimate,
  random: number,
): number {
  const estimateMs = admittedPerS > 0 ? ((rejected + 1) * MS_PER_S) / admittedPerS : MAX_RETURN_MS;
  const maxMs = Math.min(MAX_RETURN_MS, remainingMs * USABLE_SHARE);
  const returnMs = Math.max(MIN_RETURN_MS, Math.min(maxMs, estimateMs));
  return returnMs * (MIN_SPREAD + random);
}
