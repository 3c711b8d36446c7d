/**
 * Model of a small service and its callers for tests of the slot scheduler, on the fake timers of Jest: endpoints with
 * slots and a queue, work that varies, and the travel time between boxes.
 */
import { createRandom, drawExponential, drawLogNormal } from '@hazelwalk/standins';
import type { SlotAnswer, SlotOutcome, SlotRequest } from '../slotMessages.js';
import { SlotScheduler } from '../slotScheduler.js';

export const SERVICE = 'orders';
/** Time within which callers want their response. */
export const TARGET_MS = 200;
/** Time after which a call is no longer worth starting. */
export const PATIENCE_MS = 2_400;
const SLOTS = 6;
const ENDPOINT_QUEUE = 24;
const TRAVEL_MS = 2;
const MEDIAN_WORK_MS = 41;
const WORK_SPREAD = 0.4;
const TICK_MS = 20;
const MAX_TRIES = 4;

/** A request of a caller. */
export interface Call {
  readonly rank: number;
  readonly team: string;
  readonly isOnce: boolean;
  readonly preferred: readonly number[];
  /** What the caller does when it is rejected. */
  readonly returning: 'never' | 'asTold' | 'atOnce';
}

type Outcome = 'served' | 'rejected' | 'refused' | 'lost';

/** How a call ended. */
export interface CallResult extends Call {
  readonly outcome: Outcome;
  /** Number of its traffic, from 1. */
  readonly traffic: number;
  readonly startedAtMs: number;
  readonly tookMs: number;
  /** Time from each request to its rejection. */
  readonly rejectedAfterMs: readonly number[];
}

/** A call in progress. */
interface RunningCall {
  readonly call: Call;
  readonly content: string;
  readonly startedAtMs: number;
  readonly rejectedAfterMs: number[];
  readonly finish: (outcome: Outcome) => void;
}

class ModelEndpoint {
  /** Factor by which its work takes longer. */
  slowness = 1;
  /** Whether it fails, unknown to the scheduler. */
  isBroken = false;
  isListed = true;
  running = 0;
  /** Requests that it got. */
  sent = 0;
  readonly queue: (() => void)[] = [];
}

/** Endpoints, boxes and callers around one scheduler. */
export class SlotModel {
  readonly results: CallResult[] = [];
  readonly endpoints: readonly ModelEndpoint[];
  private readonly random: () => number;
  private readonly scheduler: SlotScheduler;
  private readonly handlers = new Map<number, (answer: SlotAnswer) => void>();
  private traffics = 0;
  private sentCount = 0;

  constructor(seed: number) {
    this.random = createRandom(seed);
    this.scheduler = new SlotScheduler(this.random);
    this.endpoints = [new ModelEndpoint(), new ModelEndpoint(), new ModelEndpoint()];
    this.listEndpoints();
    setInterval(() => this.pass(this.scheduler.tick(Date.now())), TICK_MS);
  }

  /** Takes an endpoint away, known to the scheduler. */
  removeEndpoint(tag: number): void {
    const endpoint = this.endpoints[tag];
    if (endpoint !== undefined) endpoint.isListed = false;
    this.listEndpoints();
  }

  /** Starts calls at random times until then, at a rate that may change. */
  startTraffic(perS: (nowMs: number) => number, untilMs: number, changes: Partial<Call>): void {
    this.traffics += 1;
    const traffic = this.traffics;
    const next = (): void => {
      if (Date.now() >= untilMs) return;
      this.call(changes, traffic);
      setTimeout(next, drawExponential(this.random, 1_000 / perS(Date.now())));
    };
    setTimeout(next, 0);
  }

  private listEndpoints(): void {
    const usable = this.endpoints.flatMap(({ isListed, running }, tag) =>
      isListed ? [{ tag, slotsInEffect: SLOTS, reportedInFlight: running }] : [],
    );
    this.pass(this.scheduler.setEndpoints(SERVICE, usable, Date.now()));
  }

