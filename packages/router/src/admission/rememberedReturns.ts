/**
 * Rejected requests that may return. One that returns when it was told to keeps the place of its first arrival; one
 * that returns early gains nothing. Equal requests in parallel are told apart by when they arrived.
 */
import { LRUCache } from 'lru-cache';

/** Fingerprints that are remembered, the newest ones. */
const MAX_REMEMBERED = 4_096;
/** Rejections that are remembered of equal requests, the newest ones. */
const MAX_EQUAL = 16;
/** A return counts as in time if it is early by no more than this, as timers and clocks differ a little. */
const EARLY_TOLERANCE_MS = 5;
/** A return later than this is a request of its own. */
const MAX_LATE_MS = 2_000;
/** A rejection takes as long to its caller and back: a request that arrives sooner is another one. */
const MIN_WAY_MS = 3;

/** What is remembered about a rejected request. */
export interface RememberedRequest {
  /** When its first request was due; infinite if it keeps no place for its return. */
  readonly firstDueAtMs: number;
  readonly rejectedAtMs: number;
  readonly returnAtMs: number;
}

/** Whether an arriving request was rejected before. */
export type Arrival =
  | { readonly type: 'new' }
  | { readonly type: 'returned'; readonly firstDueAtMs: number }
  | { readonly type: 'early'; readonly remembered: RememberedRequest };

/** Times of an arriving request. */
export interface ArrivalTimes {
  readonly nowMs: number;
  /** Time since it arrived at its first box. */
  readonly waitedMs: number;
}

/** Rejected requests of one service that may return, by fingerprint. */
export class RememberedReturns {
  private readonly byContent = new LRUCache<string, readonly RememberedRequest[]>({ max: MAX_REMEMBERED });

  /**
   * Classifies an arriving request. The rejection that it returns after is forgotten: its place is given once.
   *
   * @example returns.readArrival(request.content, { nowMs, waitedMs: 0 }) // { type: 'new' }
   */
  readArrival(content: string, { nowMs, waitedMs }: ArrivalTimes): Arrival {
    const known = (this.byContent.get(content) ?? []).filter(
      (each) => nowMs <= each.returnAtMs + MAX_LATE_MS,
    );
    const arrivedAtMs = nowMs - waitedMs;
    const candidates = known.filter(({ rejectedAtMs }) => arrivedAtMs >= rejectedAtMs + MIN_WAY_MS);
    const isDue = ({ returnAtMs }: RememberedRequest): boolean => nowMs >= returnAtMs - EARLY_TOLERANCE_MS;
    const due = candidates.find(isDue);
    const remembered = due ?? candidates[0];
    this.replace(
      content,
      known.filter((each) => each !== remembered),
    );
    if (remembered === undefined) return { type: 'new' };
    if (due !== undefined) return { type: 'returned', firstDueAtMs: due.firstDueAtMs };
    return { type: 'early', remembered };
  }

  /** Remembers a request that is rejected; an empty fingerprint identifies none. */
  remember(content: string, request: RememberedRequest): void {
    if (content === '') return;
    this.replace(content, [...(this.byContent.get(content) ?? []), request].slice(-MAX_EQUAL));
  }

  private replace(content: string, requests: readonly RememberedRequest[]): void {
    if (requests.length > 0) this.byContent.set(content, requests);
    else this.byContent.delete(content);
  }
}
