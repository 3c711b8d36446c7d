/**
 * Spreads loads, and with them what boxes learned of the homes of prompts and were asked for. In a small fleet heartbeats
 * carry all of it to every box. In a larger one each box tells it to two speakers of its hall; these tell the hall's sum to
 * the speakers of the other halls and the fleet's sum to a few boxes of their own, which pass it on, so that a box sends
 * and reads a few frames a second whatever the size of the fleet.
 */
import { RecentReports, REPORT_TTL_MS } from '../systems/recentReports.js';
import type { LoadList, LoadSum } from '../systems/loadExchange.js';
import { applyPeerLoads, listOwnLoads, subtractLoads, sumLoadReports } from '../systems/loadExchange.js';
import type { PairList } from '../systems/pairList.js';
import { addPairs } from '../systems/pairList.js';
import type { PromptDemand } from '../systems/promptDemand.js';
import { DemandAggregate } from '../systems/promptDemand.js';
import type { HolderList, PromptHolders } from '../systems/promptHolders.js';
import { findHallPosition } from '../membership/hallPosition.js';
import { planFanOut } from '../membership/fanOutPlan.js';
import type { EndpointTable } from '../tables/endpointTable.js';
import type { BoxLoads, FleetLoads, HallLoads, Heartbeat, LoadCoverage } from './peerFrames.js';
import type { PeerMesh } from './peerMesh.js';

/** Boxes of a hall that speak for it; the second one covers for the first. */
const SPEAKERS_PER_HALL = 2;
/** Pace in a large fleet. Loads pass two or three boxes: a second old at the most, half of it in the mean. */
const LOADS_MS = 500;
/** The second speaker speaks when the first one missed two periods. */
const COVER_MS = 2 * LOADS_MS + LOADS_MS / 2;

/** Homes of prompts in one sum: two kilobytes, of which a hall's boxes send next to none in a steady state. */
const MAX_KEPT_PAIRS = 256;
/** Homes of prompts told on a new link: some ten kilobytes, once. */
const MAX_HOMES_ON_NEW_LINK = 1_024;

/** Lists of what this box was asked for that wait for a heartbeat; more would mean that none is sent any longer. */
const MAX_UNTOLD_LISTS = 4;

/** Boxes may be missing from a sum for a moment, as they come and go; below this share it is partial. */
const WHOLE_SHARE = 0.9;

/** A box of an earlier version does not say what its sum is made of. */
const UNKNOWN_COVERAGE = { boxes: 0, ageMs: 0 } as const;

/** What a box knows of the loads of the others. */
export interface LoadViewStatus {
  /** `missing`: nothing was heard for so long that the loads of others count as none. */
  readonly extent: 'whole' | 'partial' | 'missing';
  /** Boxes whose loads are known, this one included. */
  readonly boxes: number;
  /** How old the oldest of them are. */
  readonly ageMs: number;
}

/** What the relay works with. */
export interface LoadRelayOptions {
  readonly mesh: PeerMesh;
  readonly table: EndpointTable;
  readonly promptHolders: PromptHolders;
  readonly demand: PromptDemand;
  readonly hall: string;
  readonly hash: (text: string) => number;
  /** Between 0 and 1. */
  readonly random: () => number;
  readonly now: () => number;
  /** Called twice a second, and with each heartbeat in a small fleet. */
  readonly onViewStatus: (knowledge: LoadViewStatus) => void;
}

/** One box's part in spreading loads. */
export class LoadRelay {
  private readonly boxes = new RecentReports<LoadSum>();
  private readonly halls = new RecentReports<LoadSum>();
  private readonly demands = new DemandAggregate();
  private untoldDemand: PairList[] = [];
  private demandAtMs = -Infinity;
  private tickedAtMs = -Infinity;
  private spokeEarlyAtMs = -Infinity;
  /** When a speaker last told the fleet's sum. */
  private heardFleetAtMs = -Infinity;
  /** What this box told last, and so is in the sums that come back. */
  private toldLoads: LoadList = [];
  /** What the loads of the others were taken from last, and when. */
  private taken: LoadCoverage = { boxes: 1, ageMs: 0 };
  private takenAtMs = -Infinity;
  /** Homes of prompts that this box, if it speaks, has still to tell its hall, and the other halls. */
  private readonly hallHomes: number[] = [];
  private readonly fleetHomes: number[] = [];

  constructor(private readonly options: LoadRelayOptions) {}

  /** Runs once a tick of the loop and acts at its own pace. */
  tick(): void {
    const { mesh, now } = this.options;
    const nowMs = now();
    if (mesh.isFullMesh) this.updateDemand(nowMs);
    if (nowMs - this.tickedAtMs < (mesh.isFullMesh ? mesh.heartbeatIntervalMs : LOADS_MS)) return;
    this.tickedAtMs = nowMs;
    if (mesh.isFullMesh) this.takeFromHeartbeats(nowMs);
    else this.takePart(nowMs);
    this.options.onViewStatus(this.readViewStatus());
  }

