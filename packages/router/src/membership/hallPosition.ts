/** Where a box stands among the live boxes of its hall, in the order on which all of them agree. */
import type { PeerMesh } from '../peers/peerMesh.js';

/**
 * How many live boxes of the hall rank before this one.
 *
 * @example if (findHallPlace(mesh, 'mixco', rank) === 0) speak();
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
