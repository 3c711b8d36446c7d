/**
 * Requests of one service that load shedding holds back in this box until it admits or rejects them, by level, in the
 * order of their arrival. Requests that wait for a slot of the scheduler are in `waitingRequest.ts`.
 */
import type { SheddableRequest } from './loadShedding.js';

/** Requests of a service that may wait at one box. */
const MAX_WAITING = 200;
/** A request that is not decided about again by then has been given up by its caller. */
const GIVEN_UP_MS = 200;

/** A request that is held back. */
export interface DelayedRequest {
  readonly request: SheddableRequest;
  readonly level: number;
  /** When its wait ends. */
  readonly endsAtMs: number;
  /** When it is to be decided about again. */
  dueAtMs: number;
}

/** The requests of a service that are held back. */
export class DelayedRequests {
  private readonly byRequest = new Map<SheddableRequest, DelayedRequest>();

  /** Whether one more may wait. */
  get hasRoom(): boolean {
    return this.byRequest.size < MAX_WAITING;
  }

  /** Returns the entry of a request, if it is held back. */
  find(request: SheddableRequest): DelayedRequest | undefined {
    return this.byRequest.get(request);
  }

  /** Number of requests of the level that wait, without those that came after the given one. */
  countAhead(level: number, before?: DelayedRequest): number {
    let count = 0;
    for (const waiting of this.byRequest.values()) {
      if (waiting === before) return count;
      if (waiting.level === level) count += 1;
    }
    return count;
  }

  /** Adds a request, or replaces its entry, which keeps its place. */
  add(waiting: DelayedRequest): void {
    this.byRequest.set(waiting.request, waiting);
  }

  /** Removes a request that was decided about or withdrawn. */
  remove(request: SheddableRequest): void {
    this.byRequest.delete(request);
  }

  /** Drops requests whose callers have left. */
  dropGivenUp(nowMs: number): void {
    for (const [request, { dueAtMs }] of this.byRequest) {
      if (nowMs > dueAtMs + GIVEN_UP_MS) this.byRequest.delete(request);
    }
  }
}