  /** What this box knows of the loads of the others. */
  readViewStatus(): LoadViewStatus {
    const { mesh, now } = this.options;
    const ageMs = this.readLoadAgeMs();
    if (!mesh.isFullMesh && now() - this.takenAtMs > REPORT_TTL_MS)
      return { extent: 'missing', boxes: 1, ageMs };
    const { boxes } = this.taken;
    return { extent: boxes < WHOLE_SHARE * mesh.countBoxes() ? 'partial' : 'whole', boxes, ageMs };
  }

  /** How old the oldest loads are that this box knows; infinite before the first. */
  readLoadAgeMs(): number {
    return this.taken.ageMs + this.options.now() - this.takenAtMs;
  }

  /** In a small fleet, what this box was asked for since its last heartbeat: each box adds up what all tell. */
  takeDemandForHeartbeat(): number[] | undefined {
    if (!this.options.mesh.isFullMesh) return undefined;
    this.collectOwnDemand();
    const prompts = [...addPairs(this.untoldDemand)];
    this.untoldDemand = [];
    return prompts.length > 0 ? prompts : undefined;
  }

  /** A peer's heartbeat tells what it was asked for. */
  handleHeartbeat({ prompts = [] }: Heartbeat): void {
    this.demands.addBoxCounts(prompts);
  }

  /** A box of the hall tells its loads to this speaker. */
  handleBoxLoads(frame: BoxLoads): void {
    this.options.promptHolders.addReported(frame.homes);
    this.keepHomesForAll(frame.homes);
    this.demands.addBoxCounts(frame.prompts);
    this.boxes.record(frame.address, { loads: frame.loads, boxes: 1, ageMs: 0 }, this.options.now());
    if (this.demands.takeNewlyHot()) this.speakEarly();
  }

  /** The speaker of another hall tells its sum. */
  handleHallLoads(frame: HallLoads): void {
    if (frame.hall === this.options.hall) return;
    this.options.promptHolders.addReported(frame.homes);
    this.keepHomes(frame.homes, this.hallHomes);
    this.demands.setHallCounts(frame.hall, frame.prompts, this.options.now());
    const { boxes, ageMs } = frame.coverage ?? UNKNOWN_COVERAGE;
    this.halls.record(frame.hall, { loads: frame.loads, boxes, ageMs }, this.options.now());
  }

  /** The speaker of this hall tells what all boxes have. */
  handleFleetLoads(frame: FleetLoads): void {
    this.heardFleetAtMs = this.options.now();
    this.options.promptHolders.addReported(frame.homes);
    this.options.demand.setHotPrompts(frame.prompts, this.heardFleetAtMs);
    this.take([subtractLoads(frame.loads, this.toldLoads)], frame.coverage ?? UNKNOWN_COVERAGE);
    this.spread(frame, frame.passTo);
  }

  /** What a box on a new link is told of the homes of prompts: all in a small fleet, by the speakers in a large one. */
  listHoldersForNewLink(): HolderList {
    const { mesh, promptHolders: homes } = this.options;
    return mesh.isFullMesh || this.findPlace() === 0 ? homes.listRecent(MAX_HOMES_ON_NEW_LINK) : [];
  }

  /** What a box of this hall learned is told at home and to the other halls. */
  private keepHomesForAll(homes: HolderList): void {
    this.keepHomes(homes, this.hallHomes);
    this.keepHomes(homes, this.fleetHomes);
  }

  /** Keeps homes for the next sums; a box that does not speak keeps the newest, in case that it has to. */
  private keepHomes(homes: HolderList, kept: number[]): void {
    kept.push(...homes);
    if (kept.length > 2 * MAX_KEPT_PAIRS) kept.splice(0, kept.length - 2 * MAX_KEPT_PAIRS);
  }

  /** Tells this box's loads, and those of all if it speaks. */
  private takePart(nowMs: number): void {
    this.tellSpeakers();
    this.demands.endPeriod(nowMs);
    if (this.mustSpeak(nowMs)) this.speak(nowMs);
    else if (nowMs - this.heardFleetAtMs > REPORT_TTL_MS) applyPeerLoads(this.options.table, []);
  }

  /** Keeps what this box was asked for, for its next heartbeat; old lists go if none is sent. */
  private collectOwnDemand(): void {
    const counts = this.options.demand.takeCounts();
    if (counts.length === 0) return;
    this.demands.addBoxCounts(counts);
    this.untoldDemand = [...this.untoldDemand, counts].slice(-MAX_UNTOLD_LISTS);
  }

