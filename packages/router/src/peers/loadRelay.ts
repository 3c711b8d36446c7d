/**
 * Spreads loads, and with them what boxes learned of the homes of prompts. In a small fleet heartbeats carry both to
 * every box. In a larger one each box tells its loads to two speakers of its hall; these tell the hall's sum to the
 * speakers of the other halls and the fleet's sum to a few boxes of their own, which pass it on, so that a box sends and
 * reads a few frames a second whatever the size of the fleet.
 */
import type { LoadList } from '../systems/loadExchange.js';
import { addLoads, applyPeerLoads, listOwnLoads, LoadBook, subtractLoads } from '../systems/loadExchange.js';
import type { HomeList, PromptHomes } from '../systems/promptHomes.js';
import { planSpread } from '../membership/spreadPlan.js';
import type { EndpointTable } from '../tables/endpointTable.js';
import type { BoxLoads, FleetLoads, HallLoads, Heartbeat } from './peerFrames.js';
import type { PeerMesh } from './peerMesh.js';

/** Boxes of a hall that speak for it; the second one covers for the first. */
const SPEAKERS_PER_HALL = 2;
/** Pace in a large fleet. Loads pass two or three boxes: a second old at the most, half of it in the mean. */
const LOADS_MS = 500;
/** What was not renewed for several periods counts for nothing. */
const LOADS_LIFE_MS = 3_000;
/** The second speaker speaks when the first one missed two periods. */
const COVER_MS = 2 * LOADS_MS + LOADS_MS / 2;

/** Homes of prompts in one sum: two kilobytes, of which a hall's boxes send next to none in a steady state. */
const MAX_KEPT_PAIRS = 256;
/** Homes of prompts told on a new link: some ten kilobytes, once. */
const MAX_HOMES_ON_NEW_LINK = 1_024;

/** What the relay works with. */
export interface LoadRelayOptions {
  readonly mesh: PeerMesh;
  readonly table: EndpointTable;
  readonly homes: PromptHomes;
  readonly hall: string;
  readonly hash: (text: string) => number;
  /** Between 0 and 1. */
  readonly random: () => number;
  readonly now: () => number;
}

/** One box's part in spreading loads. */
export class LoadRelay {
  private readonly boxes = new LoadBook(LOADS_LIFE_MS);
  private readonly halls = new LoadBook(LOADS_LIFE_MS);
  private tickedAtMs = -Infinity;
  /** When a speaker last told the fleet's sum. */
  private heardFleetAtMs = -Infinity;
  /** What this box told last, and so is in the sums that come back. */
  private toldLoads: LoadList = [];
  /** Homes of prompts that this box, if it speaks, has still to tell its hall, and the other halls. */
  private readonly hallHomes: number[] = [];
  private readonly fleetHomes: number[] = [];

  constructor(private readonly options: LoadRelayOptions) {}

  /** Runs once a tick of the loop and acts at its own pace. */
  tick(): void {
    const { mesh, now } = this.options;
    const nowMs = now();
    if (nowMs - this.tickedAtMs < (mesh.isFlat ? mesh.paceMs : LOADS_MS)) return;
    this.tickedAtMs = nowMs;
    if (mesh.isFlat) return this.takeFromHeartbeats();
    this.tellSpeakers();
    if (this.mustSpeak(nowMs)) this.speak(nowMs);
    else if (nowMs - this.heardFleetAtMs > LOADS_LIFE_MS) applyPeerLoads(this.options.table, []);
  }

  /** A box of the hall tells its loads to this speaker. */
  handleBoxLoads(frame: BoxLoads): void {
    this.options.homes.learn(frame.homes);
    this.keepHomesForAll(frame.homes);
    this.boxes.note(frame.address, frame.loads, this.options.now());
  }

  /** The speaker of another hall tells its sum. */
  handleHallLoads(frame: HallLoads): void {
    if (frame.hall === this.options.hall) return;
    this.options.homes.learn(frame.homes);
    this.keepHomes(frame.homes, this.hallHomes);
    this.halls.note(frame.hall, frame.loads, this.options.now());
  }

  /** The speaker of this hall tells what all boxes have. */
  handleFleetLoads(frame: FleetLoads): void {
    this.heardFleetAtMs = this.options.now();
    this.options.homes.learn(frame.homes);
    applyPeerLoads(this.options.table, [subtractLoads(frame.loads, this.toldLoads)]);
    this.spread(frame, frame.passTo);
  }

  /** What a box on a new link is told of the homes of prompts: all in a small fleet, by the speakers in a large one. */
  listHomesForNewLink(): HomeList {
    const { mesh, homes } = this.options;
    return mesh.isFlat || this.findPlace() === 0 ? homes.listNewest(MAX_HOMES_ON_NEW_LINK) : [];
  }

