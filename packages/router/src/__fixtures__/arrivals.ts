/** Computes how many requests arrived at virtual endpoints over the load bound. */

/** Length of the windows in which the share of requests over the bound is computed. */
const WINDOW_MS = 5_000;
/** Windows with fewer requests than this over the bound are ignored. */
const MIN_OVER_BOUND = 20;

/** A request that arrived at an endpoint. */
export interface Arrival {
  readonly atMs: number;
  /** Id of the endpoint. */
  readonly endpoint: string;
  readonly isOverBound: boolean;
}

/** Returns the highest share of requests over the bound in any window. The arrivals are in ascending order of time. */
export function findWorstShare(arrivals: readonly Arrival[]): number {
  let worst = 0;
  let end = 0;
  let over = 0;
  for (let begin = 0; begin < arrivals.length; begin += 1) {
    const untilMs = (arrivals[begin]?.atMs ?? 0) + WINDOW_MS;
    for (; (arrivals[end]?.atMs ?? Infinity) < untilMs; end += 1) if (arrivals[end]?.isOverBound) over += 1;
    if (end === arrivals.length) break;
    if (over >= MIN_OVER_BOUND) worst = Math.max(worst, over / (end - begin));
    if (arrivals[begin]?.isOverBound) over -= 1;
  }
  return worst;
}