  /** In a small fleet each box finds out itself which prompts are hot. */
  private updateDemand(nowMs: number): void {
    if (nowMs - this.demandAtMs < LOADS_MS) return;
    this.demandAtMs = nowMs;
    this.collectOwnDemand();
    this.demands.endPeriod(nowMs);
    this.options.demand.setHotPrompts(this.demands.listHot(), nowMs);
  }

  private takeFromHeartbeats(nowMs: number): void {
    const { mesh } = this.options;
    const peers = mesh.listRecentlySeen();
    const ageMs = Math.max(0, ...peers.map((peer) => nowMs - peer.lastSeenAtMs));
    this.take(
      peers.map((peer) => peer.heartbeat.loads),
      { boxes: peers.length + 1, ageMs },
    );
  }

  /** Writes the loads of the others into the table. */
  private take(lists: readonly LoadList[], { boxes, ageMs }: LoadCoverage): void {
    this.taken = { boxes, ageMs };
    this.takenAtMs = this.options.now();
    applyPeerLoads(this.options.table, lists);
  }

  private tellSpeakers(): void {
    const { mesh, table, hall, promptHolders: homes, demand } = this.options;
    this.toldLoads = listOwnLoads(table);
    const news = homes.takeUnsent(MAX_KEPT_PAIRS);
    this.keepHomesForAll(news);
    const prompts = demand.takeCounts();
    this.demands.addBoxCounts(prompts);
    const frame: BoxLoads = {
      type: 'boxLoads',
      address: mesh.address,
      loads: [...this.toldLoads],
      homes: news,
      prompts,
    };
    for (const address of this.listSpeakers((other) => other === hall)) mesh.send(address, frame);
  }

  /** Whether this box speaks: the first of its hall, or the second if the first is not heard. */
  private mustSpeak(nowMs: number): boolean {
    const place = this.findPlace();
    return place === 0 || (place < SPEAKERS_PER_HALL && nowMs - this.heardFleetAtMs > COVER_MS);
  }

  /**
   * A prompt that has just become hot fills its home until all boxes know of it: a speaker tells at once, once between two
   * of its regular sums.
   */
  private speakEarly(): void {
    const nowMs = this.options.now();
    if (this.spokeEarlyAtMs >= this.tickedAtMs || !this.mustSpeak(nowMs)) return;
    this.spokeEarlyAtMs = nowMs;
    this.demands.updateHot(nowMs);
    this.speak(nowMs);
  }

  private speak(nowMs: number): void {
    const { mesh, hall, demand } = this.options;
    const { ownHall, others, fleet } = this.addUp(nowMs);
    this.take([others], fleet);
    const hot = this.demands.listHot();
    demand.setHotPrompts(hot, nowMs);
    const hallFrame: HallLoads = {
      type: 'hallLoads',
      hall,
      loads: [...ownHall.loads],
      coverage: toCoverage(ownHall),
      homes: this.fleetHomes.splice(0),
      prompts: this.demands.listHallCounts(),
    };
    for (const address of this.listSpeakers((other) => other !== hall)) mesh.send(address, hallFrame);
    const fleetFrame: FleetLoads = {
      type: 'fleetLoads',
      loads: [...fleet.loads],
      coverage: toCoverage(fleet),
      homes: this.hallHomes.splice(0),
      prompts: hot,
      passTo: [],
    };
    this.spread(fleetFrame, this.listHallRanks());
  }

  /** What the own hall holds, what all boxes but this one hold, and what all hold. */
  private addUp(nowMs: number): { ownHall: LoadSum; others: LoadList; fleet: LoadSum } {
    const hallPeers = sumLoadReports(this.boxes.listRecent(nowMs), nowMs);
    const halls = sumLoadReports(this.halls.listRecent(nowMs), nowMs);
    const others = addPairs([hallPeers.loads, halls.loads]);
    const boxes = hallPeers.boxes + 1;
    return {
      ownHall: {
        loads: addPairs([hallPeers.loads, this.toldLoads]),
        boxes,
        ageMs: hallPeers.ageMs,
      },
      others,
      fleet: {
        loads: addPairs([others, this.toldLoads]),
        boxes: boxes + halls.boxes,
        ageMs: Math.max(hallPeers.ageMs, halls.ageMs),
      },
    };
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
    for (const { receiver: head, passTo } of planFanOut(ranks, (rank) => addresses.has(rank))) {
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
    const { mesh, hall } = this.options;
    return findHallPosition(mesh, hall, (address) => this.rank(address));
  }

  private listHallPeers(): Heartbeat[] {
    return this.listLive().filter((peer) => peer.hall === this.options.hall);
  }

  private listLive(): Heartbeat[] {
    return this.options.mesh.listReachable().filter((heartbeat) => !heartbeat.isStopping);
  }

  private rank(address: string): number {
    return this.options.hash(address);
  }
}

function toCoverage({ boxes, ageMs }: LoadSum): LoadCoverage {
  return { boxes, ageMs };
}
