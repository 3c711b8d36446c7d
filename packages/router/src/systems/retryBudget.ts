/**
 * Budget for retries. The fleet as a whole may retry a share of the requests of a service in a sliding window, plus a
 * constant. Each box uses the share of its own requests and an equal part of the constant, so that all boxes together
 * stay within the bound even while they disagree about their number.
 *
 * While a service is full, a part of the budget is kept for requests that provably did not run: sending one again
 * costs no more than its first attempt would have.
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
const MS_PER_S = 1_000;
/** A rate is computed over at least this time: just after a start, one request would count as a high one. */
const MIN_RATE_MS = 1_000;

/** Share of the budget that retries of requests that may have run may use while their service is full. */
const FULL_MAY_HAVE_RUN_SHARE = 1 / 2;
/**
 * Share of the budget that those of them may use that start from the beginning. The rest is left for streams that their
 * callers are reading: without it, what they have received is lost, while the others can be requested again.
 */
const FULL_REPEAT_SHARE = 1 / 3;

/** What a retry is for. */
export type RetryPurpose =
  /** A request that provably did not run. */
  | 'notRun'
  /** A request that may have run, sent again from its beginning. */
  | 'repeat'
  /** A stream that its caller is reading, continued at another endpoint. */
  | 'resume';

/** A retry that is to be taken from the budget. */
export interface BudgetedRetry {
  readonly service: string;
  readonly purpose: RetryPurpose;
  /** The service is so full that a repeat would take a slot from another request. */
  readonly isFull: boolean;
}

interface Slot {
  readonly index: number;
  requests: number;
  readonly retries: Record<RetryPurpose, number>;
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

  /**
   * Mean rate of the requests of callers for a service over the window, or since the start of the box if that is later.
   *
   * @example budget.readRequestsPerS('rooms', performance.now()) // 40
   */
  readRequestsPerS(service: string, nowMs: number): number {
    this.currentSlot(service, nowMs);
    const spanMs = Math.min(this.bound.windowMs, Math.max(MIN_RATE_MS, nowMs - this.startedAtMs));
    return (this.countRequests(service) / spanMs) * MS_PER_S;
  }

  /**
   * Takes one retry from the budget; false if it is exhausted, or if what is left is kept for other retries.
   *
   * @example budget.take({ service: 'rooms', purpose: 'notRun', isFull: false }, performance.now())
   */
  take({ service, purpose, isFull }: BudgetedRetry, nowMs: number): boolean {
    const { retries } = this.currentSlot(service, nowMs);
    const limit = this.readLimit(service, nowMs);
    const count = (purposes: readonly RetryPurpose[]): number => this.countRetries(service, purposes);
    if (count(['notRun', 'repeat', 'resume']) + 1 > limit) return false;
    if (isFull && purpose !== 'notRun') {
      if (count(['repeat', 'resume']) + 1 > FULL_MAY_HAVE_RUN_SHARE * limit) return false;
      if (purpose === 'repeat' && count(['repeat']) + 1 > FULL_REPEAT_SHARE * limit) return false;
    }
    retries[purpose] += 1;
    return true;
  }

  /** Retries that this box may make in a window. */
  private readLimit(service: string, nowMs: number): number {
    const isSettled = nowMs - this.startedAtMs >= SETTLE_MS;
    const extra = isSettled ? this.bound.extra / Math.max(1, this.countBoxes()) : 0;
    return USED_SHARE * (this.bound.ratio * this.countRequests(service) + extra);
  }

  private countRequests(service: string): number {
    return (this.slotsByService.get(service) ?? []).reduce((sum, { requests }) => sum + requests, 0);
  }

  private countRetries(service: string, purposes: readonly RetryPurpose[]): number {
    const slots = this.slotsByService.get(service) ?? [];
    return slots.reduce(
      (sum, { retries }) => purposes.reduce((subtotal, purpose) => subtotal + retries[purpose], sum),
      0,
    );
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
    const slot: Slot = { index, requests: 0, retries: { notRun: 0, repeat: 0, resume: 0 } };
    slots.push(slot);
    return slot;
  }
}
