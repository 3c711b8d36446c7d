import { createSlotRequest, SERVICE } from '../__fixtures__/slotModel.js';
import { LEASE_MARGIN_MS, SETTLE_MS } from '../serviceSchedule.js';
import type { SchedulableEndpoint, SlotAnswer, SlotOutcome, SlotRequest } from '../slotMessages.js';
import { SlotQueue } from '../slotQueue.js';
import { SlotScheduler } from '../slotScheduler.js';

/** After the time in which a predecessor's grants count. */
const START_MS = SETTLE_MS + 1_000;

/** A scheduler of one service, each endpoint with four slots and one more that may be granted. */
function createScheduler(endpoints: readonly Partial<SchedulableEndpoint>[]): SlotScheduler {
  const scheduler = new SlotScheduler(() => 0.5);
  const listed = endpoints.map((endpoint, tag) => ({
    tag,
    slotsInEffect: 4,
    reportedInFlight: 0,
    ...endpoint,
  }));
  scheduler.setEndpoints(SERVICE, listed, 0);
  return scheduler;
}

/** Requests slots with these numbers, and returns the answers. */
function requestAll(
  scheduler: SlotScheduler,
  numbers: readonly number[],
  changes: Partial<SlotRequest> = {},
  nowMs = START_MS,
): SlotAnswer[] {
  return numbers.flatMap((number) =>
    scheduler.handleRequest(createSlotRequest({ ...changes, number }), nowMs),
  );
}

function release(
  scheduler: SlotScheduler,
  number: number,
  outcome: SlotOutcome,
  nowMs = START_MS,
  heldMs = 40,
): SlotAnswer[] {
  return scheduler.handleRelease({ box: 'box', number, service: SERVICE, outcome, heldMs }, nowMs);
}

function listGranted(answers: readonly SlotAnswer[]): number[] {
  return answers.flatMap((answer) => (answer.type === 'granted' ? [answer.number] : []));
}

/** A scheduler with one endpoint whose slots are granted to the requests 1 to 5. */
function createFullScheduler(): SlotScheduler {
  const scheduler = createScheduler([{}]);
  expect(listGranted(requestAll(scheduler, [1, 2, 3, 4, 5]))).toEqual([1, 2, 3, 4, 5]);
  return scheduler;
}

test('a brittle endpoint gets no more than it has slots for', () => {
  const scheduler = createScheduler([{ rejectionsPerS: 3 }]);
  expect(listGranted(requestAll(scheduler, [1, 2, 3, 4, 5]))).toEqual([1, 2, 3, 4]);
  expect(listGranted(release(scheduler, 1, 'served'))).toEqual([5]);
});

test('a repeated request gets the same answer, and none after its release', () => {
  const scheduler = createFullScheduler();
  expect(requestAll(scheduler, [1])).toEqual([
    { box: 'box', number: 1, type: 'granted', service: SERVICE, endpointTag: 0 },
  ]);
  expect(requestAll(scheduler, [6, 6]).map(({ type }) => type)).toEqual(['queued', 'queued']);
  expect(scheduler.describeServices()).toMatchObject([{ waiting: 1, granted: 5, slots: 4, rejected: 0 }]);
  expect(listGranted(release(scheduler, 1, 'served'))).toEqual([6]);
  expect(requestAll(scheduler, [1])).toEqual([]);
});

test('a request that was withdrawn is not granted', () => {
  const scheduler = createFullScheduler();
  requestAll(scheduler, [6, 7]);
  expect(release(scheduler, 6, 'unused')).toEqual([]);
  expect(listGranted(release(scheduler, 1, 'served'))).toEqual([7]);
});

