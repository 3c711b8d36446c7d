/** Brittle endpoints behind a fleet of boxes that schedule their slots, in virtual time. */
import { createRandom, drawExponential } from '@hazelwalk/standins';
import { SlotScheduler } from '../../admission/slotScheduler.js';
import type { FleetBox, FleetRequest } from './slotFleet.js';
import { SlotFleet } from './slotFleet.js';

const SLOTS = 3;
const ENDPOINTS = 7;
const WORK_MS = 60;
/** Rejections in a second that an endpoint survives, and how long it is away after one more. */
const REJECTION_LIMIT = 3;
const FALL_MS = 2_000;
const MS_PER_S = 1_000;
/** Way of a request to its endpoint, on a new connection, and of the response. */
const TRAVEL_MS = 1;

class BrittleEndpoint {
  running = 0;
  falls = 0;
  private awayUntilMs = 0;
  private rejectedAtMs: number[] = [];

  /** Returns whether it runs a request that arrives. */
  take(nowMs: number): 'run' | 'reject' | 'away' {
    if (nowMs < this.awayUntilMs) return 'away';
    if (this.running < SLOTS) {
      this.running += 1;
      return 'run';
    }
    this.rejectedAtMs = [...this.rejectedAtMs.filter((atMs) => nowMs - atMs < MS_PER_S), nowMs];
    if (this.rejectedAtMs.length > REJECTION_LIMIT) {
      this.falls += 1;
      this.awayUntilMs = nowMs + FALL_MS;
      this.rejectedAtMs = [];
    }
    return 'reject';
  }
}

/** A fleet in front of seven endpoints of three slots. */
export class BrittleFleet {
  readonly endpoints = Array.from({ length: ENDPOINTS }, () => new BrittleEndpoint());
  served = 0;
  /** Requests that were refused before any endpoint got them. */
  refused = 0;
  private readonly random: () => number;

  private constructor(
    readonly fleet: SlotFleet,
    seed: number,
  ) {
    this.random = createRandom(seed);
    fleet.endpoints = this.endpoints.map((_, tag) => ({
      tag,
      slotsInEffect: SLOTS,
      reportedInFlight: 0,
      rejectionsPerS: REJECTION_LIMIT,
    }));
  }

  /** Creates a fleet with the given number of boxes in each hall. */
  static async create(halls: readonly number[], seed: number): Promise<BrittleFleet> {
    const isFullMesh = halls.reduce((sum, boxes) => sum + boxes, 0) <= 16;
    const random = createRandom(seed);
    const fleet = await SlotFleet.create(halls, isFullMesh, () => new SlotScheduler(random));
    return new BrittleFleet(fleet, seed);
  }

  /** Falls that a deployment allows. */
  readonly allowedFalls = 2 + ENDPOINTS / 10;

  get falls(): number {
    return this.endpoints.reduce((sum, endpoint) => sum + endpoint.falls, 0);
  }

  /** Sends requests at random times and boxes, so many times what there is room for, and runs for that time. */
  load(share: number, forMs: number): void {
    const { timeline, boxes } = this.fleet;
    const untilMs = timeline.nowMs + forMs;
    const gapMs = WORK_MS / (share * SLOTS * ENDPOINTS);
    const next = (): void => {
      if (timeline.nowMs >= untilMs) return;
      const up = boxes.filter((box) => box.state === 'running');
      const box = up[Math.floor(this.random() * up.length)];
      if (box !== undefined) this.send(box);
      timeline.after(drawExponential(this.random, gapMs), next);
    };
    next();
    this.fleet.run(forMs);
  }

  /** Stops the processes of a third of the boxes for a time; which ones, is drawn. */
  pauseThird(forMs: number): void {
    for (const box of this.drawThird()) this.fleet.pause(box, forMs);
  }

  /** Kills a third of the boxes for a time: the connections of their requests are closed. */
  killThird(forMs: number): void {
    for (const box of this.drawThird()) {
      box.state = 'down';
      this.fleet.timeline.after(forMs, () => (box.state = 'running'));
    }
  }

  private drawThird(): FleetBox[] {
    const order = new Map(this.fleet.boxes.map((box) => [box, this.random()]));
    const boxes = [...this.fleet.boxes].sort((a, b) => (order.get(a) ?? 0) - (order.get(b) ?? 0));
    return boxes.slice(0, Math.ceil(boxes.length / 3));
  }

  private send(box: FleetBox): void {
    const request = this.fleet.enter(box, true);
    const check = (): void => {
      if (box.state === 'down') return;
      if (request.decision === undefined || box.held !== undefined) this.fleet.timeline.after(1, check);
      else this.useDecision(request, request.decision);
    };
    check();
  }

  private useDecision(request: FleetRequest, decision: NonNullable<FleetRequest['decision']>): void {
    const { timeline } = this.fleet;
    if (decision.type === 'reject') {
      this.refused += 1;
      return;
    }
    const tag = decision.endpointTag ?? Math.floor(this.random() * ENDPOINTS);
    const endpoint = this.endpoints[tag];
    if (endpoint === undefined) return;
    timeline.after(TRAVEL_MS, () => {
      const taken = endpoint.take(timeline.nowMs);
      if (taken !== 'run') return this.respond(request, taken === 'away' ? 'failed' : 'refused');
      timeline.after(WORK_MS, () => {
        endpoint.running -= 1;
        this.respond(request, 'served');
      });
    });
  }

  /** Delivers a response; a box that stands still reads it later. */
  private respond(request: FleetRequest, outcome: 'served' | 'refused' | 'failed'): void {
    const { box, handle } = request;
    if (box.state === 'down') return;
    if (box.held !== undefined) return void box.held.frames.push(() => this.respond(request, outcome));
    if (outcome === 'served') this.served += 1;
    this.fleet.timeline.after(TRAVEL_MS, () => handle?.release(outcome));
  }
}
