/** Requests for slots that have ended lately. Repeats of them may still arrive, and must not get a second answer. */
import { LRUCache } from 'lru-cache';
import type { SlotRequestId } from './slotMessages.js';
import { readSlotRequestKey } from './slotMessages.js';

/** Requests that are remembered; repeats arrive within a second. */
const MAX_ENDED = 4_096;

/** How a request ended. */
export type EndedSlotRequest =
  | { readonly type: 'rejected'; readonly returnAtMs: number }
  /** Released by its box after its slot was used. */
  | { readonly type: 'released' };

/** Requests for slots that have ended lately. */
export class EndedSlotRequests {
  private readonly byKey = new LRUCache<string, EndedSlotRequest>({ max: MAX_ENDED });

  /** Records how a request ended; the first end stands. */
  add(id: SlotRequestId, ended: EndedSlotRequest): void {
    const key = readSlotRequestKey(id);
    if (!this.byKey.has(key)) this.byKey.set(key, ended);
  }

  /** Returns how a request ended, if it has ended lately. */
  find(id: SlotRequestId): EndedSlotRequest | undefined {
    return this.byKey.get(readSlotRequestKey(id));
  }
}
