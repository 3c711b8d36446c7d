/** The parts of a box that keep its published values up to date: exchange with peers, relay in its hall, and proofs. */
import type { ListPosition } from './listPosition.js';
import type { FeedRelayOptions } from './feedRelay.js';
import { FeedRelay } from './feedRelay.js';
import { ListProofs } from './listProofs.js';
import { OutageInquiry } from './outageInquiry.js';
import { PeerValueSync } from '../peers/peerValueSync.js';

/** Settings and dependencies of the parts. */
export interface BoxFeedOptions extends Omit<FeedRelayOptions, 'valueSync'> {
  /** Calls that the platform serves per second. */
  readonly platformReadsPerS: number;
  /** Reads the changes after a position without waiting, and publishes them before it calls `onEnd`. */
  readonly readChanges?: ((position: ListPosition, onEnd: () => void) => void) | undefined;
}

/** The feed of one box. */
export class BoxFeed {
  readonly valueSync: PeerValueSync;
  readonly relay: FeedRelay;
  readonly proofs: ListProofs;
  private readonly inquiry: OutageInquiry;

  constructor(options: BoxFeedOptions) {
    const { mesh, state, now, hash, applyBoundMs, platformReadsPerS } = options;
    this.valueSync = new PeerValueSync(options);
    this.relay = new FeedRelay({ ...options, valueSync: this.valueSync });
    const { relay, valueSync } = this;
    this.proofs = new ListProofs({
      mesh,
      readPosition: () => state.listPosition,
      readProvenAtMs: () => state.provenAtMs,
      awaitsProof: () => state.lapsedState === 'awaitingProof',
      readRole: () => relay.decideRole().type,
      isFeedLost: () => relay.feedState === 'lost',
      listWatchers: () => relay.listWatchers(),
      readChanges: options.readChanges ?? (() => {}),
      requestList: (address) => valueSync.requestEndpoints(address),
      onPeerProof: (address, provenAtMs) =>
        state.recordPeerConfirmation(address, { doubtMs: 0, saidAgoMs: now() - provenAtMs }),
      rank: hash,
      now,
      applyBoundMs,
      readsPerS: platformReadsPerS,
    });
    this.inquiry = new OutageInquiry({
      mesh,
      isInDoubt: () => state.lapsedState === 'inDoubt',
      requestList: (address) => valueSync.requestEndpoints(address),
      hash,
    });
  }

  /** Runs once a tick. */
  tick(nowMs: number): void {
    this.proofs.tick(nowMs);
    this.inquiry.tick(nowMs);
  }
}
