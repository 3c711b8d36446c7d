/**
 * Simulates callers and endpoints of a virtual fleet. The boxes exchange loads and place requests with the production code;
 * the endpoints count the requests that they actually have in flight.
 */
import { createHasher } from '@hazelwalk/core';
import type { Hasher } from '@hazelwalk/core';
import { createRandom, drawExponential, drawLogNormal } from '@hazelwalk/standins';
import type { VirtualBox, VirtualProgram } from '../membership/__fixtures__/virtualFleet.js';
import { VirtualFleet } from '../membership/__fixtures__/virtualFleet.js';
import type { PeerMesh } from '../peers/peerMesh.js';
import type { PromptPart } from '../records.js';
import { recordAnnouncements } from '../systems/endpointNotices.js';
import { assumeCold } from '../tables/endpointTable.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import { AnnouncementChecker } from './announcementChecker.js';
import type { BoxRequest } from './announcementChecker.js';
import { findWorstShare } from './arrivals.js';
import type { Arrival } from './arrivals.js';
import { createListing } from './createEndpoints.js';
import { ResponseTimes } from './responseTimes.js';
import type { TrafficPlan, VirtualLoad, VirtualService } from './trafficPlan.js';
import { countMaxWithinSecond } from './trafficPlan.js';
import type { ServiceStats, VirtualEndpoint } from './virtualEndpoint.js';
import { createVirtualEndpoint } from './virtualEndpoint.js';
import { VirtualRouter } from './virtualRouter.js';

/** Network latency between a box and an endpoint. */
const SEND_MS = 2;
const MS_PER_S = 1_000;
/** The deployments' load bound of an endpoint: a multiple of the mean load of its service plus a fixed allowance. */
const BOUND_FACTOR = 2;
const BOUND_ALLOWANCE = 3;

/**
 * Range of the time that an update of an endpoint takes to reach a box. It differs from box to box, because the endpoint's
 * liveness signal and each relay add their own delay.
 */
interface PropagationDelay {
  readonly minMs: number;
  readonly maxMs: number;
}

/** The first entry of an endpoint is written as it starts and is relayed by one watcher at most. */
const FIRST_ENTRY_DELAY: PropagationDelay = { minMs: 20, maxMs: 1_300 };
/** A change is not written until the endpoint's next liveness signal. */
const CHANGE_DELAY: PropagationDelay = { minMs: 20, maxMs: 2_500 };

/** A virtual fleet that serves callers. */
export class VirtualTraffic {
  private readonly endpoints = new Map<string, VirtualEndpoint>();
  private readonly statsByService = new Map<string, ServiceStats>();
  private readonly routers = new WeakMap<VirtualBox, VirtualRouter>();
  private readonly random: () => number;
  readonly announcementChecker = new AnnouncementChecker();
  readonly responseTimes = new ResponseTimes();
  fleet!: VirtualFleet;
  /** Requests for which a box found no endpoint. */
  refused = 0;

  private constructor(
    private readonly plan: TrafficPlan,
    private readonly hasher: Hasher,
  ) {
    this.random = createRandom(plan.fleet.seed + 1);
    for (const service of plan.services) this.addEndpoints(service);
  }

  /** Creates the fleet. Callers send requests after `start`. */
  static async create(plan: TrafficPlan): Promise<VirtualTraffic> {
    const traffic = new VirtualTraffic(plan, await createHasher());
    const createProgram = (box: VirtualBox, mesh: PeerMesh): VirtualProgram =>
      traffic.createRouter(box, mesh);
    traffic.fleet = await VirtualFleet.create({ ...plan.fleet, createProgram });
    return traffic;
  }

  /** Starts sending requests at the rates of the plan. */
  start(): void {
    for (const load of this.plan.loads) this.scheduleNext(load);
  }

  /** Sends one request from each of several callers at the same time. */
  sendConcurrentCalls(load: VirtualLoad, callers: number): void {
    for (let count = 0; count < callers; count += 1) this.sendCall(load);
  }

  /**
   * Returns the highest share, in any window, of a service's requests that arrived at an endpoint over the load bound.
   *
   * @param isIgnored whether an arrival does not count
   */
  findWorstOverBoundShare(service: string, isIgnored: (arrival: Arrival) => boolean = () => false): number {
    const { arrivals } = this.findServiceStats(service);
    return findWorstShare(arrivals.filter((arrival) => !isIgnored(arrival)));
  }

