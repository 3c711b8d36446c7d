/** Creates the heartbeats of a box and sends them: to all peers at the interval of the mesh, and on each new link. */
import type { QuarantineRelay } from '../quarantine/quarantineRelay.js';
import { listOwnLoads } from '../systems/loadExchange.js';
import type { HolderList, PromptHolders } from '../systems/promptHolders.js';
import type { PublishedState } from '../published/publishedState.js';
import type { EndpointTable } from '../tables/endpointTable.js';
import type { FeedRelay } from '../published/feedRelay.js';
import type { LoadRelay } from './loadRelay.js';
import type { Heartbeat } from './peerFrames.js';
import type { PeerMesh } from './peerMesh.js';

/** Maximum number of prompt holders in one heartbeat. In a steady state there are almost none to send. */
const MAX_HOLDERS_PER_HEARTBEAT = 256;

/** Dependencies and settings of the sender. */
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
  /** Whether this box handles frames about slots. */
  readonly handlesSlots: () => boolean;
  /** Services with brittle endpoints, as this box has seen. */
  readonly listBrittle: () => string[];
  /** Whether this box serves tunnels of other boxes. */
  readonly servesTunnels: () => boolean;
  readonly now: () => number;
}

/** Sends the heartbeats of one box. */
export class HeartbeatSender {
  private lastSentAtMs = 0;

  constructor(private readonly options: HeartbeatSenderOptions) {}

  /** Runs once a tick; sends a heartbeat to all peers when one is due. */
  tick(nowMs: number): void {
    const { mesh, promptHolders, loadRelay } = this.options;
    if (nowMs - this.lastSentAtMs < mesh.heartbeatIntervalMs) return;
    this.lastSentAtMs = nowMs;
    const holders = mesh.isFullMesh ? promptHolders.takeUnsent(MAX_HOLDERS_PER_HEARTBEAT) : [];
    const prompts = loadRelay.takeDemandForHeartbeat();
    const paces = loadRelay.takePacesForHeartbeat();
    mesh.broadcast({ ...this.create(holders), ...(prompts && { prompts }), ...paces });
  }

  /** Creates the first heartbeat on a new link, with prompt holders and crash reports that the peer may have missed. */
  createInitialHeartbeat(): Heartbeat {
    const { loadRelay, quarantineRelay } = this.options;
    const heartbeat = this.create(loadRelay.listHoldersForNewLink());
    return { ...heartbeat, provesLists: true, ...quarantineRelay.createSnapshot() };
  }

  /** Sends a heartbeat to the own hall before the next one is due, because the state of this box has changed. */
  sendToHall(): void {
    const { mesh, hall } = this.options;
    mesh.sendToHall(hall, this.create([]));
  }

  private create(holders: HolderList): Heartbeat {
    const { hall, linkMbps, mesh, state, table, feedRelay } = this.options;
    const brittle = this.options.listBrittle();
    return {
      ...(brittle.length > 0 && { brittle }),
      type: 'heartbeat',
      hall,
      feed: feedRelay.feedState,
      linkMbps,
      address: mesh.address,
      boxes: mesh.countBoxes(),
      configurationVersion: state.configurationVersion,
      endpointsRevision: state.listPosition.revision,
      era: state.listPosition.era,
      platformReport: state.platformReport,
      loads: mesh.isFullMesh ? listOwnLoads(table) : [],
      homes: [...holders],
      incarnation: mesh.incarnation,
      isStopping: this.options.isStopping(),
      handlesSlots: this.options.handlesSlots(),
      servesTunnels: this.options.servesTunnels(),
      tracksStreams: true,
    };
  }
}