  private call(changes: Partial<Call>, traffic: number): void {
    const isOnce = this.random() < 0.7;
    const call: Call = { rank: 0, team: '', isOnce, preferred: [], returning: 'never', ...changes };
    const startedAtMs = Date.now();
    const rejectedAfterMs: number[] = [];
    const finish = (outcome: Outcome): void => {
      const tookMs = Date.now() - startedAtMs;
      this.results.push({ ...call, outcome, traffic, startedAtMs, tookMs, rejectedAfterMs });
    };
    this.send({ call, content: `content ${this.sentCount}`, startedAtMs, rejectedAfterMs, finish });
  }

  private send(running: RunningCall): void {
    const { call, content, startedAtMs, rejectedAfterMs, finish } = running;
    const sentAtMs = Date.now();
    const patienceMs = startedAtMs + PATIENCE_MS - sentAtMs;
    this.requestSlot(
      createSlotRequest({ ...call, content, patienceMs, expiresMs: patienceMs + TARGET_MS }),
      (answer) => {
        if (answer.type === 'granted') return this.work(answer.number, answer.endpointTag, finish);
        if (answer.type === 'queued') return;
        rejectedAfterMs.push(Date.now() - sentAtMs);
        const waitMs = call.returning === 'asTold' ? answer.retryAfterMs : 1;
        const canReturn = call.returning !== 'never' && rejectedAfterMs.length < MAX_TRIES;
        if (!canReturn || waitMs > patienceMs) return finish('rejected');
        setTimeout(() => this.send(running), waitMs);
      },
    );
  }

  private requestSlot(request: SlotRequest, onAnswer: (answer: SlotAnswer) => void): void {
    this.sentCount += 1;
    const numbered = { ...request, number: this.sentCount };
    this.handlers.set(numbered.number, onAnswer);
    setTimeout(() => this.pass(this.scheduler.handleRequest(numbered, Date.now())), TRAVEL_MS);
  }

  private pass(answers: readonly SlotAnswer[]): void {
    for (const answer of answers) setTimeout(() => this.handlers.get(answer.number)?.(answer), TRAVEL_MS);
  }

  private releaseSlot(number: number, outcome: SlotOutcome, heldMs: number): void {
    const release = { box: 'box', number, service: SERVICE, outcome, heldMs };
    setTimeout(() => this.pass(this.scheduler.handleRelease(release, Date.now())), TRAVEL_MS);
  }

  private work(number: number, tag: number, finish: (outcome: Outcome) => void): void {
    const endpoint = this.endpoints[tag];
    const sentAtMs = Date.now();
    if (endpoint === undefined || endpoint.isBroken) {
      this.releaseSlot(number, 'failed', 0);
      return finish('lost');
    }
    if (endpoint.running >= SLOTS && endpoint.queue.length >= ENDPOINT_QUEUE) {
      this.releaseSlot(number, 'refused', 0);
      return finish('refused');
    }
    endpoint.sent += 1;
    const end = (): void => {
      endpoint.running -= 1;
      endpoint.queue.shift()?.();
      this.releaseSlot(number, endpoint.isBroken ? 'failed' : 'served', Date.now() - sentAtMs);
      finish(endpoint.isBroken ? 'lost' : 'served');
    };
    const start = (): void => {
      endpoint.running += 1;
      setTimeout(end, drawLogNormal(this.random, MEDIAN_WORK_MS, WORK_SPREAD) * endpoint.slowness);
    };
    if (endpoint.running < SLOTS) start();
    else endpoint.queue.push(start);
  }
}

/** Creates a request for a slot. */
export function createSlotRequest(changes: Partial<SlotRequest>): SlotRequest {
  return {
    box: 'box',
    number: 1,
    service: SERVICE,
    rank: 0,
    team: '',
    isOnce: false,
    content: '',
    waitedMs: 0,
    targetMs: TARGET_MS,
    patienceMs: 2_000,
    expiresMs: 2_200,
    preferred: [],
    excluded: [],
    ...changes,
  };
}

/** Share of calls that were served within the time that callers want. */
export function readShareInTime(results: readonly CallResult[]): number {
  const inTime = results.filter(({ outcome, tookMs }) => outcome === 'served' && tookMs <= TARGET_MS);
  return inTime.length / results.length;
}

/** Share of calls that were served. */
export function readServedShare(results: readonly CallResult[]): number {
  return results.filter(({ outcome }) => outcome === 'served').length / results.length;
}
