import * as fc from 'fast-check';
import { createSlotRequest, SERVICE } from '../__fixtures__/slotModel.js';
import type { SlotAnswer, SlotOutcome, SlotRequest } from '../slotMessages.js';
import { SlotQueue } from '../slotQueue.js';
import { SlotScheduler } from '../slotScheduler.js';
import { MAX_WAITING } from '../serviceSchedule.js';
import type { WaitingRequest } from '../waitingRequest.js';

/** Interval of the ticks; a rejection may be late by as much. */
const TICK_MS = 20;
const SLOTS = [2, 3];
const CAPACITIES = [3, 4];

type Step =
  | { readonly type: 'request'; readonly changes: Partial<SlotRequest> }
  | { readonly type: 'repeat'; readonly index: number }
  | { readonly type: 'release'; readonly index: number; readonly outcome: SlotOutcome }
  | { readonly type: 'dropBox'; readonly box: string }
  | { readonly type: 'advance'; readonly ticks: number };

const box = fc.constantFrom('a', 'b');
const index = fc.nat(200);
const outcome = fc.constantFrom<SlotOutcome[]>('served', 'failed', 'refused', 'unused');
const changes = fc
  .record({
    box,
    rank: fc.nat(2),
    team: fc.constantFrom('x', 'y'),
    isOnce: fc.boolean(),
    content: fc.constantFrom('', 'p', 'q', 'r'),
    targetMs: fc.integer({ min: -50, max: 300 }),
    patienceMs: fc.integer({ min: -10, max: 800 }),
    responseMs: fc.nat(600),
    excluded: fc.constantFrom([], [0], [1], [0, 1]),
  })
  .map(({ responseMs, ...rest }) => ({ ...rest, expiresMs: rest.patienceMs + responseMs }));
const steps: fc.Arbitrary<Step> = fc.oneof(
  { weight: 24, arbitrary: fc.record({ type: fc.constant('request'), changes }) },
  { weight: 15, arbitrary: fc.record({ type: fc.constant('release'), index, outcome }) },
  {
    weight: 6,
    arbitrary: fc.record({ type: fc.constant('advance'), ticks: fc.integer({ min: 1, max: 6 }) }),
  },
  // Long enough for leases to end.
  {
    weight: 1,
    arbitrary: fc.record({ type: fc.constant('advance'), ticks: fc.integer({ min: 40, max: 150 }) }),
  },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('repeat'), index }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('dropBox'), box }) },
);

type RequestState = 'waiting' | 'granted' | 'rejected' | 'withdrawn' | 'released';

/** Drives a scheduler and checks each of its answers. */
class CheckedScheduler {
  readonly requests: {
    readonly request: SlotRequest;
    readonly latestStartAtMs: number;
    readonly expiresAtMs: number;
  }[] = [];
  private readonly scheduler = new SlotScheduler(() => 0.5);
  private readonly states: RequestState[] = [];
  private readonly tags: number[] = [];
  private nowMs = 0;

  constructor() {
    this.check(this.setEndpoints());
  }

  run(step: Step): void {
    switch (step.type) {
      case 'request':
        return this.request(step.changes);
      case 'repeat':
        return this.repeat(step.index % Math.max(1, this.requests.length));
      case 'release':
        return this.release(step.index % Math.max(1, this.requests.length), step.outcome);
      case 'dropBox':
        return this.dropBox(step.box);
      case 'advance':
        for (let tick = 0; tick < step.ticks; tick += 1) this.tick();
    }
  }

  private setEndpoints(): SlotAnswer[] {
    const endpoints = SLOTS.map((slotsInEffect, tag) => ({ tag, slotsInEffect, reportedInFlight: 0 }));
    return this.scheduler.setEndpoints(SERVICE, endpoints, this.nowMs);
  }

