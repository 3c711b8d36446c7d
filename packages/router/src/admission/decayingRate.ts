/** Rate of events, in which older events count less. */

/** Moving average of a rate. */
export class DecayingRate {
  private count = 0;
  private updatedAtMs = 0;

  /** @param windowMs time after which an event counts for a third */
  constructor(private readonly windowMs: number) {}

  /** Records an event. */
  add(nowMs: number): void {
    this.decay(nowMs);
    this.count += 1;
  }

  /** Events per millisecond. */
  readPerMs(nowMs: number): number {
    this.decay(nowMs);
    return this.count / this.windowMs;
  }

  private decay(nowMs: number): void {
    // Rates are read many times in one evaluation of a queue.
    if (nowMs <= this.updatedAtMs) return;
    this.count *= Math.exp((this.updatedAtMs - nowMs) / this.windowMs);
    this.updatedAtMs = nowMs;
  }
}