test('a slot is not granted again while a long response may run; it is free after that if its release is lost', () => {
  const scheduler = createScheduler([{}]);
  // A response of 40 s: it has to start within 2 s, and has ended after 42 s.
  requestAll(scheduler, [1, 2, 3, 4, 5], { patienceMs: 2_000, expiresMs: 42_000 });
  const leaseEndMs = START_MS + 42_000 + LEASE_MARGIN_MS;
  requestAll(scheduler, [6], { patienceMs: 8_000, expiresMs: 50_000 }, leaseEndMs - 100);
  expect(listGranted(scheduler.tick(leaseEndMs - 1))).toEqual([]);
  expect(listGranted(scheduler.tick(leaseEndMs))).toEqual([6]);
});

test('a request that was withdrawn, or given back unused, is answered when it is requested again', () => {
  const scheduler = createFullScheduler();
  requestAll(scheduler, [6]);
  release(scheduler, 6, 'unused');
  expect(requestAll(scheduler, [6])).toMatchObject([{ number: 6, type: 'queued' }]);
  expect(listGranted(release(scheduler, 1, 'unused'))).toEqual([6]);
  expect(requestAll(scheduler, [1])).toMatchObject([{ number: 1, type: 'queued' }]);
});

test('a brittle endpoint that refuses what it was granted gets none while one more rejection could be the last it survives', () => {
  const scheduler = createScheduler([{ rejectionsPerS: 2 }]);
  expect(listGranted(requestAll(scheduler, [1]))).toEqual([1]);
  release(scheduler, 1, 'refused');
  expect(listGranted(requestAll(scheduler, [2]))).toEqual([]);
  expect(listGranted(scheduler.tick(START_MS + 1_001))).toEqual([2]);
});

test('slots that a predecessor granted count, and those of brittle endpoints are not granted again at once after a box is lost', () => {
  const scheduler = createScheduler([{ rejectionsPerS: 3 }]);
  requestAll(scheduler, [1], { heldTag: 0 });
  expect(scheduler.describeServices()).toMatchObject([{ granted: 1 }]);
  scheduler.dropBox('box', START_MS);
  expect(scheduler.describeServices()).toMatchObject([{ granted: 1 }]);
  scheduler.tick(START_MS + 1_000);
  expect(scheduler.describeServices()).toMatchObject([{ granted: 0 }]);
});

test('the schedule of a service that nothing is requested of ends, also one with slots', () => {
  const scheduler = createScheduler([{}]);
  scheduler.tick(1_000);
  requestAll(scheduler, [1], { expiresMs: 20_000 });
  scheduler.tick(START_MS + 10_000);
  expect(scheduler.describeServices()).toMatchObject([{ granted: 1 }]);
  release(scheduler, 1, 'served', START_MS + 10_000);
  scheduler.tick(START_MS + 10_001);
  expect(scheduler.describeServices()).toEqual([]);
});

test('the slots of a box that is down go to the others, and its requests are withdrawn', () => {
  const scheduler = createFullScheduler();
  requestAll(scheduler, [6]);
  requestAll(scheduler, [7, 8], { box: 'other' });
  expect(listGranted(scheduler.dropBox('box', START_MS))).toEqual([7, 8]);
  expect(scheduler.describeServices()).toMatchObject([{ waiting: 0, granted: 2 }]);
});

test('a new scheduler counts what a predecessor may have granted for its first second', () => {
  const scheduler = createScheduler([{ reportedInFlight: 5 }]);
  expect(requestAll(scheduler, [1]).map(({ type }) => type)).toEqual(['queued']);
  expect(release(scheduler, 99, 'served')).toEqual([]);
  expect(listGranted(scheduler.tick(START_MS + SETTLE_MS - 1))).toEqual([]);
  expect(listGranted(scheduler.tick(START_MS + SETTLE_MS))).toEqual([1]);
});

test('an endpoint that refuses for lack of room is granted less for a while', () => {
  const scheduler = createFullScheduler();
  requestAll(scheduler, [6, 7, 8]);
  expect(listGranted(release(scheduler, 1, 'refused'))).toEqual([]);
  expect(listGranted(release(scheduler, 2, 'served'))).toEqual([]);
  expect(listGranted(release(scheduler, 3, 'served'))).toEqual([6]);
  expect(listGranted(scheduler.tick(START_MS + 300))).toEqual([7, 8]);
});

