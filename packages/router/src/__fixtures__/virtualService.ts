/** A service of many slots behind boxes that shed load, in virtual time; views are half a second old and more. */
import { createRandom, drawExponential, Timeline } from '@hazelwalk/standins';
import { LoadShedder } from '../admission/loadShedder.js';
import type { SheddableRequest } from '../admission/loadShedding.js';

const VIEW_MS = 500;
/** Endpoints refuse what finds this many requests waiting for each slot. */
const QUEUE_PER_SLOT = 1;

/** A kind of requests from one team. */
export interface Traffic {
  readonly name: string;
  readonly rank: number;
  readonly team: string;
  readonly isOnce?: boolean;
  readonly perS: (nowMs: number) => number;
  readonly holdMs: number;
  /** Time within which a request should start. */
  readonly targetMs: number;
}

/** The service, its boxes, and the age of their views. */
export interface VirtualServicePlan {
  readonly boxes: number;
  readonly slots: number;
  readonly traffic: readonly Traffic[];
  readonly seed: number;
  readonly viewAgeMs?: number;
  /** Without it, all requests are sent at once. */
  readonly isShedding?: boolean;
  /** Extent of the views at a time. */
  readonly readExtent?: (nowMs: number) => 'whole' | 'missing';
}

/** How one request ended. */
export interface VirtualOutcome {
  readonly traffic: Traffic;
  readonly box: number;
  readonly arrivedAtMs: number;
  readonly end: 'started' | 'rejected' | 'refused';
  /** Time from the arrival to the start or to the rejection. */
  readonly afterMs: number;
}

interface QueuedRequest {
  readonly traffic: Traffic;
  readonly box: number;
  readonly holdMs: number;
  readonly sentAtMs: number;
  readonly start: () => void;
}

/** Runs the traffic of a plan. */
export class VirtualService {
  readonly timeline = new Timeline();
  readonly outcomes: VirtualOutcome[] = [];
  /** Use of the slots at each view, from the start on. */
  readonly uses: number[] = [];
  private readonly random: () => number;
  /** Arrivals draw from their own numbers: plans with the same seed have the same traffic. */
  private readonly arrivalRandom: () => number;
  private readonly shedderRandom: () => number;
  private readonly shedders: LoadShedder[];
  private readonly queue: QueuedRequest[] = [];
  private running = 0;

  constructor(private readonly plan: VirtualServicePlan) {
    this.random = createRandom(plan.seed);
    this.arrivalRandom = createRandom(plan.seed + 1_000);
    this.shedderRandom = createRandom(plan.seed + 2_000);
    this.shedders = Array.from({ length: plan.boxes }, () => new LoadShedder(this.shedderRandom));
    for (const traffic of plan.traffic) this.scheduleArrival(traffic);
    this.timeline.every(VIEW_MS, () => this.sendViews());
  }

  /** Replaces a box by one that has just started. */
  restartBox(box: number): void {
    this.shedders[box] = new LoadShedder(this.shedderRandom);
  }

  /** Outcomes of the requests of some traffic that arrived within a time. */
  select(isSelected: (traffic: Traffic) => boolean, fromMs = 0, untilMs = Infinity): VirtualOutcome[] {
    return this.outcomes.filter(
      ({ traffic, arrivedAtMs }) => isSelected(traffic) && arrivedAtMs >= fromMs && arrivedAtMs < untilMs,
    );
  }

  private scheduleArrival(traffic: Traffic): void {
    const gapMs = drawExponential(this.arrivalRandom, 1_000 / traffic.perS(this.timeline.nowMs));
    this.timeline.after(gapMs, () => {
      this.scheduleArrival(traffic);
      this.handleArrival(traffic);
    });
  }

  private handleArrival(traffic: Traffic): void {
    const { nowMs } = this.timeline;
    const { rank, team, isOnce = false, targetMs } = traffic;
    const request = {
      service: 's',
      rank,
      team,
      isOnce,
      arrivedAtMs: nowMs,
      latestStartAtMs: nowMs + targetMs,
    };
    this.decide(request, traffic, Math.floor(this.random() * this.plan.boxes));
  }

  private decide(request: SheddableRequest, traffic: Traffic, box: number): void {
    if (this.plan.isShedding === false) return this.send(request, traffic, box);
    const decision = (this.shedders[box] as LoadShedder).decide(request, this.timeline.nowMs);
    switch (decision.type) {
      case 'admit':
        return this.send(request, traffic, box);
      case 'wait':
        return this.timeline.after(decision.forMs, () => this.decide(request, traffic, box));
      case 'reject':
        return this.record(request, traffic, box, 'rejected');
    }
  }

  private send(request: SheddableRequest, traffic: Traffic, box: number): void {
    const { slots } = this.plan;
    if (this.queue.length >= slots * QUEUE_PER_SLOT) return this.record(request, traffic, box, 'refused');
    const start = (): void => this.record(request, traffic, box, 'started');
    const holdMs = drawExponential(this.random, traffic.holdMs);
    this.queue.push({ traffic, box, holdMs, sentAtMs: this.timeline.nowMs, start });
    this.startNext();
  }

  /** Endpoints start the most urgent request first. */
  private startNext(): void {
    while (this.running < this.plan.slots && this.queue.length > 0) {
      const first = Math.min(...this.queue.map(({ traffic }) => traffic.rank));
      const at = this.queue.findIndex(({ traffic }) => traffic.rank === first);
      const [next] = this.queue.splice(at, 1) as [QueuedRequest];
      this.running += 1;
      next.start();
      this.timeline.after(next.holdMs, () => {
        this.running -= 1;
        this.shedders[next.box]?.recordEnd('s', this.timeline.nowMs - next.sentAtMs);
        this.startNext();
      });
    }
  }

  private record(
    { arrivedAtMs }: SheddableRequest,
    traffic: Traffic,
    box: number,
    end: VirtualOutcome['end'],
  ): void {
    const afterMs = this.timeline.nowMs - arrivedAtMs;
    this.outcomes.push({ traffic, box, arrivedAtMs, end, afterMs });
  }

  private sendViews(): void {
    const { slots, viewAgeMs = VIEW_MS, readExtent = () => 'whole' } = this.plan;
    const inFlight = this.running + this.queue.length;
    this.uses.push(inFlight / slots);
    this.shedders.forEach((_, box) => {
      // Boxes get the same sum at different times.
      this.timeline.after(viewAgeMs + (VIEW_MS * box) / this.shedders.length, () => {
        const { nowMs } = this.timeline;
        const ageMs = viewAgeMs + (VIEW_MS * box) / this.shedders.length;
        const view = { extent: readExtent(nowMs), ageMs };
        this.shedders[box]?.updateRoom('s', { slotsInEffect: slots, inFlight, view }, nowMs);
      });
    });
  }
}

/** Share of requests that started within their target. */
export function readServedShare(outcomes: readonly VirtualOutcome[]): number {
  const served = outcomes.filter(
    ({ traffic, end, afterMs }) => end === 'started' && afterMs <= traffic.targetMs,
  );
  return served.length / outcomes.length;
}
