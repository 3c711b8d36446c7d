/**
 * Callers and endpoints around a virtual fleet: every box spreads its loads and chooses endpoints with the code that
 * ships, and the endpoints count what they really hold.
 */
import { createHasher } from '@hazelwalk/core';
import type { Hasher } from '@hazelwalk/core';
import { createRandom, drawExponential, drawLogNormal } from '@hazelwalk/standins';
import type { VirtualBox, VirtualProgram } from '../membership/__fixtures__/virtualFleet.js';
import { VirtualFleet } from '../membership/__fixtures__/virtualFleet.js';
import type { PeerMesh } from '../peers/peerMesh.js';
import type { ListedEndpoint, PromptPart } from '../records.js';
import { recordAnnouncements } from '../systems/endpointNotices.js';
import { assumeCold } from '../tables/endpointTable.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import { AnnouncementChecker } from './announcementJudge.js';
import type { BoxRequest } from './announcementJudge.js';
import { createListing } from './createEndpoints.js';
import type { TrafficPlan, VirtualLoad, VirtualService } from './trafficPlan.js';
import { countMost } from './trafficPlan.js';
import { VirtualRouter } from './virtualRouter.js';

/** From a box to an endpoint. */
const SEND_MS = 2;
const MS_PER_S = 1_000;
/** The deployments' bound on what an endpoint holds: a multiple of its service's mean, and so many requests on top. */
const BOUND_FACTOR = 2;
const BOUND_ALLOWANCE = 3;
/** Length of the windows that the bound is judged by. */
const WINDOW_MS = 5_000;
/** Fewer requests than this over the bound in one window are not judged. */
const LEAST_OVER = 20;

/** News of an endpoint reach each box at a moment of its own: its sign of life comes late, and so do those who pass it on. */
interface NewsLag {
  readonly leastMs: number;
  readonly mostMs: number;
}

/** An endpoint's first entry is written as it starts, and passes a follower at the most. */
const FIRST_NEWS: NewsLag = { leastMs: 20, mostMs: 1_300 };
/** A change waits for the endpoint's next sign of life before that. */
const CHANGE_NEWS: NewsLag = { leastMs: 20, mostMs: 2_500 };

interface VirtualEndpoint {
  readonly listing: ListedEndpoint;
  held: number;
  /** Its work takes so many times as long as that of others. */
  slowness: number;
  taken: number;
  /** Until then it bears little. */
  coldUntilMs: number;
  /** When requests came while it was cold. */
  readonly coldArrivalsMs: number[];
  /** Whether its responses announce that it is about to leave. */
  isLeaving: boolean;
  /** Back-off that it asks for in rejecting every request; 0 while it serves requests. */
  backOffMs: number;
  readonly waiting: (() => void)[];
}

/** What the endpoints of one service hold together, and what came to them. */
interface ServiceTally {
  readonly endpoints: number;
  held: number;
  readonly arrivals: Arrival[];
}

interface Arrival {
  readonly atMs: number;
  readonly isOver: boolean;
}

/** A fleet that serves callers. */
export class VirtualTraffic {
  private readonly endpoints = new Map<string, VirtualEndpoint>();
  private readonly tallies = new Map<string, ServiceTally>();
  private readonly routers = new WeakMap<VirtualBox, VirtualRouter>();
  private readonly random: () => number;
  readonly announcementChecker = new AnnouncementChecker();
  fleet!: VirtualFleet;
  /** Requests for which a box had no endpoint. */
  refused = 0;

  private constructor(
    private readonly plan: TrafficPlan,
    private readonly hasher: Hasher,
  ) {
    this.random = createRandom(plan.fleet.seed + 1);
    for (const service of plan.services) this.addEndpoints(service);
  }

  /** Creates the fleet; callers come from `start` on. */
  static async create(plan: TrafficPlan): Promise<VirtualTraffic> {
    const traffic = new VirtualTraffic(plan, await createHasher());
    const createProgram = (box: VirtualBox, mesh: PeerMesh): VirtualProgram =>
      traffic.createRouter(box, mesh);
    traffic.fleet = await VirtualFleet.create({ ...plan.fleet, createProgram });
    return traffic;
  }

  /** Callers begin. */
  start(): void {
    for (const load of this.plan.loads) this.scheduleNext(load);
  }

  /** So many callers call in the same moment. */
  callAtOnce(load: VirtualLoad, callers: number): void {
    for (let count = 0; count < callers; count += 1) this.call(load);
  }