test.each([
  ['fifth', [1, 2, 3, 4, 5], 9_999, 4],
  ['fifth', [1, 2, 3, 4, 5], 10_000, 5],
  ['first', [1], 300, 5],
] as const)(
  'an endpoint with four slots refused its %s request (%j): %i ms later it gets %i',
  (_, used, afterMs, count) => {
    const scheduler = createScheduler([{}]);
    // The schedule begins with its first request.
    requestAll(scheduler, [99]);
    release(scheduler, 99, 'served');
    const nowMs = START_MS + SETTLE_MS;
    requestAll(scheduler, used, {}, nowMs);
    release(scheduler, used.length, 'refused', nowMs);
    for (const number of used.slice(0, -1)) release(scheduler, number, 'served', nowMs);
    const granted = listGranted(requestAll(scheduler, [11, 12, 13, 14, 15, 16], {}, nowMs + afterMs));
    expect(granted).toHaveLength(count);
  },
);

test('requests that can use the free endpoint go before one that cannot, which is next at its own', () => {
  const scheduler = createScheduler([{}, {}]);
  requestAll(scheduler, [1, 2, 3, 4, 5], { excluded: [1] });
  requestAll(scheduler, [6], { excluded: [1] });
  expect(listGranted(requestAll(scheduler, [7]))).toEqual([7]);
  requestAll(scheduler, [8, 9, 10, 11, 12]);
  expect(listGranted(release(scheduler, 7, 'served'))).toEqual([12]);
  expect(listGranted(release(scheduler, 1, 'served'))).toEqual([6]);
});

test('a preferred endpoint is used while it has a free slot, then the one that is expected to be done first', () => {
  const scheduler = createScheduler([{}, {}]);
  const answers = requestAll(scheduler, [1, 2, 3, 4, 5], { preferred: [1] });
  const tags = answers.flatMap((answer) => (answer.type === 'granted' ? [answer.endpointTag] : []));
  expect(tags).toEqual([1, 1, 1, 1, 0]);
});

test('requests without time or without an endpoint are rejected at once', () => {
  const scheduler = createScheduler([{}]);
  const types = [
    ...requestAll(scheduler, [1], { patienceMs: 0 }),
    ...requestAll(scheduler, [2], { excluded: [0] }),
    ...requestAll(scheduler, [3], { service: 'unknown' }),
  ].map(({ type }) => type);
  expect(types).toEqual(['rejected', 'rejected', 'rejected']);
});

test('a request pushed back past its patience by more urgent ones is rejected', () => {
  const scheduler = createFullScheduler();
  // Hold times of 40 ms are known.
  for (const number of [1, 2, 3, 4, 5]) release(scheduler, number, 'served');
  requestAll(scheduler, [11, 12, 13, 14, 15]);
  const numbers = Array.from({ length: 40 }, (_, index) => 100 + index);
  expect(requestAll(scheduler, [6], { rank: 1, patienceMs: 60 })).toMatchObject([{ type: 'queued' }]);
  requestAll(scheduler, numbers, { rank: 0 }, START_MS + 1);
  expect(scheduler.tick(START_MS + 20)).toMatchObject([{ number: 6, type: 'rejected' }]);
});

