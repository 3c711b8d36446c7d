/** A box that spreads loads, with a mesh of its own that keeps what is sent. */
import type { LoadViewStatus } from '../peers/loadRelay.js';
import { LoadRelay } from '../peers/loadRelay.js';
import type { Heartbeat, PeerFrame } from '../peers/peerFrames.js';
import type { PeerMesh } from '../peers/peerMesh.js';
import { PromptDemand } from '../systems/promptDemand.js';
import { PromptHolders } from '../systems/promptHolders.js';
import { EndpointTable } from '../tables/endpointTable.js';
import { createListing } from './createEndpoints.js';
import { heartbeatOf as createHeartbeat } from './restingBox.js';

/** Of the only endpoint. */
export const TAG = 77;
const endpoint = createListing('e-1');

/** A heartbeat of a box that holds so many requests at the endpoint. */
export const heartbeatOf = (address: string, hall: string, requests: number): Heartbeat =>
  createHeartbeat(address, { hall, loads: requests === 0 ? [] : [TAG, requests] });

/** One box of the hall mixco in a fleet of two halls; its address ranks it. */
export class TestBox {
  nowMs = 10_000;
  peers: Heartbeat[] = [];
  readonly sent: { to: string; frame: PeerFrame }[] = [];
  readonly table = new EndpointTable(() => TAG);
  readonly homes = new PromptHolders();
  readonly demand = new PromptDemand();
  readonly relay: LoadRelay;
  readonly knowledge: LoadViewStatus[] = [];

  constructor(
    readonly address: string,
    isFullMesh = false,
    random: () => number = () => 0,
  ) {
    const mesh = {
      address,
      isFullMesh,
      heartbeatIntervalMs: 300,
      countBoxes: () => this.peers.length + 1,
      listRecentlySeen: () => this.peers.map((heartbeat) => ({ heartbeat, lastSeenAtMs: this.nowMs })),
      listReachable: () => this.peers,
      send: (to: string, frame: PeerFrame) => void this.sent.push({ to, frame }),
      sendToHall: (to: string, frame: PeerFrame) => void this.sent.push({ to, frame }),
    } as unknown as PeerMesh;
    this.table.upsert(endpoint, 0);
    this.relay = new LoadRelay({
      mesh,
      table: this.table,
      promptHolders: this.homes,
      demand: this.demand,
      hall: 'mixco',
      hash: (text) => Number(text),
      random,
      now: () => this.nowMs,
      onViewStatus: (knowledge) => this.knowledge.push(knowledge),
    });
  }

  get peersInFlight(): number {
    return this.table.byId.get(endpoint.id)?.peersInFlight ?? -1;
  }

  setOwn(requests: number): void {
    this.table.byId.get(endpoint.id)!.inFlight = requests;
  }

  tick(): void {
    this.nowMs += 500;
    this.relay.tick();
  }

  listSent(type: PeerFrame['type']): string[] {
    return this.sent.filter(({ frame }) => frame.type === type).map(({ to }) => to);
  }
}
