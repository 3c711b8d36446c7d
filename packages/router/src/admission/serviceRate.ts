/**
 * Rate at which a service that is full ends requests. Completions are counted; hold times tell at once when endpoints
 * become slow or go away.
 */
import type { HoldTimes } from './holdTimes.js';
import type { EndpointUse } from './slotLedger.js';

/** Least window in which completions are counted. */
const MIN_WINDOW_MS = 500;
/** The window is long enough for so many completions, so that their count means something for slow requests too. */
const WINDOW_COMPLETIONS = 20;
/** Below this part of what was counted, the rate that the hold times lead to has fallen. */
const FALLEN_SHARE = 0.8;
/** The count is used if the service was full for this part of the window. */
const MIN_FULL_SHARE = 0.5;

/**
 * Rate that the hold times lead to if all slots are used, per millisecond (Little's law).
 *
 * @example expectRatePerMs(ledger.listUse(nowMs), holds, nowMs) // 0.4 for 18 slots that are held for 45 ms
 */
export function expectRatePerMs(uses: readonly EndpointUse[], holds: HoldTimes, nowMs: number): number {
  return uses.reduce((sum, { endpoint, inUse, capacity }) => {
    // Requests beyond the slots wait at the endpoint, which makes their hold times longer.
    const concurrent = Math.max(endpoint.slotsInEffect, Math.min(inUse, capacity));
    return sum + concurrent / holds.readMs(endpoint.tag, nowMs);
  }, 0);
}

/** Counts the requests that end while all slots of a service are in use; older ones count less. */
export class CompletionCounter {
  private completions = 0;
  private fullMs = 0;
  private isFull = false;
  private windowMs = MIN_WINDOW_MS;
  private updatedAtMs = 0;

  /** Takes the time since the last call into account. */
  advance(nowMs: number, expectedPerMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAtMs);
    if (expectedPerMs > 0) this.windowMs = Math.max(MIN_WINDOW_MS, WINDOW_COMPLETIONS / expectedPerMs);
    const remembered = Math.exp(-elapsedMs / this.windowMs);
    this.completions *= remembered;
    this.fullMs = this.fullMs * remembered + (this.isFull ? this.windowMs * (1 - remembered) : 0);
    this.updatedAtMs = nowMs;
  }

  /** Records whether all slots are in use from now on. */
  setFull(isFull: boolean): void {
    this.isFull = isFull;
  }

  /** Records a request that ended. */
  recordCompletion(): void {
    if (this.isFull) this.completions += 1;
  }

  /**
   * Rate at which a full service ends requests, per millisecond: the completions counted, or what the hold times lead to
   * if the service was not full for long enough, or if the rate has just fallen.
   */
  readPerMs(expectedPerMs: number): number {
    const countedPerMs = this.readCountedPerMs() ?? expectedPerMs;
    return expectedPerMs < countedPerMs * FALLEN_SHARE ? expectedPerMs : countedPerMs;
  }

  private readCountedPerMs(): number | undefined {
    if (this.fullMs < this.windowMs * MIN_FULL_SHARE) return undefined;
    // One more, as the next may come at any time: a service that has stopped for a while may go on.
    return (this.completions + 1) / this.fullMs;
  }
}
