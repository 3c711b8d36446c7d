/**
 * Spares endpoints that have just started: until they have warmed up they bear few requests a second from all boxes together,
 * and fall over above that.
 *
 * No box counts what all send, and what they tell each other is older than an endpoint takes to fall. So the right to send is
 * shared out ahead: a few boxes of the endpoint's own hall, by rank, may each send so many requests in a window. The rank goes
 * by the boxes that were heard of lately, whether they are up or not: a box that is cut off must not take over the shares of
 * those that it no longer hears. Half of the platform's allowance is kept for views that differ all the same, as boxes join.
 */
import type { Hasher } from '@hazelwalk/core';
import type { ColdStart } from '../records.js';
import type { EndpointRow } from '../tables/endpointTable.js';

/** What the platform allows of requests to a cold endpoint within a second: a multiple of what it bears, and some on top. */
export interface ColdBound {
  readonly factor: number;
  readonly allowance: number;
}

/** Boxes that share what a cold endpoint bears: most boxes of a hall should have a part in some of its cold endpoints. */
const SHARERS = 4;
/** Part of the allowance that is given out; twice as many boxes that take themselves for sharers do not exceed it. */
const SHARED_PART = 0.5;
/** Longer than the platform's second: requests of one box arrive closer together than they were sent. */
const WINDOW_MS = 1_250;
/** A box that has just started does not know its hall yet, and takes itself for the first of few. */
const SETTLE_MS = 4_000;

/** What sparing works with. */
export interface ColdEndpointLimiterOptions {
  /** Hall of this box. */
  readonly hall: string;
  readonly hasher: Hasher;
  readonly bound: ColdBound;
  /** When this box began to hear of others. */
  readonly startedAtMs: number;
  /** Whether this box has heard of another one since it started, or is the only one there is. */
  readonly hasJoinedFleet: () => boolean;
  /** Address of this box. */
  readonly readAddress: () => string;
  /** Addresses of the boxes of this hall that were heard of lately, up or not, this one left out. */
  readonly listHallPeers: () => readonly string[];
}

/** One box's part in what cold endpoints get. */
export class ColdEndpointLimiter {
  /** When this box sent its last requests to each cold endpoint, by id. */
  private readonly sentAtMs = new Map<string, number[]>();

  constructor(private readonly options: ColdEndpointLimiterOptions) {}

  /**
   * Whether this box may send one request more to an endpoint.
   *
   * @param coldStart what endpoints of its service bear; undefined where they bear all at once
   * @example cold.admits(row, { perS: 13, startMs: 3_000 }, performance.now()) // true for a warm one
   */
  admits(row: EndpointRow, coldStart: ColdStart | undefined, nowMs: number): boolean {
    if (coldStart === undefined || nowMs >= row.coldUntilMs) return true;
    if (row.listing.hall !== this.options.hall || !this.isSettled(nowMs)) return false;
    const peers = this.options.listHallPeers();
    const sent = this.listSent(row.listing.id, nowMs).length;
    return sent < this.readShare(coldStart, peers) && this.isSharer(row, peers);
  }

  /** Notes that this box sends a request to an endpoint. */
  recordSent(row: EndpointRow, nowMs: number): void {
    if (nowMs >= row.coldUntilMs) {
      this.sentAtMs.delete(row.listing.id);
      return;
    }
    this.sentAtMs.set(row.listing.id, [...this.listSent(row.listing.id, nowMs), nowMs]);
  }

  private isSettled(nowMs: number): boolean {
    const { startedAtMs, hasJoinedFleet: hasMetOthers } = this.options;
    return nowMs - startedAtMs >= SETTLE_MS && hasMetOthers();
  }

  /** Requests that one sharer may send in a window. */
  private readShare({ perS }: ColdStart, peers: readonly string[]): number {
    const { bound } = this.options;
    const sharers = Math.min(SHARERS, peers.length + 1);
    return Math.floor(((perS * bound.factor + bound.allowance) * SHARED_PART) / sharers);
  }

  /** Whether this box is among the first of its hall in the order that all its boxes share for an endpoint. */
  private isSharer(row: EndpointRow, peers: readonly string[]): boolean {
    const { hasher, readAddress } = this.options;
    const rank = (address: string): number => hasher.h32(address, row.tag);
    const own = rank(readAddress());
    return peers.filter((address) => rank(address) > own).length < SHARERS;
  }

  private listSent(id: string, nowMs: number): number[] {
    return (this.sentAtMs.get(id) ?? []).filter((atMs) => nowMs - atMs < WINDOW_MS);
  }
}
