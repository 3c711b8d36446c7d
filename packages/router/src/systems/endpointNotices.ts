/** Records announcements that endpoints make in their response headers. */
import type { ResponseMetadata } from '../records.js';
import { findDeparture } from '../tables/departure.js';
import type { EndpointRow } from '../tables/endpointTable.js';

/** An announcement that changed the recorded state of an endpoint. */
export type EndpointNoticeChange =
  /** The endpoint is about to leave. */
  | 'leaving'
  /** The endpoint asks this router to send no requests for a limited time. */
  | 'backOff'
  /** The endpoint ends for a while if it has to reject more requests than it states. */
  | 'brittle'
  /** It states no such limit any more. */
  | 'sturdy';

/**
 * Records the announcements in the headers of a response. Returns those that changed the recorded state.
 *
 * @example recordAnnouncements(row, { ...metadata, isLeaving: true }, performance.now()) // ['leaving']
 */
export function recordAnnouncements(
  { notice }: EndpointRow,
  { isLeaving, backOffMs = 0, rejectionsPerS }: ResponseMetadata,
  nowMs: number,
): EndpointNoticeChange[] {
  const changes: EndpointNoticeChange[] = [];
  if (isLeaving && !notice.isLeaving) {
    notice.isLeaving = true;
    notice.leavingSinceMs = nowMs;
    changes.push('leaving');
  }
  // A new back-off can extend the current one but not shorten it.
  if (backOffMs > 0 && nowMs + backOffMs > notice.backOffUntilMs) {
    notice.backOffUntilMs = nowMs + backOffMs;
    changes.push('backOff');
  }
  if ((rejectionsPerS === undefined) !== (notice.rejectionsPerS === undefined))
    changes.push(rejectionsPerS === undefined ? 'sturdy' : 'brittle');
  notice.rejectionsPerS = rejectionsPerS;
  return changes;
}

/**
 * Whether an endpoint ends for a while if it has to reject many requests: it gets no more than it has slots for.
 *
 * @example isBrittle(row) // true after a response that states how many rejections it survives
 */
export function isBrittle({ notice }: EndpointRow): boolean {
  return notice.rejectionsPerS !== undefined;
}

/**
 * Whether an endpoint has left or is about to, as far as this box knows. It gets no new requests.
 *
 * @example isLeaving(row) // true although row.listing.state is still 'live'
 */
export function isLeaving(row: EndpointRow): boolean {
  return findDeparture(row) !== undefined;
}

/**
 * Remaining back-off that an endpoint requested from this router; 0 if there is none.
 *
 * @example readBackOffMs(row, performance.now()) // 3_000 right after a 503 with `Retry-After: 3`
 */
export function readBackOffMs({ notice }: EndpointRow, nowMs: number): number {
  return Math.max(0, notice.backOffUntilMs - nowMs);
}

/**
 * Whether an endpoint accepts new requests from this router: it is neither leaving nor within a back-off.
 *
 * @example acceptsRequests(row, performance.now()) // false during a back-off
 */
export function acceptsRequests(row: EndpointRow, nowMs: number): boolean {
  return !isLeaving(row) && readBackOffMs(row, nowMs) === 0;
}
