/** The calls table: attempts that are queued for or running on endpoints that this box owns. */
import type { AttemptRef, AssignFrame } from '../frames.js';
import type { EndpointId } from '../records.js';

/** One attempt that the endpoint's owner has accepted. */
export interface CallRow {
  /** The assignment as received; its first candidate is this endpoint, the others have not been tried. */
  readonly assign: AssignFrame;
  readonly endpointId: EndpointId;
  phase: 'waiting' | 'running';
  readonly arrivedMs: number;
  startedMs: number;
  /** By this box's clock. */
  readonly deadlineMs: number;
}

/**
 * Returns the key of an attempt in the calls table.
 *
 * @example attemptKey({ requestId: 'b1.x.7', attempt: 2 }) // 'b1.x.7#2'
 */
export function attemptKey(ref: AttemptRef): string {
  return `${ref.requestId}#${ref.attempt}`;
}