  /** Makes an endpoint slower than the others of its service. */
  slowDown(id: string, times: number): void {
    this.findEndpoint(id).slowdownFactor = times;
  }

  /** Returns the pace of an endpoint as each box estimates it. */
  listPaces(id: string): number[] {
    return this.fleet.boxes.map((box) => this.routers.get(box)?.table.byId.get(id)?.pace ?? 1);
  }

  /** Returns the number of requests that an endpoint accepted. */
  countAccepted(id: string): number {
    return this.findEndpoint(id).acceptedCount;
  }

  /** Makes endpoints announce in their responses that they are about to leave, while they stay listed as live. */
  announceLeaving(ids: readonly string[]): void {
    for (const id of ids) this.findEndpoint(id).isLeaving = true;
  }

  /** Makes endpoints reject every request and ask for a back-off; with 0 they serve requests again. */
  rejectRequests(ids: readonly string[], backOffMs: number): void {
    for (const id of ids) this.findEndpoint(id).backOffMs = backOffMs;
  }

  /** Sends every box the listings of endpoints again, with their state as live. */
  relistAsLive(ids: readonly string[]): void {
    for (const id of ids) {
      const { listing } = this.findEndpoint(id);
      this.updateEachRouter((router, nowMs) => router.table.upsert({ ...listing }, nowMs));
    }
  }

  /** Orders the evacuation of a hall. The order reaches the boxes at different times. */
  evacuate(hall: string): void {
    this.updateEachRouter((router, nowMs) => router.evacuations.apply({ type: 'ordered', hall }, nowMs));
  }

  /** Revokes the evacuation of a hall and makes its endpoints cold. */
  revokeEvacuation(hall: string): void {
    for (const [id, { listing }] of this.endpoints)
      if (listing.hall === hall) this.makeCold(id, CHANGE_DELAY);
    this.updateEachRouter((router, nowMs) => {
      router.evacuations.apply({ type: 'takenBack', hall }, nowMs);
      for (const row of router.table.byId.values()) if (row.listing.hall === hall) assumeCold(row, nowMs);
    });
  }

  /** Applies an update to the router of each box after the delay of a first entry. */
  private updateEachRouter(update: (router: VirtualRouter, nowMs: number) => void): void {
    const { timeline, boxes } = this.fleet;
    const { minMs, maxMs } = FIRST_ENTRY_DELAY;
    for (const box of boxes) {
      timeline.after(minMs + this.random() * (maxMs - minMs), () => {
        const router = this.routers.get(box);
        if (router !== undefined) update(router, timeline.nowMs);
      });
    }
  }

  /** Starts more endpoints at the same time, all cold. Returns their ids. */
  startCold(service: string, count: number, name = 'new'): string[] {
    const plan = this.findService(service);
    const ids = Array.from({ length: count }, (_, at) => `${service}-${name}-${at}`);
    ids.forEach((id, at) => {
      this.addEndpoint(plan, id, at);
      this.makeCold(id, FIRST_ENTRY_DELAY);
    });
    return ids;
  }

  /** Makes warm endpoints cold, all at the same time. */
  turnCold(ids: readonly string[]): void {
    for (const id of ids) this.makeCold(id, CHANGE_DELAY);
  }

  /** Returns the highest number of requests that arrived at any cold endpoint within one second. */
  findMaxColdPerSecond(): number {
    return Math.max(
      ...[...this.endpoints.values()].map(({ coldArrivalsMs }) => countMaxWithinSecond(coldArrivalsMs)),
    );
  }

  /** Returns the number of requests that arrived at cold endpoints. */
  countColdRequests(): number {
    return [...this.endpoints.values()].reduce((sum, { coldArrivalsMs }) => sum + coldArrivalsMs.length, 0);
  }

