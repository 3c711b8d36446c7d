/** The production code that decides by the published list, for one box of a virtual fleet with a virtual store. */
import { Ok } from '@hazelwalk/core';
import type { DecisionLog } from '../../observability/decisionLog.js';
import type { RouterMetrics } from '../../observability/metrics.js';
import type { VirtualBox, VirtualProgram } from '../../membership/__fixtures__/virtualFleet.js';
import { dispatchPeerFrame } from '../../peers/dispatchPeerFrame.js';
import type { PeerFrameHandlers } from '../../peers/dispatchPeerFrame.js';
import { BoxFeed } from '../../published/boxFeed.js';
import type { Heartbeat, RouterFrame } from '../../peers/peerFrames.js';
import type { PeerMesh, Reply } from '../../peers/peerMesh.js';
import type { RouterInput } from '../../routerOptions.js';
import { PublishedState } from '../../published/publishedState.js';
import type { EndpointRow } from '../../tables/endpointTable.js';
import { EndpointTable } from '../../tables/endpointTable.js';
import { BoxStreams } from '../boxStreams.js';
import type { VirtualStore } from './virtualStore.js';
import { SERVICE, VirtualFeed } from './virtualStore.js';

const READS_PER_S = 2_000;

/** What the programs of a fleet share. */
export interface StoreProgramOptions {
  readonly store: VirtualStore;
  readonly hash: (text: string) => number;
  /** Whether this run of the box goes on. */
  readonly isRunning: () => boolean;
  /** Runs an action of the process of the box: later while it is paused. */
  readonly act: (action: () => void) => void;
  /** Time within which a published change has to be in force. */
  readonly applyBoundMs: number;
  readonly metrics: RouterMetrics;
}

/** The list of one box, its proofs and its streams. */
export class StoreProgram implements VirtualProgram {
  readonly table: EndpointTable;
  readonly state: PublishedState;
  readonly streams: BoxStreams;
  readonly feed: BoxFeed;
  private readonly handlers: PeerFrameHandlers;

  constructor(
    box: VirtualBox,
    mesh: PeerMesh,
    private readonly options: StoreProgramOptions,
  ) {
    const { store, hash, metrics, applyBoundMs, act } = options;
    const now = (): number => store.timeline.nowMs;
    const log = { write: () => {} } as unknown as DecisionLog;
    const { hall } = box;
    this.table = new EndpointTable(hash);
    this.state = new PublishedState({
      table: this.table,
      log,
      metrics,
      now,
      hash,
      parseConfiguration: () => Ok({ version: 0, routes: [], services: [], teams: [], limits: {} } as never),
      onLimits: () => {},
      onEndpointRemoved: () => {},
      onInitialized: () => {},
    });
    const { table, state } = this;
    const storeFeed = new VirtualFeed(store, {
      address: box.address,
      push: (input) => this.handleInput(input),
      decideRole: () => this.feed.relay.decideRole(),
      isRunning: options.isRunning,
      act,
    });
    this.feed = new BoxFeed({
      mesh,
      state,
      log,
      hall,
      linkMbps: 1_000,
      hash,
      now,
      applyBoundMs,
      platformReadsPerS: READS_PER_S,
      readChanges: (position, onEnd) => storeFeed.readChanges(position, onEnd),
    });
    const { relay, valueSync, proofs } = this.feed;
    this.streams = new BoxStreams({ hall, mesh, table, state, proofs, metrics, rank: hash, now });
    this.handlers = {
      state,
      valueSync,
      feedRelay: relay,
      listProofs: proofs,
      streamTracker: this.streams.tracker,
      originLookup: this.streams.lookup,
      versionNotices: this.streams.notices,
    } as Partial<PeerFrameHandlers> as PeerFrameHandlers;
  }

  /** Endpoints at which a new stream may begin. */
  listOpen(): readonly EndpointRow[] {
    return this.streams.notices.filterKnown(SERVICE, this.table.listService(SERVICE));
  }

  handleFrame(frame: RouterFrame, reply: Reply): void {
    if (frame.type === 'heartbeat') this.handlers.valueSync.handleHeartbeat(frame);
    else dispatchPeerFrame(frame, this.handlers, reply);
  }

  tick(): void {
    const nowMs = this.options.store.timeline.nowMs;
    this.state.tick(nowMs);
    this.feed.tick(nowMs);
    this.streams.tick(nowMs);
  }

  listLoads(): number[] {
    return [];
  }

  createPlatformReport(): Partial<Heartbeat> {
    const { revision, era } = this.state.listPosition;
    const { platformReport } = this.state;
    return {
      endpointsRevision: revision,
      era,
      platformReport,
      feed: this.feed.relay.feedState,
      configurationVersion: 0,
    };
  }

  private handleInput(input: RouterInput): void {
    if (input.type === 'published') {
      this.feed.relay.announce(this.state.applyPublication(input.publication));
      this.feed.proofs.handleProven(input.publication.provenAtMs ?? -Infinity);
    }
    if (input.type === 'feedLost') {
      this.state.handleReadFailure(input.reason);
      this.feed.relay.markFeedLost();
    }
  }
}
