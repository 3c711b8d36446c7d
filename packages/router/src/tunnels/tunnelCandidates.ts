/** Chooses the boxes that are asked for a tunnel to an endpoint. Does no I/O; the clock is passed in. */

import { shuffle } from '../systems/shuffle.js';
import type { TunnelRefusal } from './tunnelFrames.js';

/** A box that may serve tunnels. */
export interface TunnelPeer {
  readonly address: string;
  readonly hall: string;
  readonly availability: TunnelAvailability;
}

/** What is known of a box as a server of tunnels. */
export type TunnelAvailability =
  /** It states that it serves tunnels, or a box that knows it does. */
  | 'serving'
  /** The same, but it is about to stop, and serves for two seconds more. */
  | 'stopping'
  /** Nothing: it is a contact in another hall. */
  | 'unknown';

/** Why no tunnel was opened through a box. */
export type TunnelFailure =
  | TunnelRefusal
  /** The box was not reached, or did not answer in time. */
  | 'unanswered'
  /** It closed the connection without an answer, as boxes of versions without tunnels do. */
  | 'unsupported';

/** Why a box did not serve a tunnel, where further requests to it would fail as well. */
export type TunnelPeerProblem =
  /** It reaches no endpoint of that hall either. */
  | 'noPath'
  /** It serves none at the moment, or is not reached. */
  | 'unavailable'
  /** It does not know tunnels. */
  | 'unsupported';

/** Boxes that are asked for one connection. */
export const MAX_TUNNEL_CANDIDATES = 3;
/** How long a box is not asked again. */
const AVOID_MS: Readonly<Record<TunnelPeerProblem, number>> = {
  noPath: 1_000,
  unavailable: 1_000,
  unsupported: 30_000,
};

/** A box that served a tunnel within this time is preferred, and one answer that it misses is put down to its load. */
const PROVEN_MS = 5_000;
/** How long a box that another one named is known. */
const REFERRAL_MS = 5_000;
/** Boxes that are known because others named them. */
const MAX_REFERRED = 16;

interface Referral {
  readonly peer: TunnelPeer;
  readonly atMs: number;
}

/** Orders the boxes that may serve tunnels, and remembers which of them did not. */
export class TunnelCandidates {
  private readonly avoidedUntilMs = new Map<string, number>();
  private readonly referrals = new Map<string, Referral>();
  /** When a tunnel was last opened through each box. */
  private readonly openedAtMs = new Map<string, number>();

  /** @param random returns a number between 0 and 1 */
  constructor(
    private readonly hall: string,
    private readonly random: () => number,
  ) {}

  /**
   * The boxes to ask for a tunnel to an endpoint, in this order. Through a box of the own hall, or of the endpoint's, the bytes
   * pass between halls as often as directly. The second one is of another hall than the own, which may be cut off as a whole.
   *
   * @param endpointHall hall of the endpoint
   * @example candidates.choose(peers, 'antigua', nowMs) // one of the own hall, one of antigua, any other one
   */
  choose(peers: readonly TunnelPeer[], endpointHall: string, nowMs: number): TunnelPeer[] {
    const known = new Map([...this.listReferred(nowMs), ...peers].map((peer) => [peer.address, peer]));
    const usable = shuffle(
      [...known.values()].filter((peer) => !this.isAvoided(peer, endpointHall, nowMs)),
      this.random,
    );
    usable.sort((a, b) => this.readTrust(b, nowMs) - this.readTrust(a, nowMs));
    const near = usable.filter(({ hall }) => hall === this.hall);
    const far = usable.filter(({ hall }) => hall !== this.hall);
    const farByHall = [
      ...far.filter(({ hall }) => hall === endpointHall),
      ...far.filter(({ hall }) => hall !== endpointHall),
    ];
    const first = [...near.slice(0, 1), ...farByHall.slice(0, 1)];
    return [...first, ...near.slice(1), ...farByHall.slice(1)].slice(0, MAX_TUNNEL_CANDIDATES);
  }