  /** Makes an endpoint cold at once, and lists it as cold at each box after a delay. */
  private makeCold(id: string, { minMs, maxMs }: PropagationDelay): void {
    const endpoint = this.findEndpoint(id);
    const { startMs = 0 } = this.findService(endpoint.listing.service).coldStart ?? {};
    const { timeline } = this.fleet;
    endpoint.coldUntilMs = timeline.nowMs + startMs;
    for (const box of this.fleet.boxes) {
      const listing = { ...endpoint.listing, coldMs: startMs };
      timeline.after(minMs + this.random() * (maxMs - minMs), () =>
        this.routers.get(box)?.table.upsert(listing, timeline.nowMs),
      );
    }
  }

  private findService(name: string): VirtualService {
    const service = this.plan.services.find((candidate) => candidate.name === name);
    if (service === undefined) throw new Error(`the traffic plan has no service ${name}`);
    return service;
  }

  private findEndpoint(id: string): VirtualEndpoint {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined) throw new Error(`the fleet has no endpoint ${id}`);
    return endpoint;
  }

  /** Pauses each box at random: it runs for `runMs` and is paused for `pauseMs` on average. */
  pauseRandomly(runMs: number, pauseMs: number): void {
    for (const box of this.fleet.boxes) this.schedulePause(box, runMs, pauseMs);
  }

  private schedulePause(box: VirtualBox, runMs: number, pauseMs: number): void {
    const { timeline, network } = this.fleet;
    timeline.after(drawExponential(this.random, runMs), () => {
      network.setState(box.address, 'paused');
      timeline.after(drawExponential(this.random, pauseMs), () => {
        network.setState(box.address, 'running');
        this.schedulePause(box, runMs, pauseMs);
      });
    });
  }

  private createRouter(box: VirtualBox, mesh: PeerMesh): VirtualRouter {
    const now = (): number => this.fleet.timeline.nowMs;
    const router = new VirtualRouter(box, mesh, this.hasher, now, this.random, this.plan.isPaceWeighted);
    for (const { listing } of this.endpoints.values()) router.table.upsert(listing, 0);
    this.routers.set(box, router);
    return router;
  }

  private addEndpoints(service: VirtualService): void {
    const { name, endpoints } = service;
    this.statsByService.set(name, { endpoints, inFlight: 0, arrivals: [] });
    for (let at = 0; at < endpoints; at += 1) this.addEndpoint(service, `${name}-${at}`, at);
  }

  private addEndpoint({ name, slots }: VirtualService, id: string, at: number): void {
    const hall = `hall-${at % this.plan.fleet.halls}`;
    this.endpoints.set(id, createVirtualEndpoint(createListing(id, { service: name, hall, slots })));
  }

  private findServiceStats(service: string): ServiceStats {
    const stats = this.statsByService.get(service);
    if (stats === undefined) throw new Error(`the traffic plan has no service ${service}`);
    return stats;
  }

  private scheduleNext(load: VirtualLoad): void {
    this.fleet.timeline.after(drawExponential(this.random, MS_PER_S / load.perS), () => {
      this.sendCall(load);
      this.scheduleNext(load);
    });
  }

  /** Sends a request to a random box. A paused box processes it after the pause. */
  private sendCall(load: VirtualLoad): void {
    const running = this.fleet.boxes.filter((box) => {
      const { state } = this.fleet.network.readMachine(box.address);
      return state === 'running' || state === 'paused';
    });
    const box = running[Math.floor(this.random() * running.length)];
    if (box === undefined) return;
    const { run } = this.fleet.network.readMachine(box.address);
    const promptParts = this.drawPrompt(load);
    const request = { box, run, sentAtMs: this.fleet.timeline.nowMs };
    this.fleet.network.actIn(box.address, run, () => this.send(request, load, promptParts, new Set()));
  }

  private drawPrompt(load: VirtualLoad): PromptPart[] {
    if (load.prompts === 0) return [];
    const isForHotPrompt = this.random() < (load.hotShare ?? 0);
    const which = isForHotPrompt ? 0 : Math.floor(this.random() * load.prompts);
    const own = `own-${this.random()}`;
    return [
      { id: `${load.workMs}-${which}`, tokens: 900 },
      { id: own, tokens: 100 },
    ];
  }

  /** Places a request at a box and sends it to the chosen endpoint; a first attempt that fails is sent again. */
  private send(
    request: BoxRequest,
    load: VirtualLoad,
    promptParts: PromptPart[],
    excluded: Set<string>,
  ): void {
    const { timeline, network } = this.fleet;
    const { box, run } = request;
    const router = this.routers.get(box);
    const choice = router?.placement.choose(
      {
        service: load.service,
        coldStart: this.findService(load.service).coldStart,
        promptParts,
        excluded,
      },
      timeline.nowMs,
    );
    if (choice === undefined) {
      this.refused += 1;
      return;
    }
    const { row } = choice;
    row.inFlight += 1;
    const attemptedAtMs = timeline.nowMs;
    const onResponse = (backOffMs: number | undefined): void =>
      network.actIn(box.address, run, () => {
        row.inFlight -= 1;
        if (backOffMs === undefined) this.recordPace(router, row, attemptedAtMs);
        this.handleResponse(request, row, backOffMs);
        if (excluded.size > 0) return;
        const isFailed = backOffMs !== undefined || this.random() < (load.failShare ?? 0);
        if (isFailed) this.send(request, load, promptParts, new Set([row.listing.id]));
      });
    timeline.after(SEND_MS, () => this.deliver(request, row, load, onResponse));
  }

  /** Passes what a successful response shows about the pace of its endpoint to the box. */
  private recordPace(router: VirtualRouter | undefined, row: EndpointRow, attemptedAtMs: number): void {
    const { slowdownFactor, listing } = this.findEndpoint(row.listing.id);
    const tookMs = this.fleet.timeline.nowMs - attemptedAtMs;
    this.responseTimes.record(listing.id, { sentAtMs: attemptedAtMs, tookMs });
    if (this.plan.isPaceReported === true) router?.paces.observe(row, slowdownFactor);
  }

  /** Processes the head of a response at a box. */
  private handleResponse(request: BoxRequest, row: EndpointRow, backOffMs: number | undefined): void {
    const { isLeaving, listing } = this.findEndpoint(row.listing.id);
    const isNotRun = backOffMs !== undefined;
    const metadata = { requestId: 'r', isSealed: !isNotRun, isNotRun, isLeaving, backOffMs };
    const { nowMs } = this.fleet.timeline;
    recordAnnouncements(row, metadata, nowMs);
    if (isLeaving) this.announcementChecker.recordLeaveAnnouncement(request, listing.id, nowMs);
  }

  /** Delivers a request to an endpoint; `onResponse` receives the requested back-off if the request is rejected. */
  private deliver(
    request: BoxRequest,
    row: EndpointRow,
    load: VirtualLoad,
    onResponse: (backOffMs: number | undefined) => void,
  ): void {
    const endpoint = this.findEndpoint(row.listing.id);
    const { backOffMs } = endpoint;
    this.announcementChecker.recordArrival(request, endpoint.listing.id, this.fleet.timeline.nowMs);
    if (backOffMs > 0) {
      this.announcementChecker.recordBackOff(
        request,
        endpoint.listing.id,
        this.fleet.timeline.nowMs,
        backOffMs,
      );
      this.fleet.timeline.after(SEND_MS, () => onResponse(backOffMs));
      return;
    }
    const stats = this.findServiceStats(load.service);
    const bound = BOUND_FACTOR * (stats.inFlight / stats.endpoints) + BOUND_ALLOWANCE;
    const isOverBound = endpoint.inFlight > bound;
    stats.arrivals.push({ atMs: this.fleet.timeline.nowMs, endpoint: endpoint.listing.id, isOverBound });
    stats.inFlight += 1;
    endpoint.inFlight += 1;
    endpoint.acceptedCount += 1;
    const { nowMs } = this.fleet.timeline;
    if (nowMs < endpoint.coldUntilMs) endpoint.coldArrivalsMs.push(nowMs);
    const begin = (): void => {
      const workMs = endpoint.slowdownFactor * drawLogNormal(this.random, load.workMs, load.spread);
      this.fleet.timeline.after(workMs, () => {
        stats.inFlight -= 1;
        endpoint.inFlight -= 1;
        endpoint.queue.shift()?.();
        this.fleet.timeline.after(SEND_MS, () => onResponse(undefined));
      });
    };
    if (endpoint.inFlight <= endpoint.listing.slots) begin();
    else endpoint.queue.push(begin);
  }
}
