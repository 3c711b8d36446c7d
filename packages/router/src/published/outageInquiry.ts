/**
 * Asks peers whether the platform was away while this box had no contact, as long as it keeps endpoints only because it does not
 * know. In a large fleet heartbeats are rare, and the boxes that read the platform for a hall may have been cut off as well.
 */
import type { PeerMesh } from '../peers/peerMesh.js';

/** Interval at which another peer is asked. */
const ASK_INTERVAL_MS = 450;

/** Dependencies of the inquiry. */
export interface OutageInquiryOptions {
  readonly mesh: Pick<PeerMesh, 'address' | 'isFullMesh' | 'listReachable'>;
  /** Whether endpoints are kept because an outage of the platform is possible. */
  readonly isInDoubt: () => boolean;
  /** Requests the list of a peer, which comes with its report about the platform. */
  readonly requestList: (address: string) => void;
  /** Hash by which boxes ask their peers in different orders. */
  readonly hash: (text: string) => number;
}

/** The inquiry of one box. */
export class OutageInquiry {
  private askedAtMs = -Infinity;
  /** Peers asked in the doubt that goes on. */
  private readonly asked = new Set<string>();

  constructor(private readonly options: OutageInquiryOptions) {}

  /**
   * Runs once a tick; asks one peer after the other until one of them knows.
   *
   * @example inquiry.tick(performance.now()) // nothing is sent unless endpoints are kept in doubt
   */
  tick(nowMs: number): void {
    const { mesh, isInDoubt, requestList, hash } = this.options;
    const order = (address: string): number => hash(`${mesh.address} ${address}`);
    if (!isInDoubt()) return this.asked.clear();
    // In a full mesh each box reports to every other one all the time.
    if (mesh.isFullMesh || nowMs - this.askedAtMs < ASK_INTERVAL_MS) return;
    const [next] = mesh
      .listReachable()
      .filter(({ address, platformReport }) => platformReport !== undefined && !this.asked.has(address))
      .sort((a, b) => order(a.address) - order(b.address));
    if (next === undefined) return;
    this.askedAtMs = nowMs;
    this.asked.add(next.address);
    requestList(next.address);
  }
}
