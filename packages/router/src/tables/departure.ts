/**
 * Why a box may send an endpoint nothing new, and since when. Whatever sends asks this at the moment of sending, since a
 * request may wait for a slot or a connection after its endpoint was chosen.
 *
 * | Proof           | Learned from                                           | Lifted only by                          |
 * | --------------- | ------------------------------------------------------ | --------------------------------------- |
 * | `announced`     | a response of the endpoint                             | a later start of the endpoint's process |
 * | `listedLeaving` | its entry, of whatever source                          | a later entry that is live              |
 * | `removed`       | a list without it, while none can have lapsed          | an entry of a later list                |
 * | `lapsed`        | a list without it, after live ones are in lists again  | an entry of a later list                |
 */
import type { ListedEndpoint } from '../records.js';
import type { EndpointNotice } from './endpointNotice.js';

/** What shows that an endpoint has left or is about to. */
export type DepartureProof = 'announced' | 'listedLeaving' | RemovalReason;

/** Why an endpoint without an entry is no longer used. */
export type RemovalReason =
  /** Its entry disappeared while no entry of a live endpoint can have expired. */
  | 'removed'
  /** Its entry disappeared in a gap, and did not come back when those of live endpoints did. */
  | 'lapsed';

/** Proof that an endpoint gets nothing new. */
export interface Departure {
  readonly proof: DepartureProof;
  /** When this box learned it, in milliseconds of the router's clock. */
  readonly sinceMs: number;
}

/** The end of an endpoint's row in the table. */
export interface Removal extends Departure {
  readonly proof: RemovalReason;
}

/** What decides whether an endpoint gets nothing new; each row of the table of endpoints has it. */
export interface DepartureEvidence {
  readonly listing: Pick<ListedEndpoint, 'state'>;
  readonly notice: Pick<EndpointNotice, 'isLeaving' | 'leavingSinceMs'>;
  /** Set once the row has left the table. */
  readonly removal: Removal | undefined;
  /** Since when its listing states that it is leaving. */
  readonly leavingSinceMs: number;
}

/**
 * Returns why an endpoint gets nothing new; undefined if it may be sent to. Holds for rows that are no longer in the table.
 *
 * @example findDeparture(row)?.proof // 'announced' after such a response, although row.listing.state is 'live'
 */
export function findDeparture({
  listing,
  notice,
  removal,
  leavingSinceMs,
}: DepartureEvidence): Departure | undefined {
  if (removal !== undefined) return removal;
  if (notice.isLeaving) return { proof: 'announced', sinceMs: notice.leavingSinceMs ?? 0 };
  return listing.state === 'leaving' ? { proof: 'listedLeaving', sinceMs: leavingSinceMs } : undefined;
}
