/** A request that waits for a slot. Times are those of the scheduling box. */
import type { SlotRequest } from './slotMessages.js';

/** A request that waits for a slot. */
export interface WaitingRequest {
  readonly request: SlotRequest;
  /** Time by which the response should arrive. */
  readonly targetAtMs: number;
  /** Time after which it is no longer worth starting. */
  readonly latestStartAtMs: number;
  /** Time after which it has ended in any case. */
  readonly expiresAtMs: number;
  /** How much earlier its first request was due, if its caller was rejected and returned in time; 0 otherwise. */
  readonly headStartMs: number;
}

/** Whether a request that waits can still meet its target. */
export type Promptness = 'punctual' | 'overdue';
