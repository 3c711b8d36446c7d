/**
 * How many requests of a service may usefully wait at its endpoints. Endpoints start the most urgent ones first, but within
 * a rank in the order of arrival, so the rank that can spare least bounds the queue.
 */

/** Weight of the latest request in an average. */
const LATEST_WEIGHT = 0.05;
/** Time by which views are usually late; the queue becomes longer meanwhile. */
const VIEW_DELAY_MS = 600;
/** Part of the remaining time that the queue may take: requests do not all wait equally long. */
const QUEUE_SHARE = 0.4;
/** Most requests that may wait for each slot: endpoints refuse what finds a long queue, also if it is urgent. */
const MAX_QUEUE_PER_SLOT = 0.9;
/** Least hold time that is assumed. */
const MIN_HOLD_MS = 1;

function average(before: number | undefined, latest: number): number {
  return before === undefined ? latest : before + LATEST_WEIGHT * (latest - before);
}

/** Times of one service from which the length of its queue follows. */
export class UsefulQueue {
  private holdMs: number | undefined;
  private readonly spareMsByRank = new Map<number, number>();

  /**
   * Records a request that was served.
   *
   * @param tookMs time at its endpoint
   * @param use use of the service; above 1 a part of that time was spent in a queue
   */
  recordEnd(tookMs: number, use: number): void {
    this.holdMs = average(this.holdMs, Math.max(MIN_HOLD_MS, tookMs / Math.max(1, use)));
  }

  /** Records the time for which a request that arrives is worth starting. */
  recordArrival(rank: number, spareMs: number): void {
    this.spareMsByRank.set(rank, average(this.spareMsByRank.get(rank), Math.max(0, spareMs)));
  }

  /**
   * Use up to which all requests are admitted; 1 until a request has ended. The rank that can spare least counts.
   *
   * @param ranks ranks of recent requests
   * @example queue.readAllowedUse([0, 1]) // 1.4 if requests take 1 s, and those of rank 1 can spare 1.5 s, others more
   */
  readAllowedUse(ranks: readonly number[]): number {
    const spareMs = Math.min(...ranks.map((rank) => this.spareMsByRank.get(rank) ?? Infinity));
    if (this.holdMs === undefined || !Number.isFinite(spareMs)) return 1;
    const usableMs = QUEUE_SHARE * Math.max(0, spareMs - VIEW_DELAY_MS);
    return 1 + Math.min(MAX_QUEUE_PER_SLOT, usableMs / this.holdMs);
  }
}
