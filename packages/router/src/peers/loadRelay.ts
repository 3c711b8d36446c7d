/**
 * Distributes the loads of endpoints, and with them prompt holders, prompt demand and paces. In a small fleet heartbeats carry
 * all of it to every box. In a larger one each box sends it to two aggregators of its hall. An aggregator sends the sum of
 * its hall to the aggregators of the other halls, and the sum of the fleet to a few boxes of its own hall, which relay it.
 * So a box sends and reads a few frames per second, whatever the size of the fleet.
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
import { HolderQueue, MAX_HOLDERS_PER_SUM } from './holderQueue.js';
import type { LoadViewStatus } from './loadView.js';
import { LoadView } from './loadView.js';
import type { PaceField, PaceRelay } from './paceRelay.js';
import type { PeerMesh } from './peerMesh.js';

/** Aggregators of a hall; the second one backs up the first. */
const AGGREGATORS_PER_HALL = 2;
/** Interval in a large fleet. Loads are relayed by two or three boxes: at most a second old, on average half of that. */
const LOAD_INTERVAL_MS = 500;
/** The second aggregator takes over when the first one has missed two intervals. */
const TAKEOVER_MS = 2 * LOAD_INTERVAL_MS + LOAD_INTERVAL_MS / 2;

/** Maximum number of prompt holders sent on a new link: about ten kilobytes, once. */
const MAX_HOLDERS_ON_NEW_LINK = 1_024;

/** Maximum number of demand lists that wait for a heartbeat. More would mean that heartbeats are no longer sent. */
const MAX_UNSENT_DEMAND_LISTS = 4;

/** Coverage of sums from boxes of an earlier version, which do not report it. */
const UNKNOWN_COVERAGE = { boxes: 0, ageMs: 0 } as const;

export type { LoadViewStatus } from './loadView.js';

/** Dependencies and settings of the relay. */
export interface LoadRelayOptions {
  readonly mesh: PeerMesh;
  readonly table: EndpointTable;
  readonly promptHolders: PromptHolders;
  readonly demand: PromptDemand;
  readonly paces: PaceRelay;
  readonly hall: string;
  readonly hash: (text: string) => number;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
  readonly now: () => number;
  /** Called twice a second, in a small fleet at the interval of heartbeats. */
  readonly onViewStatus: (status: LoadViewStatus) => void;
}

/** Sends, relays and applies loads for one box. */
export class LoadRelay {
  private readonly boxLoads = new RecentReports<LoadSum>();
  private readonly hallLoads = new RecentReports<LoadSum>();
  private readonly demandAggregate = new DemandAggregate();
  private unsentDemand: PairList[] = [];
  private demandUpdatedAtMs = -Infinity;
  private tickedAtMs = -Infinity;
  private sentEarlyAtMs = -Infinity;
  /** When the loads of the fleet were last received from an aggregator. */
  private fleetLoadsAtMs = -Infinity;
  /** The loads that this box sent last, which the received sums therefore include. */
  private sentLoads: LoadList = [];
  private readonly view: LoadView;
  /** Prompt holders that this box, if it aggregates, has yet to send to its own hall and to the other halls. */
  private readonly holdersForOwnHall = new HolderQueue();
  private readonly holdersForOtherHalls = new HolderQueue();

  constructor(private readonly options: LoadRelayOptions) {
    this.view = new LoadView(options);
  }

  /** Runs once per tick of the loop and acts at its own interval. */
  tick(): void {
    const { mesh, now } = this.options;
    const nowMs = now();
    if (mesh.isFullMesh) this.updateDemand(nowMs);
    if (nowMs - this.tickedAtMs < (mesh.isFullMesh ? mesh.heartbeatIntervalMs : LOAD_INTERVAL_MS)) return;
    this.tickedAtMs = nowMs;
    if (mesh.isFullMesh) this.applyHeartbeatLoads(nowMs);
    else this.exchangeLoads(nowMs);
    this.options.paces.tick(nowMs);
    this.options.onViewStatus(this.readViewStatus());
  }

  /** Completeness and age of this box's view of the loads of other boxes. */
  readViewStatus(): LoadViewStatus {
    return this.view.readStatus();
  }

  /** Age of the oldest loads that this box knows; infinite before the first. */
  readLoadAgeMs(): number {
    return this.view.readAgeMs();
  }

  /** In a small fleet, the prompt demand at this box since its last heartbeat: every box sums the demand of all boxes. */
  takeDemandForHeartbeat(): number[] | undefined {
    if (!this.options.mesh.isFullMesh) return undefined;
    this.collectOwnDemand();
    const prompts = [...addPairs(this.unsentDemand)];
    this.unsentDemand = [];
    return prompts.length > 0 ? prompts : undefined;
  }

  /** In a small fleet, the paces that this box has observed. */
  takePacesForHeartbeat(): PaceField {
    const { mesh, paces, now } = this.options;
    return mesh.isFullMesh ? paces.takeForHeartbeat(now()) : {};
  }

