/** The peers that have sent a heartbeat to this box, with the last one of each. */
import type { Heartbeat } from './peerFrames.js';

/** Time without a heartbeat after which a peer and its last heartbeat are forgotten. */
const PEER_RETENTION_MS = 120_000;

/** A peer that has sent a heartbeat. */
export interface KnownPeer {
  readonly heartbeat: Heartbeat;
  readonly lastSeenAtMs: number;
}

/** The known peers of one box, by address. */
export class KnownPeers {
  private readonly peers = new Map<string, KnownPeer>();

  /** Number of known peers, whether up or down. */
  get size(): number {
    return this.peers.size;
  }

  /** Incarnation of a peer by its last heartbeat; undefined if there is none. */
  findIncarnation(address: string): number | undefined {
    return this.peers.get(address)?.heartbeat.incarnation;
  }

  /** Records a heartbeat; what a process states only in the first one on a link is kept. */
  record(heartbeat: Heartbeat, nowMs: number): void {
    const earlier = this.peers.get(heartbeat.address)?.heartbeat;
    const isSameRun = earlier !== undefined && earlier.incarnation <= heartbeat.incarnation;
    const provesLists = heartbeat.provesLists ?? (isSameRun ? earlier.provesLists : undefined);
    this.peers.set(heartbeat.address, { heartbeat: { ...heartbeat, provesLists }, lastSeenAtMs: nowMs });
  }

  /** Peers whose last heartbeat came at this time or later. */
  listSeenSince(oldestMs: number): KnownPeer[] {
    return [...this.peers.values()].filter((peer) => peer.lastSeenAtMs >= oldestMs);
  }

  /** Addresses of the peers of a hall. */
  listHall(hall: string): string[] {
    return this.listAddresses((heartbeat) => heartbeat.hall === hall);
  }

  /** Addresses of the peers of all halls but one. */
  listOtherHalls(hall: string): string[] {
    return this.listAddresses((heartbeat) => heartbeat.hall !== hall);
  }

  /**
   * Removes peers that have been silent for long, such as replaced boxes; returns their addresses. One that returns
   * after that long counts as new.
   *
   * @example peers.forgetSilent(performance.now()) // ['10.0.0.9:8229']
   */
  forgetSilent(nowMs: number): string[] {
    const silent = [...this.peers.values()].filter((peer) => nowMs - peer.lastSeenAtMs > PEER_RETENTION_MS);
    const addresses = silent.map(({ heartbeat }) => heartbeat.address);
    for (const address of addresses) this.peers.delete(address);
    return addresses;
  }

  private listAddresses(isWanted: (heartbeat: Heartbeat) => boolean): string[] {
    return [...this.peers.values()]
      .filter(({ heartbeat }) => isWanted(heartbeat))
      .map(({ heartbeat }) => heartbeat.address);
  }
}