test('a caller that returns when told goes before newcomers; one that returns early is told the same time', () => {
  const scheduler = createFullScheduler();
  // Rejected, as it can use no endpoint; a part of the rate is kept for its return.
  const rejected = requestAll(scheduler, [6, 7], { content: 'a', excluded: [0] });
  expect(rejected).toMatchObject([{ type: 'rejected' }, { type: 'rejected' }]);
  const [first, second] = rejected.map((answer) => (answer.type === 'rejected' ? answer.retryAfterMs : 0));
  expect(second).toBeGreaterThan(first ?? 0);
  const returnAtMs = START_MS + (first ?? 0);
  expect(requestAll(scheduler, [8], { content: 'a' }, returnAtMs - 10)).toMatchObject([
    { type: 'rejected', retryAfterMs: 10 },
  ]);
  requestAll(scheduler, [9], { content: 'b', isOnce: true }, returnAtMs - 10);
  expect(requestAll(scheduler, [10], { content: 'a' }, returnAtMs)).toMatchObject([{ type: 'queued' }]);
  expect(listGranted(release(scheduler, 1, 'served', returnAtMs))).toEqual([10]);
  expect(listGranted(release(scheduler, 2, 'served', returnAtMs))).toEqual([9]);
});

test('a caller for whose return nothing could be kept returns like a newcomer', () => {
  const scheduler = createFullScheduler();
  // Its patience is so short that it is told to return before its turn.
  requestAll(scheduler, [6], { content: 'a', patienceMs: 1 });
  const returnAtMs = START_MS + 20;
  requestAll(scheduler, [7], { content: 'b', isOnce: true }, returnAtMs - 10);
  requestAll(scheduler, [8], { content: 'a' }, returnAtMs);
  expect(listGranted(release(scheduler, 1, 'served', returnAtMs))).toEqual([7]);
});

test('a caller with two equal requests at once: the second is not taken for an early return of the first', () => {
  const scheduler = createFullScheduler();
  const first = requestAll(scheduler, [6], { content: 'a', excluded: [0] });
  expect(first).toMatchObject([{ type: 'rejected' }]);
  const second = requestAll(scheduler, [7], { content: 'a' }, START_MS + 1);
  expect(second).toMatchObject([{ type: 'queued' }]);
  expect(listGranted(release(scheduler, 1, 'served', START_MS + 2))).toEqual([7]);
  const returnAtMs = START_MS + 20;
  requestAll(scheduler, [8], { content: 'b', isOnce: true }, returnAtMs);
  requestAll(scheduler, [9], { content: 'a' }, returnAtMs);
  expect(listGranted(release(scheduler, 2, 'served', returnAtMs))).toEqual([9]);
});

test('an early return with little time left is told to come back within a third of it', () => {
  const scheduler = createScheduler([{ slotsInEffect: 0 }]);
  const [rejected] = requestAll(scheduler, [1], { content: 'a', patienceMs: 9_000 });
  expect(rejected).toMatchObject({ type: 'rejected' });
  const [early] = requestAll(scheduler, [2], { content: 'a', patienceMs: 300 }, START_MS + 50);
  expect(early?.type === 'rejected' && early.retryAfterMs).toBeLessThanOrEqual(100);
});

test('the first request of a team while another takes all slots: its share is expected, and it goes next', () => {
  const scheduler = createScheduler([{}]);
  const numbers = Array.from({ length: 100 }, (_, index) => 10 + index);
  const patienceMs = 20_000;
  requestAll(scheduler, numbers, { team: 'busy', targetMs: 10_000, patienceMs });
  const turnMs = 10_000 / 4 / 5;
  const answers = requestAll(scheduler, [1], { team: 'quiet', targetMs: 5_000, patienceMs });
  const expectedWaitsMs = answers.map((answer) => answer.type === 'queued' && answer.expectedWaitMs);
  expect(expectedWaitsMs).toEqual([expect.any(Number)]);
  expect(expectedWaitsMs[0]).toBeLessThan(2 * turnMs);
  const released = [10, 11].flatMap((number) => release(scheduler, number, 'served'));
  expect(listGranted(released)).toContain(1);
});

