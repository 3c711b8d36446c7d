/** Position of a box among the live boxes of its hall, in an order that is the same on all of them. */
import type { PeerMesh } from '../peers/peerMesh.js';

/**
 * Counts the live boxes of the hall that rank before this one; 0 for the first.
 *
 * @example findHallPosition(mesh, 'mixco', rank) < RELAYS_PER_HALL // whether this box relays reports between halls
 */
export function findHallPosition(
  mesh: Pick<PeerMesh, 'address' | 'listReachable'>,
  hall: string,
  rank: (address: string) => number,
): number {
  const own = rank(mesh.address);
  const live = mesh.listReachable().filter((peer) => peer.hall === hall && !peer.isStopping);
  return live.filter((peer) => rank(peer.address) < own).length;
}