  /** Records the prompt demand and the paces in the heartbeat of a peer. */
  handleHeartbeat({ prompts = [], paces }: Heartbeat): void {
    this.demandAggregate.addBoxCounts(prompts);
    this.options.paces.apply(paces, this.options.now());
  }

  /** Records the loads of a box of the hall, which sends them to this box as an aggregator. */
  handleBoxLoads(frame: BoxLoads): void {
    this.options.promptHolders.addReported(frame.homes);
    this.queueHoldersForAllHalls(frame.homes);
    this.demandAggregate.addBoxCounts(frame.prompts);
    this.options.paces.addOwnHall(frame.paces);
    this.boxLoads.record(frame.address, { loads: frame.loads, boxes: 1, ageMs: 0 }, this.options.now());
    if (this.demandAggregate.takeNewlyHot()) this.sendSumsEarly();
  }

  /** Records the sum of another hall, sent by its aggregator. */
  handleHallLoads(frame: HallLoads): void {
    if (frame.hall === this.options.hall) return;
    this.options.promptHolders.addReported(frame.homes);
    this.holdersForOwnHall.add(frame.homes);
    this.options.paces.addOtherHall(frame.paces);
    this.demandAggregate.setHallCounts(frame.hall, frame.prompts, this.options.now());
    const { boxes, ageMs } = frame.coverage ?? UNKNOWN_COVERAGE;
    this.hallLoads.record(frame.hall, { loads: frame.loads, boxes, ageMs }, this.options.now());
  }

  /** Applies the sum of the fleet, sent by an aggregator of this hall, and relays it. */
  handleFleetLoads(frame: FleetLoads): void {
    this.fleetLoadsAtMs = this.options.now();
    this.options.promptHolders.addReported(frame.homes);
    this.options.demand.setHotPrompts(frame.prompts, this.fleetLoadsAtMs);
    this.options.paces.apply(frame.paces, this.fleetLoadsAtMs);
    this.view.apply([subtractLoads(frame.loads, this.sentLoads)], frame.coverage ?? UNKNOWN_COVERAGE);
    this.relayFleetLoads(frame, frame.passTo);
  }

  /** Prompt holders to send on a new link: from every box in a small fleet, from the first of each hall in a large one. */
  listHoldersForNewLink(): HolderList {
    const { mesh, promptHolders } = this.options;
    return mesh.isFullMesh || this.findOwnPosition() === 0
      ? promptHolders.listRecent(MAX_HOLDERS_ON_NEW_LINK)
      : [];
  }

  /** Queues prompt holders that a box of this hall has learned, for the own hall and for the other halls. */
  private queueHoldersForAllHalls(holders: HolderList): void {
    this.holdersForOwnHall.add(holders);
    this.holdersForOtherHalls.add(holders);
  }

  /** Sends the loads of this box, and the sums if this box aggregates. */
  private exchangeLoads(nowMs: number): void {
    this.sendToAggregators();
    this.demandAggregate.endPeriod(nowMs);
    if (this.mustAggregate(nowMs)) return this.sendSums(nowMs);
    this.options.paces.dropSums();
    if (nowMs - this.fleetLoadsAtMs > REPORT_TTL_MS) applyPeerLoads(this.options.table, []);
  }

  /** Keeps the prompt demand at this box for its next heartbeat. Drops the oldest lists if none is sent. */
  private collectOwnDemand(): void {
    const counts = this.options.demand.takeCounts();
    if (counts.length === 0) return;
    this.demandAggregate.addBoxCounts(counts);
    this.unsentDemand = [...this.unsentDemand, counts].slice(-MAX_UNSENT_DEMAND_LISTS);
  }

  /** In a small fleet each box determines by itself which prompts are hot. */
  private updateDemand(nowMs: number): void {
    if (nowMs - this.demandUpdatedAtMs < LOAD_INTERVAL_MS) return;
    this.demandUpdatedAtMs = nowMs;
    this.collectOwnDemand();
    this.demandAggregate.endPeriod(nowMs);
    this.options.demand.setHotPrompts(this.demandAggregate.listHot(), nowMs);
  }

  private applyHeartbeatLoads(nowMs: number): void {
    const { mesh } = this.options;
    const peers = mesh.listRecentlySeen();
    const ageMs = Math.max(0, ...peers.map((peer) => nowMs - peer.lastSeenAtMs));
    this.view.apply(
      peers.map((peer) => peer.heartbeat.loads),
      { boxes: peers.length + 1, ageMs },
    );
  }

  private sendToAggregators(): void {
    const { mesh, table, hall, promptHolders, demand, paces, now } = this.options;
    this.sentLoads = listOwnLoads(table);
    const holders = promptHolders.takeUnsent(MAX_HOLDERS_PER_SUM);
    this.queueHoldersForAllHalls(holders);
    const prompts = demand.takeCounts();
    this.demandAggregate.addBoxCounts(prompts);
    const frame: BoxLoads = {
      type: 'boxLoads',
      address: mesh.address,
      loads: [...this.sentLoads],
      homes: holders,
      prompts,
      ...paces.takeForAggregators(now()),
    };
    for (const address of this.listAggregators((other) => other === hall)) mesh.send(address, frame);
  }

