/**
 * The budget for sending requests again. The fleet as a whole may send again a share of the requests of a service in a
 * sliding window, plus a fixed number; each box takes its own requests' share and an equal part of the fixed number,
 * so that all boxes together stay below the bound also while they disagree about how many they are.
 */

/** The fleet's bound for each service. */
export interface RetryBound {
  /** Requests sent again for each request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Requests sent again on top, in one window, by all boxes together. */
  readonly extra: number;
}

/** Part of the bound that is used; the rest covers restarts and boxes that are not known yet. */
const USED_SHARE = 0.75;
/** Slots into which the window is cut; the oldest slot is dropped as time passes. */
const SLOTS = 10;
/** A box that just started does not know how many others there are, nor what its former run spent. */
const SETTLE_MS = 5_000;

interface Slot {
  readonly index: number;
  requests: number;
  retries: number;
}

/** What one box may spend, by service. */
export class RetryBudget {
  private readonly slotsByService = new Map<string, Slot[]>();
  private readonly slotMs: number;

  constructor(
    private readonly bound: RetryBound,
    private readonly startedAtMs: number,
    private readonly countBoxes: () => number,
  ) {
    this.slotMs = bound.windowMs / SLOTS;
  }

  /** Notes a request of a caller. */
  recordRequest(service: string, nowMs: number): void {
    this.currentSlot(service, nowMs).requests += 1;
  }

  /** Takes one from the budget; false if it is spent. */
  take(service: string, nowMs: number): boolean {
    const current = this.currentSlot(service, nowMs);
    const slots = this.slotsByService.get(service) ?? [];
    const requests = slots.reduce((sum, slot) => sum + slot.requests, 0);
    const retries = slots.reduce((sum, slot) => sum + slot.retries, 0);
    const isSettled = nowMs - this.startedAtMs >= SETTLE_MS;
    const extra = isSettled ? this.bound.extra / Math.max(1, this.countBoxes()) : 0;
    if (retries + 1 > USED_SHARE * (this.bound.ratio * requests + extra)) return false;
    current.retries += 1;
    return true;
  }

  private currentSlot(service: string, nowMs: number): Slot {
    const index = Math.floor(nowMs / this.slotMs);
    let slots = this.slotsByService.get(service);
    if (slots === undefined) {
      slots = [];
      this.slotsByService.set(service, slots);
    }
    while (slots[0] !== undefined && slots[0].index <= index - SLOTS) slots.shift();
    const last = slots.at(-1);
    if (last?.index === index) return last;
    const slot: Slot = { index, requests: 0, retries: 0 };
    slots.push(slot);
    return slot;
  }
}