  /** What a box of this hall learned is told at home and to the other halls. */
  private keepHomesForAll(homes: HomeList): void {
    this.keepHomes(homes, this.hallHomes);
    this.keepHomes(homes, this.fleetHomes);
  }

  /** Keeps homes for the next sums; a box that does not speak keeps the newest, in case that it has to. */
  private keepHomes(homes: HomeList, kept: number[]): void {
    kept.push(...homes);
    if (kept.length > 2 * MAX_KEPT_PAIRS) kept.splice(0, kept.length - 2 * MAX_KEPT_PAIRS);
  }

  private takeFromHeartbeats(): void {
    const { mesh, table } = this.options;
    applyPeerLoads(
      table,
      mesh.listFresh().map((peer) => peer.heartbeat.loads),
    );
  }

  private tellSpeakers(): void {
    const { mesh, table, hall, homes } = this.options;
    this.toldLoads = listOwnLoads(table);
    const news = homes.takeUntold(MAX_KEPT_PAIRS);
    this.keepHomesForAll(news);
    const frame: BoxLoads = {
      type: 'boxLoads',
      address: mesh.address,
      loads: [...this.toldLoads],
      homes: news,
    };
    for (const address of this.listSpeakers((other) => other === hall)) mesh.send(address, frame);
  }

  /** Whether this box speaks: the first of its hall, or the second if the first is not heard. */
  private mustSpeak(nowMs: number): boolean {
    const place = this.findPlace();
    return place === 0 || (place < SPEAKERS_PER_HALL && nowMs - this.heardFleetAtMs > COVER_MS);
  }

  private speak(nowMs: number): void {
    const { mesh, table, hall } = this.options;
    const hallPeers = addLoads(this.boxes.listFresh(nowMs));
    const own = addLoads([hallPeers, this.toldLoads]);
    const peers = addLoads([hallPeers, ...this.halls.listFresh(nowMs)]);
    applyPeerLoads(table, [peers]);
    const hallHomes = this.hallHomes.splice(0);
    const fleetHomes = this.fleetHomes.splice(0);
    for (const address of this.listSpeakers((other) => other !== hall)) {
      mesh.send(address, { type: 'hallLoads', hall, loads: own, homes: fleetHomes });
    }
    const frame: FleetLoads = {
      type: 'fleetLoads',
      loads: addLoads([peers, this.toldLoads]),
      homes: hallHomes,
      passTo: [],
    };
    this.spread(frame, this.listHallRanks());
  }

  /** Ranks of the other boxes of the hall, in another order each time: one that fails to pass on is missed by others then. */
  private listHallRanks(): number[] {
    const { random } = this.options;
    return this.listHallPeers()
      .map((peer) => ({ rank: this.rank(peer.address), order: random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ rank }) => rank);
  }

  /** Sends the fleet's sum to some boxes of the hall, who pass it on to the rest. */
  private spread(frame: FleetLoads, ranks: readonly number[]): void {
    if (ranks.length === 0) return;
    const { mesh } = this.options;
    const addresses = new Map(this.listHallPeers().map(({ address }) => [this.rank(address), address]));
    for (const { head, passTo } of planSpread(ranks, (rank) => addresses.has(rank))) {
      const address = addresses.get(head);
      if (address !== undefined) mesh.send(address, { ...frame, passTo: [...passTo] });
    }
  }

  /** The first boxes of halls, this box left out, by the rank on which all boxes agree. */
  private listSpeakers(isWanted: (hall: string) => boolean): string[] {
    const byHall = new Map<string, string[]>();
    for (const { hall, address } of this.listLive()) {
      if (!isWanted(hall)) continue;
      const addresses = byHall.get(hall);
      if (addresses === undefined) byHall.set(hall, [address]);
      else addresses.push(address);
    }
    return [...byHall.values()].flatMap((addresses) =>
      addresses.sort((a, b) => this.rank(a) - this.rank(b)).slice(0, SPEAKERS_PER_HALL),
    );
  }

  /** How many live boxes of the hall rank before this one. */
  private findPlace(): number {
    const own = this.rank(this.options.mesh.address);
    return this.listHallPeers().filter((peer) => this.rank(peer.address) < own).length;
  }

  private listHallPeers(): Heartbeat[] {
    return this.listLive().filter((peer) => peer.hall === this.options.hall);
  }

  private listLive(): Heartbeat[] {
    return this.options.mesh.listLinked().filter((heartbeat) => !heartbeat.isStopping);
  }

  private rank(address: string): number {
    return this.options.hash(address);
  }
}
