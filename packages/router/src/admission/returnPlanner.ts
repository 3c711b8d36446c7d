/**
 * When rejected callers return. They get times one after the other, from when the backlog before them is served, so
 * that they do not return as one wave; the more urgent ranks return first.
 */

/**
 * Part of the rate that is planned for callers that return. Their responses are late already, so that most of the rate is
 * left for new callers, who can still be served in time; otherwise nearly all are rejected once and then served late.
 */
const RETURN_SHARE = 0.15;
/** A caller cannot return sooner. */
export const ROUND_TRIP_MS = 20;
/** Most of its remaining time that a caller waits before it returns, so that it can be served then. */
export const MAX_SHARE_OF_PATIENCE = 1 / 3;
/** Callers told to wait for longer than that return within this part of it, drawn at random. */
const CAP_SPREAD = 0.5;

/** A request that is rejected. */
export interface RejectedRequest {
  readonly rank: number;
  readonly patienceMs: number;
  /** Requests that wait and are at least as urgent. */
  readonly backlog: number;
  /** Rate at which the service ends requests. */
  readonly ratePerMs: number;
}

/** When a rejected caller should return. */
export interface ReturnPlan {
  readonly afterMs: number;
  /** A part of the rate is kept for it then, so that it may go before new callers. */
  readonly isReserved: boolean;
}

/** Plans the returns to one service. */
export class ReturnPlanner {
  /** Earliest return that is not taken yet, by rank. */
  private readonly nextAtMs = new Map<number, number>();

  constructor(private readonly random: () => number) {}

  /**
   * Plans when a rejected caller should return.
   *
   * @example planner.plan({ rank: 0, patienceMs: 1200, backlog: 80, ratePerMs: 0.4 }, nowMs) // after 200 ms
   */
  plan({ rank, patienceMs, backlog, ratePerMs }: RejectedRequest, nowMs: number): ReturnPlan {
    const capMs = patienceMs * MAX_SHARE_OF_PATIENCE;
    const servedInMs = ratePerMs > 0 ? backlog / ratePerMs : Infinity;
    const freeAtMs = Math.max(nowMs + ROUND_TRIP_MS, nowMs + servedInMs, this.findNextAtMs(rank));
    if (freeAtMs - nowMs >= capMs)
      return { afterMs: Math.max(ROUND_TRIP_MS, this.drawBelow(capMs)), isReserved: false };
    // A rate that is low for a moment puts off later callers no longer than this one would have waited.
    const nextAtMs = freeAtMs + 1 / (ratePerMs * RETURN_SHARE);
    this.nextAtMs.set(rank, Math.min(nextAtMs, nowMs + capMs));
    return { afterMs: freeAtMs - nowMs, isReserved: true };
  }

  private findNextAtMs(rank: number): number {
    let latestMs = -Infinity;
    for (const [other, atMs] of this.nextAtMs) if (other <= rank) latestMs = Math.max(latestMs, atMs);
    return latestMs;
  }

  private drawBelow(capMs: number): number {
    return capMs * (1 - CAP_SPREAD * this.random());
  }
}
