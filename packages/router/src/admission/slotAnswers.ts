/** Answers to requests for slots, collected while the schedule of a service changes. */
import type { Grant } from './slotLedger.js';
import type { SlotAnswer, SlotRequest } from './slotMessages.js';

type RequestId = Pick<SlotRequest, 'box' | 'number'>;

/** The answers of one change. */
export class SlotAnswers {
  private answers: SlotAnswer[] = [];

  constructor(private readonly service: string) {}

  /** Takes the answers that were collected since the last call. */
  take(): SlotAnswer[] {
    return this.answers.splice(0);
  }

  /** The request got a slot at this endpoint. */
  addGranted({ requestId, endpointTag }: Grant): void {
    this.answers.push({ ...requestId, type: 'granted', service: this.service, endpointTag });
  }

  /** The request waits, probably for so long. */
  addQueued({ box, number }: RequestId, expectedWaitMs: number): void {
    this.answers.push({ box, number, type: 'queued', expectedWaitMs });
  }

  /** The request was rejected; its caller should retry after this time. */
  addRejected({ box, number }: RequestId, retryAfterMs: number): void {
    this.answers.push({ box, number, type: 'rejected', retryAfterMs: Math.max(0, retryAfterMs) });
  }
}
