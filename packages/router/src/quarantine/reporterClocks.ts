/** Compares the clocks of the boxes that report crashes with the local one, to measure how long reports are delayed. */
import { LRUCache } from 'lru-cache';

/** Incarnations of boxes whose clock offset is kept. */
const MAX_REPORTERS = 1_024;

/** Clock offsets of the boxes that reported crashes. */
export class ReporterClocks {
  /** Least difference between the local clock and a reporter's; it includes the delay of the fastest report. */
  private readonly offsetsMs = new LRUCache<number, number>({ max: MAX_REPORTERS });

  /**
   * Records the time at which a report was sent, and returns its delay over the fastest report of the same reporter.
   *
   * @param sentAtMs on the reporter's clock
   * @param nowMs on the local clock
   * @example clocks.measureDelay(7, 100, 5_100); clocks.measureDelay(7, 200, 5_950) // 0, then 750
   */
  measureDelay(reporter: number, sentAtMs: number, nowMs: number): number {
    const offsetMs = nowMs - sentAtMs;
    const leastMs = Math.min(offsetMs, this.offsetsMs.get(reporter) ?? Infinity);
    this.offsetsMs.set(reporter, leastMs);
    return offsetMs - leastMs;
  }
}
