/**
 * Spreads loads. In a small fleet heartbeats carry them to every box. In a larger one they stay within the hall; two
 * boxes of each hall send its sums to two of every other hall, which pass them on at home, so that what crosses halls
 * grows with the number of halls and not of boxes.
 */
import { addLoads, applyPeerLoads, HallSums, listOwnLoads } from '../systems/loadExchange.js';
import type { LoadList } from '../systems/loadExchange.js';
import type { EndpointTable } from '../tables/endpointTable.js';
import type { HallLoads, Heartbeat } from './peerFrames.js';
import type { PeerMesh } from './peerMesh.js';

/** Boxes of a hall that speak for it; the second one covers for the first. */
const SPEAKERS_PER_HALL = 2;
/** Pace of the sums between halls: as fresh as loads within a hall of some twenty boxes. */
const SUMS_MS = 500;

/** What the relay works with. */
export interface LoadRelayOptions {
  readonly mesh: PeerMesh;
  readonly table: EndpointTable;
  readonly hall: string;
  readonly hash: (text: string) => number;
  readonly now: () => number;
}

/** One box's part in spreading loads. */
export class LoadRelay {
  private readonly sums = new HallSums();
  private toldAtMs = -Infinity;

  constructor(private readonly options: LoadRelayOptions) {}

  /** Runs with each heartbeat: takes stock of what peers told, and speaks for the hall if it is up to this box. */
  tick(): void {
    const { mesh, table, now } = this.options;
    const nowMs = now();
    const near = this.takeStock(nowMs);
    if (mesh.isFlat || nowMs - this.toldAtMs < SUMS_MS || !this.isSpeaker()) return;
    this.toldAtMs = nowMs;
    this.tellOtherHalls([listOwnLoads(table), ...near]);
  }

  /** Takes over another hall's sums; a speaker passes them on in its own hall, one copy a period. */
  handleHallLoads(frame: HallLoads): void {
    const { hall, mesh, now } = this.options;
    if (frame.hall === hall) return;
    const nowMs = now();
    const isDue = this.sums.isOlderThan(frame.hall, SUMS_MS / 2, nowMs);
    if (!isDue) return;
    this.sums.note(frame.hall, frame.loads, nowMs);
    this.takeStock(nowMs);
    if (this.isSpeaker()) mesh.sendToHall(hall, frame);
  }

  /** Writes what is known of the peers' loads into the table; returns those of the boxes that tell them here. */
  private takeStock(nowMs: number): LoadList[] {
    const { mesh, table } = this.options;
    const near = mesh.listLoadPeers().map((peer) => peer.heartbeat.loads);
    const far = mesh.isFlat ? [] : this.sums.listFresh(nowMs);
    applyPeerLoads(table, [...near, ...far]);
    return near;
  }

  private tellOtherHalls(loads: readonly LoadList[]): void {
    const { mesh, hall } = this.options;
    const frame: HallLoads = { type: 'hallLoads', hall, loads: addLoads(loads) };
    for (const address of this.listSpeakers()) mesh.send(address, frame);
  }

  /** The first boxes of every other hall, by the rank on which all boxes agree. */
  private listSpeakers(): string[] {
    const byHall = new Map<string, Heartbeat[]>();
    for (const heartbeat of this.listLive()) {
      if (heartbeat.hall === this.options.hall) continue;
      const boxes = byHall.get(heartbeat.hall);
      if (boxes === undefined) byHall.set(heartbeat.hall, [heartbeat]);
      else boxes.push(heartbeat);
    }
    return [...byHall.values()].flatMap((boxes) =>
      boxes
        .map((heartbeat) => heartbeat.address)
        .sort((a, b) => this.rank(a) - this.rank(b))
        .slice(0, SPEAKERS_PER_HALL),
    );
  }

  private isSpeaker(): boolean {
    const { hall, mesh } = this.options;
    const own = this.rank(mesh.address);
    const before = this.listLive().filter(
      (heartbeat) => heartbeat.hall === hall && this.rank(heartbeat.address) < own,
    );
    return before.length < SPEAKERS_PER_HALL;
  }

  private listLive(): Heartbeat[] {
    return this.options.mesh.listLinked().filter((heartbeat) => !heartbeat.isStopping);
  }

  private rank(address: string): number {
    return this.options.hash(address);
  }
}