  private request(changes: Partial<SlotRequest>): void {
    const request = createSlotRequest({ ...changes, number: this.requests.length });
    const latestStartAtMs = this.nowMs + request.patienceMs;
    this.requests.push({ request, latestStartAtMs, expiresAtMs: this.nowMs + request.expiresMs });
    this.states.push('waiting');
    this.check(this.scheduler.handleRequest(request, this.nowMs));
  }

  private repeat(index: number): void {
    const repeated = this.requests[index];
    const state = this.states[index];
    if (repeated === undefined || state === 'waiting') return;
    const patienceMs = repeated.latestStartAtMs - this.nowMs;
    const expiresMs = repeated.expiresAtMs - this.nowMs;
    const answers = this.scheduler.handleRequest({ ...repeated.request, patienceMs, expiresMs }, this.nowMs);
    if (state === 'withdrawn') {
      this.states[index] = 'waiting';
      expect(answers.map(({ number }) => number)).toContain(index);
      return this.check(answers);
    }
    const own = answers.filter(({ number }) => number === index);
    expect(own.map(({ type }) => type)).toEqual(state === 'released' ? [] : [state]);
    this.check(answers.filter(({ number }) => number !== index));
  }

  private release(index: number, outcome: SlotOutcome): void {
    const released = this.requests[index];
    const state = this.states[index];
    if (released === undefined) return;
    if (state === 'granted') this.states[index] = outcome === 'unused' ? 'withdrawn' : 'released';
    if (state === 'waiting') this.states[index] = 'withdrawn';
    const { box, number } = released.request;
    const release = { box, number, service: SERVICE, outcome, heldMs: 40 };
    this.check(this.scheduler.handleRelease(release, this.nowMs));
  }

  private dropBox(box: string): void {
    for (const [index, { request }] of this.requests.entries()) {
      const state = this.states[index];
      if (request.box === box && (state === 'granted' || state === 'waiting'))
        this.states[index] = 'withdrawn';
    }
    this.check(this.scheduler.dropBox(box, this.nowMs));
  }

  private tick(): void {
    this.nowMs += TICK_MS;
    for (const [index, { expiresAtMs }] of this.requests.entries()) {
      const isExpired = this.states[index] === 'granted' && expiresAtMs + 1_000 <= this.nowMs;
      if (isExpired) this.states[index] = 'withdrawn';
    }
    // The endpoints are set after each tick, as a schedule that is idle ends.
    this.check([...this.scheduler.tick(this.nowMs), ...this.setEndpoints()]);
    const late = this.requests.filter(
      ({ latestStartAtMs }, index) => this.states[index] === 'waiting' && latestStartAtMs <= this.nowMs,
    );
    expect(late).toEqual([]);
  }

  private check(answers: readonly SlotAnswer[]): void {
    for (const answer of answers) this.checkAnswer(answer);
    const count = (state: RequestState): number => this.states.filter((other) => other === state).length;
    const granted = CAPACITIES.map((_, tag) => this.countGranted(tag));
    for (const [tag, capacity] of CAPACITIES.entries()) expect(granted[tag]).toBeLessThanOrEqual(capacity);
    expect(this.scheduler.describeServices()).toMatchObject([
      { waiting: count('waiting'), granted: count('granted') },
    ]);
  }

  private countGranted(tag: number): number {
    return this.tags.filter((other, index) => other === tag && this.states[index] === 'granted').length;
  }

  private checkAnswer(answer: SlotAnswer): void {
    const { number } = answer;
    const asked = this.requests[number];
    // A final answer is given once, and none after a withdrawal.
    expect(this.states[number]).toBe('waiting');
    switch (answer.type) {
      case 'queued':
        expect(Number.isFinite(answer.expectedWaitMs)).toBe(true);
        return;
      case 'granted':
        expect(asked?.request.excluded).not.toContain(answer.endpointTag);
        expect(asked?.latestStartAtMs).toBeGreaterThan(this.nowMs);
        this.tags[number] = answer.endpointTag;
        this.states[number] = 'granted';
        return;
      case 'rejected':
        expect(answer.retryAfterMs).toBeGreaterThanOrEqual(0);
        this.states[number] = 'rejected';
    }
  }
}

