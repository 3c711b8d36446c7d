/** How attempts end: the label by which each end is counted, and what it says about the slot that the attempt used. */
import type { SlotUseOutcome } from '../admission/slotMessages.js';
import type { UnsentReason } from './attemptEvent.js';
import type { RequestOutcome } from './requestEnding.js';

/** How an attempt ended, as the metrics count it. */
export type AttemptEnd =
  /** Nothing of the request was sent. */
  | UnsentReason
  /** The endpoint confirmed that the request did not run. */
  | 'notRun'
  /** An error response was discarded, as the request may be repeated. */
  | 'errored'
  /** The response was received to its end. */
  | 'whole'
  | 'broken'
  | 'silent'
  /** Another attempt responded first. */
  | 'lost the race'
  /** It responded although another attempt owned the response. */
  | 'surplus'
  /** The endpoint did not continue the stream. */
  | 'resume refused'
  | 'expired'
  | 'caller left'
  /** The request ended in another way while the attempt was in progress. */
  | RequestOutcome;

/** How an attempt ended at the endpoint to which a slot was granted. */
export interface SlotUse {
  readonly end: AttemptEnd;
  readonly wasSent: boolean;
  /** The endpoint refused the request for lack of room. */
  readonly lacksRoom: boolean;
}

/**
 * How a slot was used, by the end of the attempt.
 *
 * @example findSlotOutcome({ end: 'whole', wasSent: true, lacksRoom: false }) // 'served'
 */
export function findSlotOutcome({ end, wasSent, lacksRoom }: SlotUse): SlotUseOutcome {
  if (lacksRoom) return 'refused';
  if (!wasSent) return 'unused';
  if (end === 'caller left') return 'abandoned';
  return end === 'whole' || end === 'errored' ? 'served' : 'failed';
}
