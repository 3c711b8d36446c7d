/** Which boxes leave requests for slots unanswered; those are passed over for a while. Times are in milliseconds. */

/** A hop that leaves requests unanswered for this long is passed over: twice what a box waits for an answer. */
const HOP_SILENCE_MS = 150;
/** For how long it is passed over; twice as long each time that it is silent again, since each trial delays requests. */
const PASS_OVER_MS = 3_000;
const MAX_PASS_OVER_MS = 24_000;
/** A hop that was passed over is forgotten after this time. */
const FORGET_MS = 600_000;

/** Silence of the hops of one box. */
export class HopSilence {
  /** When the first request without an answer was sent, by hop. */
  private readonly unansweredSinceMs = new Map<string, number>();
  private readonly passedOver = new Map<string, { readonly untilMs: number; readonly forMs: number }>();

  /** Records that requests were sent to a hop. */
  recordSent(hop: string, nowMs: number): void {
    if (!this.unansweredSinceMs.has(hop)) this.unansweredSinceMs.set(hop, nowMs);
  }

  /** Records that a hop answered. */
  recordAnswer(hop: string, nowMs: number): void {
    this.unansweredSinceMs.delete(hop);
    if (!this.isPassedOver(hop, nowMs)) this.passedOver.delete(hop);
  }

  /** Records that this box itself stood still, in which time others may have answered. */
  allowForPause(pausedMs: number, nowMs: number): void {
    for (const [hop, sinceMs] of this.unansweredSinceMs)
      this.unansweredSinceMs.set(hop, Math.min(nowMs, sinceMs + pausedMs));
  }

  /** Passes over the hops that are silent; returns whether there are new ones. */
  update(nowMs: number): boolean {
    let hasNew = false;
    for (const [hop, sinceMs] of this.unansweredSinceMs) {
      if (nowMs - sinceMs < HOP_SILENCE_MS) continue;
      this.unansweredSinceMs.delete(hop);
      const forMs = Math.min(MAX_PASS_OVER_MS, 2 * (this.passedOver.get(hop)?.forMs ?? PASS_OVER_MS / 2));
      this.passedOver.set(hop, { untilMs: nowMs + forMs, forMs });
      hasNew = true;
    }
    return hasNew;
  }

  /**
   * Whether a hop is passed over at present.
   *
   * @example silence.isPassedOver('10.0.0.2:7340', nowMs) // true for three seconds after it left requests unanswered
   */
  isPassedOver(hop: string, nowMs: number): boolean {
    return (this.passedOver.get(hop)?.untilMs ?? 0) > nowMs;
  }

  /** Forgets hops that were passed over long ago. */
  sweep(nowMs: number): void {
    for (const [hop, { untilMs }] of this.passedOver)
      if (nowMs - untilMs > FORGET_MS) this.passedOver.delete(hop);
  }
}