test('whatever boxes send: within capacity, one final answer each, none held past its patience, none lost', () => {
  fc.assert(
    fc.property(fc.array(steps, { maxLength: 200 }), (sequence) => {
      const checked = new CheckedScheduler();
      for (const step of sequence) checked.run(step);
    }),
    { seed: 11, numRuns: 150 },
  );
});

test('a flood of patient requests: the number that waits is bounded, the more urgent ones stay', () => {
  const scheduler = new SlotScheduler(() => 0.5);
  scheduler.setEndpoints(SERVICE, [{ tag: 0, slotsInEffect: 6, reportedInFlight: 0 }], 0);
  const patienceMs = 600_000;
  for (let number = 0; number < 2 * MAX_WAITING; number += 1) {
    const rank = number % 2;
    scheduler.handleRequest(createSlotRequest({ number, rank, patienceMs }), 0);
    expect(scheduler.describeServices()[0]?.waiting).toBeLessThanOrEqual(MAX_WAITING);
  }
  expect(scheduler.describeServices()).toMatchObject([{ waiting: MAX_WAITING }]);
  const answers = scheduler.handleRequest(createSlotRequest({ number: -1, patienceMs }), 0);
  expect(answers).toMatchObject([{ type: 'rejected' }, { type: 'queued', number: -1 }]);
});

function createWaiting(changes: Partial<SlotRequest>, number: number): WaitingRequest {
  const request = createSlotRequest({ ...changes, number });
  const latestStartAtMs = request.targetMs + 1_000;
  const expiresAtMs = latestStartAtMs + 200;
  return { request, targetAtMs: request.targetMs, latestStartAtMs, expiresAtMs, headStartMs: 0 };
}

const waitingRequests = fc.array(
  fc
    .record({ rank: fc.nat(2), team: fc.constantFrom('x', 'y', 'z'), targetMs: fc.nat(400) })
    .map((changes) => createWaiting(changes, 0)),
  { minLength: 20, maxLength: 150 },
);

test('whatever waits: the earliest target of a team first, and no rank starves', () => {
  fc.assert(
    fc.property(waitingRequests, (all) => {
      const queue = new SlotQueue();
      for (const waiting of all) queue.add(waiting, 'punctual');
      const left = new Set(all);
      const skipped = [0, 0, 0];
      for (let taken = queue.take(() => true); taken !== undefined; taken = queue.take(() => true)) {
        left.delete(taken);
        const { rank, team } = taken.request;
        const behind = [...left].filter(({ request }) => request.rank === rank && request.team === team);
        for (const { targetAtMs } of behind) expect(targetAtMs).toBeGreaterThan(taken.targetAtMs - 10);
        skipped[rank] = 0;
        for (const other of new Set([...left].map(({ request }) => request.rank))) {
          if (other !== rank) skipped[other] = (skipped[other] ?? 0) + 1;
          // A tenth of the grants, and the other floor may be due at the same time.
          expect(skipped[other]).toBeLessThanOrEqual(11);
        }
      }
      expect(left.size).toBe(0);
    }),
    { seed: 12, numRuns: 100 },
  );
});

test('a team with many requests and one with few take turns; one that was idle has nothing saved up', () => {
  const queue = new SlotQueue();
  const addAll = (team: string, count: number): void => {
    for (let number = 0; number < count; number += 1) queue.add(createWaiting({ team }, number), 'punctual');
  };
  const takeTeams = (count: number): string =>
    Array.from({ length: count }, () => queue.take(() => true)?.request.team).join('');
  addAll('x', 30);
  addAll('y', 3);
  expect(takeTeams(6)).toBe('xyxyxy');
  expect(takeTeams(10)).toBe('xxxxxxxxxx');
  addAll('y', 5);
  expect(['xyxyxyxyxy', 'yxyxyxyxyx']).toContain(takeTeams(10));
});