  /** Whether this box aggregates: it is the first of its hall, or the second and receives nothing from the first. */
  private mustAggregate(nowMs: number): boolean {
    const position = this.findOwnPosition();
    return position === 0 || (position < AGGREGATORS_PER_HALL && nowMs - this.fleetLoadsAtMs > TAKEOVER_MS);
  }

  /**
   * Until all boxes know that a prompt has become hot, its requests overload its preferred endpoint. An aggregator therefore
   * sends its sums at once, at most once between two regular ones.
   */
  private sendSumsEarly(): void {
    const nowMs = this.options.now();
    if (this.sentEarlyAtMs >= this.tickedAtMs || !this.mustAggregate(nowMs)) return;
    this.sentEarlyAtMs = nowMs;
    this.demandAggregate.updateHot(nowMs);
    this.sendSums(nowMs);
  }

  private sendSums(nowMs: number): void {
    const { mesh, hall, demand, paces } = this.options;
    const paceReports = paces.takeSums(nowMs);
    const { ownHall, others, fleet } = this.sumLoads(nowMs);
    this.view.apply([others], fleet);
    const hot = this.demandAggregate.listHot();
    demand.setHotPrompts(hot, nowMs);
    const hallFrame: HallLoads = {
      type: 'hallLoads',
      hall,
      loads: [...ownHall.loads],
      coverage: toCoverage(ownHall),
      homes: this.holdersForOtherHalls.take(),
      prompts: this.demandAggregate.listHallCounts(),
      ...paceReports.ownHall,
    };
    for (const address of this.listAggregators((other) => other !== hall)) mesh.send(address, hallFrame);
    const fleetFrame: FleetLoads = {
      type: 'fleetLoads',
      loads: [...fleet.loads],
      coverage: toCoverage(fleet),
      homes: this.holdersForOwnHall.take(),
      prompts: hot,
      ...paceReports.fleet,
      passTo: [],
    };
    this.relayFleetLoads(fleetFrame, this.listHallRanks());
  }

  /** Sums of the loads of the own hall, of all boxes except this one, and of all boxes. */
  private sumLoads(nowMs: number): { ownHall: LoadSum; others: LoadList; fleet: LoadSum } {
    const hallPeers = sumLoadReports(this.boxLoads.listRecent(nowMs), nowMs);
    const halls = sumLoadReports(this.hallLoads.listRecent(nowMs), nowMs);
    const others = addPairs([hallPeers.loads, halls.loads]);
    const boxes = hallPeers.boxes + 1;
    return {
      ownHall: {
        loads: addPairs([hallPeers.loads, this.sentLoads]),
        boxes,
        ageMs: hallPeers.ageMs,
      },
      others,
      fleet: {
        loads: addPairs([others, this.sentLoads]),
        boxes: boxes + halls.boxes,
        ageMs: Math.max(hallPeers.ageMs, halls.ageMs),
      },
    };
  }

  /**
   * Ranks of the other boxes of the hall in random order, so that a box that fails to relay does not cut off the same boxes
   * each time.
   */
  private listHallRanks(): number[] {
    const { random } = this.options;
    return this.listHallPeers()
      .map((peer) => ({ rank: this.rank(peer.address), order: random() }))
      .sort((a, b) => a.order - b.order)
      .map(({ rank }) => rank);
  }

  /** Sends the sum of the fleet to some boxes of the hall, which relay it to the rest. */
  private relayFleetLoads(frame: FleetLoads, ranks: readonly number[]): void {
    if (ranks.length === 0) return;
    const { mesh } = this.options;
    const addresses = new Map(this.listHallPeers().map(({ address }) => [this.rank(address), address]));
    for (const { receiver, passTo } of planFanOut(ranks, (rank) => addresses.has(rank))) {
      const address = addresses.get(receiver);
      if (address !== undefined) mesh.send(address, { ...frame, passTo: [...passTo] });
    }
  }

  /** The first boxes of each selected hall except this box, by the rank on which all boxes agree. */
  private listAggregators(isSelected: (hall: string) => boolean): string[] {
    const byHall = new Map<string, string[]>();
    for (const { hall, address } of this.listLive()) {
      if (!isSelected(hall)) continue;
      const addresses = byHall.get(hall);
      if (addresses === undefined) byHall.set(hall, [address]);
      else addresses.push(address);
    }
    return [...byHall.values()].flatMap((addresses) =>
      addresses.sort((a, b) => this.rank(a) - this.rank(b)).slice(0, AGGREGATORS_PER_HALL),
    );
  }

  /** Number of live boxes of the hall that rank before this one. */
  private findOwnPosition(): number {
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