  /** The worst share, over any window that counts, of a service's requests that met an endpoint over the bound. */
  readWorstShare(service: string): number {
    const { arrivals } = this.findTally(service);
    let worst = 0;
    let end = 0;
    let over = 0;
    for (let begin = 0; begin < arrivals.length; begin += 1) {
      const untilMs = (arrivals[begin]?.atMs ?? 0) + WINDOW_MS;
      for (; (arrivals[end]?.atMs ?? Infinity) < untilMs; end += 1) if (arrivals[end]?.isOver) over += 1;
      if (end === arrivals.length) break;
      if (over >= LEAST_OVER) worst = Math.max(worst, over / (end - begin));
      if (arrivals[begin]?.isOver) over -= 1;
    }
    return worst;
  }

  /** Makes an endpoint slower than the others of its service. */
  slowDown(id: string, times: number): void {
    this.findEndpoint(id).slowness = times;
  }

  /** Requests that an endpoint took. */
  countTaken(id: string): number {
    return this.findEndpoint(id).taken;
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
      this.tellEach((router, nowMs) => router.table.upsert({ ...listing }, nowMs));
    }
  }

  /** Operators order a hall to be emptied; each box hears of it at a moment of its own. */
  evacuate(hall: string): void {
    this.tellEach((router, nowMs) => router.evacuations.apply({ type: 'ordered', hall }, nowMs));
  }

  /** That is taken back, and the hall's endpoints are cold. */
  takeBack(hall: string): void {
    for (const [id, { listing }] of this.endpoints) if (listing.hall === hall) this.makeCold(id, CHANGE_NEWS);
    this.tellEach((router, nowMs) => {
      router.evacuations.apply({ type: 'takenBack', hall }, nowMs);
      for (const row of router.table.byId.values()) if (row.listing.hall === hall) assumeCold(row, nowMs);
    });
  }

  private tellEach(tell: (router: VirtualRouter, nowMs: number) => void): void {
    const { timeline, boxes } = this.fleet;
    const { leastMs, mostMs } = FIRST_NEWS;
    for (const box of boxes) {
      timeline.after(leastMs + this.random() * (mostMs - leastMs), () => {
        const router = this.routers.get(box);
        if (router !== undefined) tell(router, timeline.nowMs);
      });
    }
  }

  /** More endpoints start, all at once, and are cold. Returns their ids. */
  startCold(service: string, count: number, name = 'new'): string[] {
    const plan = this.findService(service);
    const ids = Array.from({ length: count }, (_, at) => `${service}-${name}-${at}`);
    ids.forEach((id, at) => {
      this.addEndpoint(plan, id, at);
      this.makeCold(id, FIRST_NEWS);
    });
    return ids;
  }

  /** Endpoints that were warm turn cold, all at once. */
  turnCold(ids: readonly string[]): void {
    for (const id of ids) this.makeCold(id, CHANGE_NEWS);
  }

  /** The most requests that came to any cold endpoint within a second. */
  readMostColdInASecond(): number {
    return Math.max(...[...this.endpoints.values()].map(({ coldArrivalsMs }) => countMost(coldArrivalsMs)));
  }

  /** Requests that came to cold endpoints. */
  countCold(): number {
    return [...this.endpoints.values()].reduce((sum, { coldArrivalsMs }) => sum + coldArrivalsMs.length, 0);
  }

  private makeCold(id: string, { leastMs, mostMs }: NewsLag): void {
    const endpoint = this.findEndpoint(id);
    const { startMs = 0 } = this.findService(endpoint.listing.service).coldStart ?? {};
    const { timeline } = this.fleet;
    endpoint.coldUntilMs = timeline.nowMs + startMs;
    for (const box of this.fleet.boxes) {
      const listing = { ...endpoint.listing, coldMs: startMs };
      timeline.after(leastMs + this.random() * (mostMs - leastMs), () =>
        this.routers.get(box)?.table.upsert(listing, timeline.nowMs),
      );
    }
  }

  private findService(name: string): VirtualService {
    const service = this.plan.services.find((one) => one.name === name);
    if (service === undefined) throw new Error(`no service ${name}`);
    return service;
  }

  private findEndpoint(id: string): VirtualEndpoint {
    const endpoint = this.endpoints.get(id);
    if (endpoint === undefined) throw new Error(`no endpoint ${id}`);
    return endpoint;
  }

  /** Lets processes stand still now and then, each at moments of its own, for so long in the mean. */
  pauseNowAndThen(runMs: number, pauseMs: number): void {
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
    const router = new VirtualRouter(box, mesh, this.hasher, now, this.random);
    for (const { listing } of this.endpoints.values()) router.table.upsert(listing, 0);
    this.routers.set(box, router);
    return router;
  }

  private addEndpoints(service: VirtualService): void {
    const { name, endpoints } = service;
    this.tallies.set(name, { endpoints, held: 0, arrivals: [] });
    for (let at = 0; at < endpoints; at += 1) this.addEndpoint(service, `${name}-${at}`, at);
  }

  private addEndpoint({ name, slots }: VirtualService, id: string, at: number): void {
    const hall = `hall-${at % this.plan.fleet.halls}`;
    const listing = createListing(id, { service: name, hall, slots });
    this.endpoints.set(id, {
      listing,
      held: 0,
      slowness: 1,
      taken: 0,
      coldUntilMs: 0,
      coldArrivalsMs: [],
      isLeaving: false,
      backOffMs: 0,
      waiting: [],
    });
  }

  private findTally(service: string): ServiceTally {
    const tally = this.tallies.get(service);
    if (tally === undefined) throw new Error(`no service ${service}`);
    return tally;
  }

  private scheduleNext(load: VirtualLoad): void {
    this.fleet.timeline.after(drawExponential(this.random, MS_PER_S / load.perS), () => {
      this.call(load);
      this.scheduleNext(load);
    });
  }

  /** A caller calls some box; one that stands still reads the request when it goes on. */
  private call(load: VirtualLoad): void {
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
    const isHot = this.random() < (load.hotShare ?? 0);
    const which = isHot ? 0 : Math.floor(this.random() * load.prompts);
    const own = `own-${this.random()}`;
    return [
      { id: `${load.workMs}-${which}`, tokens: 900 },
      { id: own, tokens: 100 },
    ];
  }

  private send(request: BoxRequest, load: VirtualLoad, promptParts: PromptPart[], tried: Set<string>): void {
    const { timeline, network } = this.fleet;
    const { box, run } = request;
    const router = this.routers.get(box);
    const choice = router?.placement.choose(
      {
        service: load.service,
        coldStart: this.findService(load.service).coldStart,
        promptParts,
        excluded: tried,
      },
      timeline.nowMs,
    );
    if (choice === undefined) {
      this.refused += 1;
      return;
    }
    const { row } = choice;
    row.inFlight += 1;
    const onResponse = (backOffMs: number | undefined): void =>
      network.actIn(box.address, run, () => {
        row.inFlight -= 1;
        this.handleResponse(request, row, backOffMs);
        if (tried.size > 0) return;
        const isFailed = backOffMs !== undefined || this.random() < (load.failShare ?? 0);
        if (isFailed) this.send(request, load, promptParts, new Set([row.listing.id]));
      });
    timeline.after(SEND_MS, () => this.arrive(request, row, load, onResponse));
  }

  /** Processes the head of a response at a box. */
  private handleResponse(request: BoxRequest, row: EndpointRow, backOffMs: number | undefined): void {
    const { isLeaving, listing } = this.findEndpoint(row.listing.id);
    const isNotRun = backOffMs !== undefined;
    const facts = { requestId: 'r', isSealed: !isNotRun, isNotRun, isLeaving, backOffMs };
    const { nowMs } = this.fleet.timeline;
    recordAnnouncements(row, facts, nowMs);
    if (isLeaving) this.announcementChecker.noteLeaving(request, listing.id, nowMs);
  }

  /** Delivers a request to an endpoint; `onResponse` receives the requested back-off if the request is rejected. */
  private arrive(
    request: BoxRequest,
    row: EndpointRow,
    load: VirtualLoad,
    onResponse: (backOffMs: number | undefined) => void,
  ): void {
    const endpoint = this.findEndpoint(row.listing.id);
    const { backOffMs } = endpoint;
    this.announcementChecker.noteArrival(request, endpoint.listing.id, this.fleet.timeline.nowMs);
    if (backOffMs > 0) {
      this.announcementChecker.noteBackOff(
        request,
        endpoint.listing.id,
        this.fleet.timeline.nowMs,
        backOffMs,
      );
      this.fleet.timeline.after(SEND_MS, () => onResponse(backOffMs));
      return;
    }
    const tally = this.findTally(load.service);
    const bound = BOUND_FACTOR * (tally.held / tally.endpoints) + BOUND_ALLOWANCE;
    tally.arrivals.push({ atMs: this.fleet.timeline.nowMs, isOver: endpoint.held > bound });
    tally.held += 1;
    endpoint.held += 1;
    endpoint.taken += 1;
    const { nowMs } = this.fleet.timeline;
    if (nowMs < endpoint.coldUntilMs) endpoint.coldArrivalsMs.push(nowMs);
    const begin = (): void => {
      const workMs = endpoint.slowness * drawLogNormal(this.random, load.workMs, load.spread);
      this.fleet.timeline.after(workMs, () => {
        tally.held -= 1;
        endpoint.held -= 1;
        endpoint.waiting.shift()?.();
        this.fleet.timeline.after(SEND_MS, () => onResponse(undefined));
      });
    };
    if (endpoint.held <= endpoint.listing.slots) begin();
    else endpoint.waiting.push(begin);
  }
}
