/** Builds and sends the heartbeats of a box: to all peers at the pace of the mesh, and on each link that just came up. */
import type { QuarantineRelay } from '../quarantine/quarantineRelay.js';
import { listOwnLoads } from '../systems/loadExchange.js';
import type { HolderList, PromptHolders } from '../systems/promptHolders.js';
import type { PublishedState } from '../systems/publishedState.js';
import type { EndpointTable } from '../tables/endpointTable.js';
import type { FeedRelay } from './feedRelay.js';
import type { LoadRelay } from './loadRelay.js';
import type { Heartbeat } from './peerFrames.js';
import type { PeerMesh } from './peerMesh.js';

/** Homes of prompts told in one heartbeat; in a steady state there are next to none to tell. */
const MAX_TOLD_HOMES = 256;

/** What heartbeats are made of. */
export interface HeartbeatSenderOptions {
  readonly hall: string;
  /** Bandwidth of the box's link. */
  readonly linkMbps: number;
  readonly mesh: PeerMesh;
  readonly state: PublishedState;
  readonly table: EndpointTable;
  readonly promptHolders: PromptHolders;
  readonly loadRelay: LoadRelay;
  readonly feedRelay: FeedRelay;
  readonly quarantineRelay: QuarantineRelay;
  readonly isStopping: () => boolean;
  readonly now: () => number;
}

/** The heartbeats of one box. */
export class HeartbeatSender {
  private sentAtMs = 0;

  constructor(private readonly options: HeartbeatSenderOptions) {}

  /** Runs once a tick; sends a heartbeat to all peers when one is due. */
  tick(nowMs: number): void {
    const { mesh, promptHolders: homes, loadRelay: loads } = this.options;
    if (nowMs - this.sentAtMs < mesh.heartbeatIntervalMs) return;
    this.sentAtMs = nowMs;
    const told = mesh.isFullMesh ? homes.takeUnsent(MAX_TOLD_HOMES) : [];
    const prompts = loads.takeDemandForHeartbeat();
    mesh.broadcast({ ...this.create(told), ...(prompts && { prompts }) });
  }

  /** What a box on a link that just came up may have missed goes with the first heartbeat. */
  createInitialHeartbeat(): Heartbeat {
    const { loadRelay: loads, quarantineRelay: crashNews } = this.options;
    return { ...this.create(loads.listHoldersForNewLink()), ...crashNews.createSnapshot() };
  }

  /** Sends a heartbeat to the own hall before the next one is due: what it says of this box has changed. */
  sendToHall(): void {
    const { mesh, hall } = this.options;
    mesh.sendToHall(hall, this.create([]));
  }

  private create(homes: HolderList): Heartbeat {
    const { hall, linkMbps, mesh, state, table, feedRelay: relay } = this.options;
    return {
      type: 'heartbeat',
      hall,
      feed: relay.feedState,
      linkMbps,
      address: mesh.address,
      boxes: mesh.countBoxes(),
      configurationVersion: state.configurationVersion,
      endpointsRevision: state.listPosition.revision,
      era: state.listPosition.era,
      platformReport: state.platformReport,
      loads: mesh.isFullMesh ? listOwnLoads(table) : [],
      homes: [...homes],
      incarnation: mesh.incarnation,
      isStopping: this.options.isStopping(),
    };
  }
}