  /** Records that a tunnel was opened through a box. */
  recordOpened({ address }: TunnelPeer, nowMs: number): void {
    this.openedAtMs.set(address, nowMs);
    this.avoidedUntilMs.delete(address);
  }

  /** Records that a box did not serve a tunnel to an endpoint of a hall. */
  recordProblem(peer: TunnelPeer, endpointHall: string, problem: TunnelPeerProblem, nowMs: number): void {
    const { address } = peer;
    this.forgetExpired(nowMs);
    if (problem === 'unavailable' && this.isProven(peer, nowMs)) return;
    const key = problem === 'noPath' ? `${address} ${endpointHall}` : address;
    this.avoidedUntilMs.set(key, nowMs + AVOID_MS[problem]);
  }

  /**
   * Adds boxes that another one named as it refused a tunnel: in a large fleet a box knows few boxes of other halls, which may
   * all be cut off like itself.
   */
  addReferred(peers: readonly Pick<TunnelPeer, 'address' | 'hall'>[], nowMs: number): void {
    for (const { address, hall } of peers)
      this.referrals.set(address, { peer: { address, hall, availability: 'serving' }, atMs: nowMs });
    const surplus = [...this.referrals.keys()].slice(0, Math.max(0, this.referrals.size - MAX_REFERRED));
    for (const address of surplus) this.referrals.delete(address);
  }

  /** Boxes that were named since a time and may be asked for a tunnel to an endpoint. */
  listReferredSince(sinceMs: number, endpointHall: string, nowMs: number): TunnelPeer[] {
    return this.listReferred(nowMs, sinceMs).filter((peer) => !this.isAvoided(peer, endpointHall, nowMs));
  }

  private listReferred(nowMs: number, sinceMs = nowMs - REFERRAL_MS): TunnelPeer[] {
    return [...this.referrals.values()].filter(({ atMs }) => atMs >= sinceMs).map(({ peer }) => peer);
  }

  /** The higher, the sooner the box is asked. */
  private readTrust(peer: TunnelPeer, nowMs: number): number {
    switch (peer.availability) {
      case 'serving':
        return this.isProven(peer, nowMs) ? 3 : 2;
      case 'stopping':
        return 1;
      case 'unknown':
        return this.isProven(peer, nowMs) ? 3 : 0;
    }
  }

  private isProven({ address }: TunnelPeer, nowMs: number): boolean {
    return nowMs - (this.openedAtMs.get(address) ?? -Infinity) < PROVEN_MS;
  }

  private isAvoided({ address }: TunnelPeer, endpointHall: string, nowMs: number): boolean {
    const keys = [address, `${address} ${endpointHall}`];
    return keys.some((key) => nowMs < (this.avoidedUntilMs.get(key) ?? -Infinity));
  }

  private forgetExpired(nowMs: number): void {
    for (const [key, untilMs] of this.avoidedUntilMs) if (untilMs <= nowMs) this.avoidedUntilMs.delete(key);
    for (const [address, atMs] of this.openedAtMs)
      if (nowMs - atMs >= PROVEN_MS) this.openedAtMs.delete(address);
  }
}

/**
 * Finds the problem of the box that a failure shows; undefined if the failure concerns the endpoint alone.
 *
 * @example findPeerProblem('connectRefused') // undefined
 */
export function findPeerProblem(failure: TunnelFailure): TunnelPeerProblem | undefined {
  switch (failure) {
    case 'connectRefused':
    case 'connectTimedOut':
    case 'connectBroken':
    case 'unknownEndpoint':
      return undefined;
    case 'noPath':
      return 'noPath';
    case 'stopping':
    case 'full':
    case 'turnedOff':
    case 'unanswered':
      return 'unavailable';
    case 'unsupported':
      return 'unsupported';
  }
}
