/** Admission of callers' requests: whether a request is sent, waits, or is rejected. */
import type { SlotUseOutcome } from './slotMessages.js';

/** A request of a caller that is about to be sent to an endpoint, for the first time or again. */
export interface AdmissionRequest {
  readonly service: string;
  /** Urgency among the requests of the service; 0 is the most urgent. */
  readonly rank: number;
  /** Name of the team; empty if callers need no key. */
  readonly team: string;
  /** The request may run at most once. */
  readonly isOnce: boolean;
  /** Its endpoint should hold its prompt, so that not any slot suits it. */
  readonly hasPrompt: boolean;
  readonly arrivedAtMs: number;
  /** When the response should have arrived. */
  readonly targetAtMs: number;
  /** When the request expires. */
  readonly expiresAtMs: number;
  /** Returns the fingerprint of the request; it is computed only if it is needed. */
  readonly readContent: () => string;
  /** Lists the tags of the endpoints that suit the request best, the best first. */
  readonly listPreferred: () => readonly number[];
  /** Lists the tags of endpoints that it cannot use. */
  readonly listExcluded: () => readonly number[];
}

/** Why a request may be sent. */
export type AdmissionBasis =
  /** Its service is not short of room, or no endpoint can be used, which placement explains. */
  | { readonly type: 'unlimited' }
  /** This box sheds load of its service, and admitted it. */
  | { readonly type: 'admitted' }
  | { readonly type: 'granted'; readonly grant: GrantTimes }
  /** No box answered its request for a slot. */
  | { readonly type: 'unanswered' };

/** When a slot was requested and granted, on the clock of this box. */
export interface GrantTimes {
  /** When the box last asked for it. */
  readonly askedAtMs: number;
  /** After this time the slot may count as free elsewhere; Infinity if its endpoint lets requests wait. */
  readonly usableUntilMs: number;
  readonly grantedAtMs: number;
}

/** Final decision about a request. */
export type AdmissionDecision =
  /** Send it: to the endpoint with this tag, or to any if there is none. */
  | {
      readonly type: 'proceed';
      readonly endpointTag: number | undefined;
      readonly basis: AdmissionBasis;
    }
  /** Reject it: it has not run, and could not run in time. */
  | {
      readonly type: 'reject';
      readonly retryAfterMs: number;
      /** How long it was last expected to wait, for the log; undefined if it was rejected at once. */
      readonly expectedWaitMs?: number | undefined;
    };

/** A request that waits for its decision, or was let through. */
export interface AdmissionHandle {
  /** Ends the wait, or reports how the request ended that was let through. Further calls have no effect. */
  release(outcome: SlotUseOutcome): void;
}

/** Decides about requests; the decision may come before the call returns. */
export interface AdmissionGate {
  enter(request: AdmissionRequest, onDecision: (decision: AdmissionDecision) => void): AdmissionHandle;
}
