/**
 * Limits requests to cold endpoints. Until an endpoint has warmed up, it sustains only a few requests a second from
 * all boxes together, and fails above that.
 *
 * No box counts the requests of all boxes, and a cold endpoint fails before load reports arrive. So the permitted
 * rate is divided in advance: a few boxes of the endpoint's own hall, chosen by rank, may each send a fixed number of
 * requests per window. The ranking includes all boxes seen recently, whether they are up or not: a box that is cut
 * off must not take over the shares of boxes that it no longer sees. Half of the permitted rate is held back for boxes
 * whose views differ nonetheless, as they do while boxes join.
 */
import type { Hasher } from '@hazelwalk/core';
import type { ColdStart } from '../records.js';
import type { EndpointRow } from '../tables/endpointTable.js';

/**
 * Requests to a cold endpoint that the platform allows within a second: a multiple of the rate it sustains, plus a
 * constant.
 */
export interface ColdBound {
  readonly factor: number;
  readonly allowance: number;
}

/**
 * Boxes that share the permitted rate of a cold endpoint: enough for most boxes of a hall to have a share in some of
 * its cold endpoints.
 */
const MAX_SHARERS = 4;
/**
 * Share of the permitted rate that is given out: even twice as many boxes that consider themselves sharers do not
 * exceed that rate.
 */
const GRANTED_SHARE = 0.5;
/**
 * Longer than the second that the platform counts: requests of one box may arrive closer together than they were
 * sent.
 */
const WINDOW_MS = 1_250;
/**
 * Time after its start during which a box sends nothing to cold endpoints: it has not discovered the boxes of its
 * hall yet and would take too large a share.
 */
const SETTLE_MS = 4_000;

/** Settings and dependencies of the limiter. */
export interface ColdEndpointLimiterOptions {
  /** Hall of this box. */
  readonly hall: string;
  readonly hasher: Hasher;
  readonly bound: ColdBound;
  /** When this box started to receive messages from other boxes. */
  readonly startedAtMs: number;
  /** Whether this box has seen another one since it started, or is the only one. */
  readonly hasJoinedFleet: () => boolean;
  /** Address of this box. */
  readonly readAddress: () => string;
  /** Addresses of the boxes of this hall that were seen recently, up or not, without this one. */
  readonly listHallPeers: () => readonly string[];
}

/** Limits the requests of one box to cold endpoints. */
export class ColdEndpointLimiter {
  /** Times of this box's last requests to each cold endpoint, by id. */
  private readonly sentAtMs = new Map<string, number[]>();

  constructor(private readonly options: ColdEndpointLimiterOptions) {}

  /**
   * Whether this box may send one more request to an endpoint.
   *
   * @param coldStart what cold endpoints of its service sustain; undefined if they sustain full load from the start
   * @example limiter.admits(row, { perS: 13, startMs: 3_000 }, performance.now()) // true if the endpoint is warm
   */
  admits(row: EndpointRow, coldStart: ColdStart | undefined, nowMs: number): boolean {
    if (coldStart === undefined || nowMs >= row.coldUntilMs) return true;
    if (row.listing.hall !== this.options.hall || !this.isSettled(nowMs)) return false;
    const peers = this.options.listHallPeers();
    const sent = this.listSent(row.listing.id, nowMs).length;
    return sent < this.readShare(coldStart, peers) && this.isSharer(row, peers);
  }

  /** Records a request that this box sends to an endpoint. */
  recordSent(row: EndpointRow, nowMs: number): void {
    if (nowMs >= row.coldUntilMs) {
      this.sentAtMs.delete(row.listing.id);
      return;
    }
    this.sentAtMs.set(row.listing.id, [...this.listSent(row.listing.id, nowMs), nowMs]);
  }

  private isSettled(nowMs: number): boolean {
    const { startedAtMs, hasJoinedFleet } = this.options;
    return nowMs - startedAtMs >= SETTLE_MS && hasJoinedFleet();
  }

  /** Requests that each sharer may send in a window. */
  private readShare({ perS }: ColdStart, peers: readonly string[]): number {
    const { bound } = this.options;
    const sharers = Math.min(MAX_SHARERS, peers.length + 1);
    return Math.floor(((perS * bound.factor + bound.allowance) * GRANTED_SHARE) / sharers);
  }

  /** Whether this box is among the highest ranked of its hall for an endpoint. All boxes compute the same ranks. */
  private isSharer(row: EndpointRow, peers: readonly string[]): boolean {
    const { hasher, readAddress } = this.options;
    const rank = (address: string): number => hasher.h32(address, row.tag);
    const own = rank(readAddress());
    return peers.filter((address) => rank(address) > own).length < MAX_SHARERS;
  }

  private listSent(id: string, nowMs: number): number[] {
    return (this.sentAtMs.get(id) ?? []).filter((atMs) => nowMs - atMs < WINDOW_MS);
  }
}
