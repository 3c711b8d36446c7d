/** The calls table: what this box, as a steward, has waiting at or running on endpoints. */
import type { AttemptRef, AssignFrame } from '../frames.js';
import type { EndpointId } from '../records.js';

/** One attempt in a steward's hands. */
export interface CallRow {
  /** The assignment as it came; its candidates are those still to be asked. */
  readonly assign: AssignFrame;
  readonly endpointId: EndpointId;
  phase: 'waiting' | 'running';
  readonly arrivedMs: number;
  startedMs: number;
  /** On this box's own clock. */
  readonly deadlineMs: number;
}

/**
 * Key of an attempt in the calls table.
 *
 * @example callKey({ requestId: 'b1.x.7', attempt: 2 }) // 'b1.x.7#2'
 */
export function attemptKey(ref: AttemptRef): string {
  return `${ref.requestId}#${ref.attempt}`;
}
