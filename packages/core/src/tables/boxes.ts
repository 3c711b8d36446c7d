/** The boxes table: every machine of the fleet that this box has been told of. */
import type { BoxId, BoxRecord } from '../records.js';

/** One machine, as listed and as heard. */
export interface BoxRow {
  readonly id: BoxId;
  record: BoxRecord;
  /** False once the list no longer names it. */
  listed: boolean;
  /** Time of the last sign of life; -Infinity once its link broke. */
  lastSeenAtMs: number;
  incarnation: string;
  /** It said that it is stopping. */
  stopping: boolean;
  /** As last computed by the membership system. */
  isLive: boolean;
  /** It said that it reached the platform lately. */
  platformOk: boolean;
}

/**
 * Creates the row of a newly listed box. It has the benefit of the doubt for one lease.
 *
 * @example createBoxRow({ id: 'b1', hall: 'mixco', peerAddress: '127.0.0.1:7001', state: 'live' }, 0)
 */
export function createBoxRow(record: BoxRecord, nowMs: number): BoxRow {
  return {
    id: record.id,
    record,
    listed: true,
    lastSeenAtMs: nowMs,
    incarnation: '',
    stopping: false,
    isLive: false,
    platformOk: true,
  };
}
