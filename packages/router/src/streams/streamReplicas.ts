/**
 * Which boxes keep what another one knows of its streams, so that it outlives that box and its hall.
 *
 * In a small fleet three other boxes: the next one of its hall in the order of ranks, and one each of two other halls. In a larger fleet a box
 * only links to its hall: it reports to the next box of its hall and to a relay, one of those with links to other halls, which
 * passes the report on to a box of the next hall.
 */
import { AGGREGATOR_CANDIDATES_PER_HALL } from '../membership/fleetDirectory.js';
import type { Heartbeat } from '../peers/peerFrames.js';

/** Other boxes that keep what a box knows, in a small fleet. */
const REPLICAS = 3;

/** A box that may keep origins. */
export type ReplicaCandidate = Pick<Heartbeat, 'address' | 'hall'>;

/** The box whose replicas are picked. */
export interface ReplicaOwner {
  readonly address: string;
  readonly hall: string;
  /** Rank of an address, the same at all boxes. */
  readonly rank: (address: string) => number;
}

/**
 * Lists the boxes to which a box of a small fleet reports.
 *
 * @example pickReplicas(owner, peers) // the next box of its hall, and two of other halls
 */
export function pickReplicas(owner: ReplicaOwner, peers: readonly ReplicaCandidate[]): string[] {
  const ring = sortByRing(owner, peers);
  const first = ring.find(({ hall }) => hall === owner.hall);
  const away = ring.find(({ hall }) => hall !== owner.hall);
  const third = ring.find(({ hall }) => hall !== owner.hall && hall !== away?.hall);
  const picked = [first, away, third].filter((peer) => peer !== undefined);
  const rest = ring.filter((peer) => !picked.includes(peer));
  return [...picked, ...rest].slice(0, REPLICAS).map(({ address }) => address);
}

/**
 * Lists the boxes of the own hall to which a box of a large fleet reports: a relay, and the next box in the order of ranks. A box
 * that is a relay itself reports to the next box only.
 *
 * @param peers live boxes of the own hall
 */
export function pickHallReplicas(owner: ReplicaOwner, peers: readonly ReplicaCandidate[]): string[] {
  const own = owner.rank(owner.address);
  const ranked = [...peers].sort((a, b) => owner.rank(a.address) - owner.rank(b.address));
  const isRelay =
    ranked.filter(({ address }) => owner.rank(address) < own).length < AGGREGATOR_CANDIDATES_PER_HALL;
  const relays = isRelay ? [] : ranked.slice(0, AGGREGATOR_CANDIDATES_PER_HALL);
  const relay = relays[own % AGGREGATOR_CANDIDATES_PER_HALL] ?? relays[0];
  const next = sortByRing(owner, peers).find((peer) => peer !== relay);
  return [relay, next].filter((peer) => peer !== undefined).map(({ address }) => address);
}

/**
 * Picks the box of another hall to which a relay passes the reports of its hall.
 *
 * @param peers linked boxes of other halls
 */
export function pickRemoteReplica(
  owner: ReplicaOwner,
  peers: readonly ReplicaCandidate[],
): string | undefined {
  const halls = [...new Set(peers.map(({ hall }) => hall))].sort();
  const nextHall = halls.find((hall) => hall > owner.hall) ?? halls[0];
  return sortByRing(
    owner,
    peers.filter(({ hall }) => hall === nextHall),
  )[0]?.address;
}

/** Boxes in the order of ranks, beginning after the owner. */
function sortByRing({ address, rank }: ReplicaOwner, peers: readonly ReplicaCandidate[]): ReplicaCandidate[] {
  const own = rank(address);
  const isAfter = (peer: ReplicaCandidate): boolean => rank(peer.address) > own;
  const sorted = [...peers].sort((a, b) => rank(a.address) - rank(b.address));
  return [...sorted.filter(isAfter), ...sorted.filter((peer) => !isAfter(peer))];
}
