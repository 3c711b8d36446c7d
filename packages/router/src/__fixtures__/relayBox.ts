/** A box with a load relay whose mesh records the frames that it sends. */
import type { LoadViewStatus } from '../peers/loadRelay.js';
import { EndpointPaces } from '../capacity/endpointPaces.js';
import { LoadRelay } from '../peers/loadRelay.js';
import { PaceRelay } from '../peers/paceRelay.js';
import type { Heartbeat, PeerFrame } from '../peers/peerFrames.js';
import type { PeerMesh } from '../peers/peerMesh.js';
import { PromptDemand } from '../systems/promptDemand.js';
import { PromptHolders } from '../systems/promptHolders.js';
import { EndpointTable } from '../tables/endpointTable.js';
import { createListing } from './createEndpoints.js';
import { createHeartbeat } from '../published/__fixtures__/passiveBox.js';

/** Tag of the only endpoint. */
export const ENDPOINT_TAG = 77;
/** Tag of another endpoint of the same service. */
export const OTHER_TAG = 78;
const endpoint = createListing('e-1');
const otherEndpoint = createListing('e-2');

/** Creates the heartbeat of a box with this number of requests in flight at the endpoint. */
export const createLoadHeartbeat = (address: string, hall: string, requests: number): Heartbeat =>
  createHeartbeat(address, { hall, loads: requests === 0 ? [] : [ENDPOINT_TAG, requests] });

/** A box of the hall `mixco` in a fleet of two halls. Boxes rank in the order of their numeric addresses. */
export class TestBox {
  nowMs = 10_000;
  peers: Heartbeat[] = [];
  readonly sent: { to: string; frame: PeerFrame }[] = [];
  readonly table = new EndpointTable((id) => (id === endpoint.id ? ENDPOINT_TAG : OTHER_TAG));
  readonly promptHolders = new PromptHolders();
  readonly demand = new PromptDemand();
  readonly paces = new EndpointPaces({
    table: this.table,
    isEnabled: () => true,
    onChange: () => {},
    onClear: () => {},
  });
  readonly paceRelay = new PaceRelay(this.paces);
  readonly relay: LoadRelay;
  readonly viewStatuses: LoadViewStatus[] = [];

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
    this.table.upsert(otherEndpoint, 0);
    this.relay = new LoadRelay({
      mesh,
      table: this.table,
      promptHolders: this.promptHolders,
      demand: this.demand,
      paces: this.paceRelay,
      hall: 'mixco',
      hash: (text) => Number(text),
      random,
      now: () => this.nowMs,
      onViewStatus: (status) => this.viewStatuses.push(status),
    });
  }

  /** Requests of other boxes at the endpoint by the loads received from them; -1 if the endpoint is not in the table. */
  get peersInFlight(): number {
    return this.table.byId.get(endpoint.id)?.peersInFlight ?? -1;
  }

  setLocalLoad(requests: number): void {
    this.table.byId.get(endpoint.id)!.inFlight = requests;
  }

  tick(): void {
    this.nowMs += 500;
    this.relay.tick();
  }

  /** Lists the recipients of the sent frames of a type. */
  listRecipients(type: PeerFrame['type']): string[] {
    return this.sent.filter(({ frame }) => frame.type === type).map(({ to }) => to);
  }
}
