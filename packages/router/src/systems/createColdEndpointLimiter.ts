/** Connects the limiter of cold endpoints to the fleet: how much a box may send there depends on who its hall peers are. */
import type { PeerMesh } from '../peers/peerMesh.js';
import type { ColdBound } from './coldEndpointLimiter.js';
import { ColdEndpointLimiter } from './coldEndpointLimiter.js';

/** The box, its fleet and the bound of its settings. */
export interface ColdLimiterParts {
  readonly hall: string;
  readonly coldBound: ColdBound;
  readonly mesh: Pick<PeerMesh, 'address' | 'hasJoinedFleet' | 'listHallPeers'>;
  readonly hash: (text: string, seed?: number) => number;
  /** Monotonic milliseconds. */
  readonly startedAtMs: number;
}

/** Creates the limiter of one box. */
export function createColdEndpointLimiter(parts: ColdLimiterParts): ColdEndpointLimiter {
  const { hall, coldBound, mesh, hash, startedAtMs } = parts;
  return new ColdEndpointLimiter({
    hall,
    hasher: { h32: (text, seed) => hash(text, seed) },
    bound: coldBound,
    startedAtMs,
    hasJoinedFleet: () => mesh.hasJoinedFleet,
    readAddress: () => mesh.address,
    listHallPeers: () => mesh.listHallPeers(),
  });
}
