/** The boxes that a box reaches, as its relay of messages about slots uses them. */
import type { HopSilence } from './hopSilence.js';
import type { PeerMesh } from './peerMesh.js';
import type { SlotBoxView } from './slotRoute.js';

/** How long a view of the reachable boxes is used. */
const VIEW_MS = 40;

/** The reachable boxes at a moment. */
export interface RelayView extends SlotBoxView {
  readonly createdAtMs: number;
  /** Addresses of all reachable boxes. */
  readonly reachable: ReadonlySet<string>;
  /** Addresses of those that answer frames about slots, also if they are about to stop. */
  readonly answering: ReadonlySet<string>;
  /** Addresses of the reachable boxes of the own hall. */
  readonly inOwnHall: ReadonlySet<string>;
  /** Next hops that were determined so far, by service, for own requests and for relayed ones. */
  readonly hops: Map<string, string>;
}

/** What a view is made of. */
export interface RelayViewSources {
  readonly mesh: Pick<PeerMesh, 'address' | 'isFullMesh' | 'listReachable'>;
  readonly hall: string;
  /** Whether this box may schedule. */
  readonly isAble: () => boolean;
  /** Hops that have not answered for a while. */
  readonly silence: Pick<HopSilence, 'isPassedOver'>;
  readonly now: () => number;
}

/** Keeps the view that is in use. */
export class RelayViews {
  private view: RelayView | undefined;

  constructor(private readonly sources: RelayViewSources) {}

  /** The view in use, or a new one if that is too old. */
  read(): RelayView {
    const nowMs = this.sources.now();
    if (this.view === undefined || nowMs - this.view.createdAtMs >= VIEW_MS) this.view = this.create(nowMs);
    return this.view;
  }

  /** Drops the view in use, as a hop begins or ceases to be passed over. */
  drop(): void {
    this.view = undefined;
  }

  private create(nowMs: number): RelayView {
    const { mesh, hall, isAble, silence } = this.sources;
    const reachable = mesh.listReachable();
    const answering = reachable.filter(
      ({ address, handlesSlots }) => handlesSlots === true && !silence.isPassedOver(address, nowMs),
    );
    return {
      isFullMesh: mesh.isFullMesh,
      own: { address: mesh.address, hall },
      isOwnAble: isAble(),
      peers: answering.filter(({ isStopping }) => !isStopping),
      createdAtMs: nowMs,
      reachable: new Set(reachable.map(({ address }) => address)),
      answering: new Set(answering.map(({ address }) => address)),
      inOwnHall: new Set(reachable.filter((peer) => peer.hall === hall).map(({ address }) => address)),
      hops: new Map(),
    };
  }
}
