/**
 * Budget for retries. The fleet as a whole may retry a share of the requests of a service in a sliding window, plus a
 * constant. Each box uses the share of its own requests and an equal part of the constant, so that all boxes together
 * stay within the bound even while they disagree about their number.
 */

/** Bound on the retries of the whole fleet, for each service. */
export interface RetryBound {
  /** Retries per request. */
  readonly ratio: number;
  readonly windowMs: number;
  /** Additional retries of all boxes together in one window. */
  readonly extra: number;
}

/** Share of the bound that is used; the rest covers restarts and boxes that are not discovered yet. */
const USED_SHARE = 0.75;
/** Slots into which the window is divided; the oldest is dropped as time passes. */
const SLOTS = 10;
/**
 * Time after its start in which a box gets no part of the constant: it has neither discovered all other boxes nor
 * kept a record of what its previous run has used.
 */
const SETTLE_MS = 5_000;

interface Slot {
  readonly index: number;
  requests: number;
  retries: number;
}

/** Retries that one box may make, by service. */
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

  /** Records a request of a caller. */
  recordRequest(service: string, nowMs: number): void {
    this.currentSlot(service, nowMs).requests += 1;
  }

  /** Takes one retry from the budget; false if it is exhausted. */
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
