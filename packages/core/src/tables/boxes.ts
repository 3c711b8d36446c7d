/** The boxes table: every box of the fleet that was listed or has connected. */
import type { BoxId, BoxRecord } from '../records.js';

/** One box: its listed record and what its frames report. */
export interface BoxRow {
  readonly id: BoxId;
  record: BoxRecord;
  /** Whether the current box list contains it. */
  listed: boolean;
  /** Time of its last liveness signal; -Infinity after its link broke. */
  lastSeenAtMs: number;
  incarnation: string;
  /** Whether its last heartbeat reported a shutdown in progress. */
  stopping: boolean;
  /** Liveness as last computed by the membership system. */
  isLive: boolean;
  /** Whether its last heartbeat reported that it can reach the platform. */
  platformOk: boolean;
}

/**
 * Creates the row of a newly listed box. It counts as live for one lease without having sent anything.
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
