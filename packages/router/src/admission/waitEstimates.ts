/** Estimates how long requests wait for a slot of one service, and whether they end in time. Times are passed in. */
import { canUseEndpoint } from './endpointChoice.js';
import type { HoldTimes } from './holdTimes.js';
import { CompletionCounter, expectRatePerMs } from './serviceRate.js';
import type { SlotLedger } from './slotLedger.js';
import type { SlotRequest } from './slotMessages.js';
import type { SlotQueue } from './slotQueue.js';
import type { WaitingRequest } from './waitingRequest.js';

/** While hold times are only assumed, requests may end this many times faster: none is rejected that may be in time. */
const POSSIBLE_RATE_FACTOR = 5;
/**
 * Most of the time to its target that is kept for the response; what waited longer is overdue. While all slots are used,
 * whoever is served has waited for what is left: with less kept for the response, most would be served late.
 */
const MAX_RESPONSE_SHARE = 0.75;
/** Part of the target for the way of the request to its slot and of the response to the caller. */
const TRAVEL_SHARE = 0.1;

/**
 * Time from the arrival at the first box to the target; a repeated request has only a part of it left.
 *
 * @example readWholeTargetMs({ ...request, targetMs: 150, waitedMs: 50 }) // 200
 */
export function readWholeTargetMs({ targetMs, waitedMs }: SlotRequest): number {
  return targetMs + waitedMs;
}

/** What the estimates depend on. */
export interface WaitEstimatesOptions {
  readonly ledger: SlotLedger;
  readonly queue: SlotQueue;
  readonly holds: HoldTimes;
}

/** Estimates for the requests of one service. */
export class WaitEstimates {
  private readonly completions = new CompletionCounter();
  /** Rate at which the service ends requests while all slots are used. */
  private servicePerMs = 0;

  constructor(private readonly options: WaitEstimatesOptions) {}

  /** Requests that end in a millisecond while all slots are used. */
  get ratePerMs(): number {
    return this.servicePerMs;
  }

  /** Takes the present use of the slots into account. */
  update(nowMs: number): void {
    const { ledger, holds } = this.options;
    const expectedPerMs = expectRatePerMs(ledger.listUse(nowMs), holds, nowMs);
    this.completions.advance(nowMs, expectedPerMs);
    this.servicePerMs = this.completions.readPerMs(expectedPerMs);
  }

  /** Records that a request has ended. */
  recordCompletion(): void {
    this.completions.recordCompletion();
  }

  /** Records whether all slots are used from now on. */
  setFull(isFull: boolean): void {
    this.completions.setFull(isFull);
  }

  /** Expected wait of a request. */
  estimateWaitMs(waiting: WaitingRequest, nowMs: number): number {
    return this.options.queue.estimateWaitMs(waiting, this.readRatePerMs(waiting.request, nowMs), nowMs);
  }

  /** Wait for which a request is rejected: the expected one, or the least possible one if too little is known. */
  estimateLeastWaitMs(waiting: WaitingRequest, nowMs: number): number {
    const { queue, holds } = this.options;
    const factor = holds.isKnown ? 1 : POSSIBLE_RATE_FACTOR;
    return queue.estimateWaitMs(waiting, this.readRatePerMs(waiting.request, nowMs) * factor, nowMs);
  }

  /** Whether a request that starts after a time is likely to end in time. */
  meetsTarget({ request, targetAtMs }: WaitingRequest, waitMs: number, nowMs: number): boolean {
    const wholeMs = readWholeTargetMs(request);
    const likelyMs = this.options.holds.readLongMs() + wholeMs * TRAVEL_SHARE;
    const responseMs = Math.min(likelyMs, wholeMs * MAX_RESPONSE_SHARE);
    return nowMs + waitMs + responseMs <= targetAtMs;
  }

  /** Rate at which the endpoints that a request can use end requests. */
  private readRatePerMs(request: SlotRequest, nowMs: number): number {
    const { ledger, holds } = this.options;
    if (request.excluded.length === 0 || this.servicePerMs === 0) return this.servicePerMs;
    const uses = ledger.listUse(nowMs);
    const usable = uses.filter((use) => canUseEndpoint(request, use));
    const expectedPerMs = expectRatePerMs(uses, holds, nowMs);
    return this.servicePerMs * (expectRatePerMs(usable, holds, nowMs) / expectedPerMs);
  }
}