test('requests of 200 ms, three for each slot and before any has ended: none is rejected that starts in time', () => {
  const scheduler = createScheduler([{}]);
  const numbers = Array.from({ length: 12 }, (_, index) => index);
  const answers = requestAll(scheduler, numbers, { targetMs: 6_000, patienceMs: 3_700, expiresMs: 6_000 });
  let running = listGranted(answers);
  for (let nowMs = START_MS + 200; nowMs <= START_MS + 600; nowMs += 200) {
    for (let tickMs = nowMs - 180; tickMs < nowMs; tickMs += 20) answers.push(...scheduler.tick(tickMs));
    const released = running.flatMap((number) => release(scheduler, number, 'served', nowMs, 200));
    running = listGranted(released);
    answers.push(...released);
  }
  expect(listGranted(answers)).toHaveLength(numbers.length);
  expect(answers.filter(({ type }) => type === 'rejected')).toEqual([]);
});

test('a request that waited at a predecessor is kept if it can start in time; a new one with as long a wait is not', () => {
  const scheduler = createFullScheduler();
  for (const number of [1, 2, 3, 4, 5]) release(scheduler, number, 'served', START_MS + 40);
  const nowMs = START_MS + 100;
  const numbers = Array.from({ length: 25 }, (_, index) => 10 + index);
  requestAll(scheduler, numbers, {}, nowMs);
  // Twenty that wait for five slots held for 40 ms: the next one starts after some 170 ms.
  const patienceMs = 180;
  expect(requestAll(scheduler, [50], { patienceMs }, nowMs)).toMatchObject([{ type: 'rejected' }]);
  const waited = { patienceMs, waitedMs: 300 };
  expect(requestAll(scheduler, [51], waited, nowMs)).toMatchObject([{ type: 'queued' }]);
});

test('a request expects to wait for the endpoints it can use, and is rejected at once if they have no slots', () => {
  const scheduler = createScheduler([{}, {}, { slotsInEffect: 0 }]);
  requestAll(scheduler, [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]);
  const readWaitsMs = (answers: readonly SlotAnswer[]): number[] =>
    answers.flatMap((answer) => (answer.type === 'queued' ? [answer.expectedWaitMs] : []));
  const [anyMs] = readWaitsMs(requestAll(scheduler, [11]));
  release(scheduler, 11, 'unused');
  const [oneMs] = readWaitsMs(requestAll(scheduler, [12], { excluded: [1] }));
  expect(oneMs).toBeCloseTo(2 * (anyMs ?? 0));
  expect(requestAll(scheduler, [13], { excluded: [0, 1] })).toMatchObject([{ type: 'rejected' }]);
});

test('a new scheduler that hears first of requests past their target assumes no shorter hold times for that', () => {
  const scheduler = createScheduler([{}]);
  requestAll(scheduler, [1, 2, 3, 4, 5], { waitedMs: 250, targetMs: -50 });
  // Five slots that are held for 50 ms: the next is free in 10 ms.
  expect(requestAll(scheduler, [6], { patienceMs: 15 })).toMatchObject([
    { type: 'queued', expectedWaitMs: 10 },
  ]);
});

test('a thousand that wait: waits are estimated seldom, and what is too late is still rejected within a tick', () => {
  const scheduler = createFullScheduler();
  const numbers = Array.from({ length: 1_000 }, (_, index) => 10 + index);
  requestAll(scheduler, numbers, { patienceMs: 600_000, targetMs: 10_000 });
  requestAll(scheduler, [6], { rank: 1, patienceMs: 630, targetMs: 10_000 });
  const estimateWaitMs = jest.spyOn(SlotQueue.prototype, 'estimateWaitMs').mockReturnValue(0);
  const rejectedAtMs: number[] = [];
  for (let nowMs = START_MS; nowMs <= START_MS + 1_000; nowMs += 20) {
    const answers = scheduler.tick(nowMs);
    if (answers.some(({ number, type }) => number === 6 && type === 'rejected')) rejectedAtMs.push(nowMs);
  }
  // Each is estimated every 200 ms.
  expect(estimateWaitMs.mock.calls.length).toBeLessThan(7 * numbers.length);
  estimateWaitMs.mockRestore();
  expect(rejectedAtMs).toEqual([START_MS + 640]);
});
