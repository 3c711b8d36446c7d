/** Compares the clocks of the boxes that tell of crashes with the own one, so that the delay of news can be told. */
import { LRUCache } from 'lru-cache';

/** Lives of boxes whose clock is remembered. */
const MAX_WITNESSES = 1_024;

/** The clocks of the boxes that told of crashes. */
export class WitnessClocks {
  /** Least difference between the own clock and that of a witness; what the fastest news took is part of it. */
  private readonly differencesMs = new LRUCache<number, number>({ max: MAX_WITNESSES });

  /**
   * Takes note of the time at which news was sent, and returns how much longer it took than the fastest of that witness.
   *
   * @param sentAtMs on the clock of the witness
   * @param nowMs on the own clock
   * @example clocks.note(7, 100, 5_100); clocks.note(7, 200, 5_950) // 0, then 750
   */
  note(witness: number, sentAtMs: number, nowMs: number): number {
    const differenceMs = nowMs - sentAtMs;
    const leastMs = Math.min(differenceMs, this.differencesMs.get(witness) ?? Infinity);
    this.differencesMs.set(witness, leastMs);
    return differenceMs - leastMs;
  }
}
