import { createRandom } from '@hazelwalk/standins';
import type { FleetBox, FleetRequest } from '../__fixtures__/slotFleet.js';
import { SlotFleet } from '../__fixtures__/slotFleet.js';

function pick(boxes: readonly FleetBox[], at: number): FleetBox {
  const box = boxes[at % boxes.length];
  if (box === undefined) throw new Error('no box');
  return box;
}

function isGranted({ decision }: FleetRequest): boolean {
  return decision?.type === 'proceed' && decision.endpointTag !== undefined;
}

/** Enters one request at each box, and returns them with the scheduling box and another one. */
function fill(fleet: SlotFleet): { requests: FleetRequest[]; scheduler: FleetBox; other: FleetBox } {
  const requests = fleet.boxes.map((box) => fleet.enter(box));
  fleet.run(10);
  const scheduler = fleet.findScheduler();
  const other = fleet.boxes.find((box) => box !== scheduler);
  if (other === undefined) throw new Error('no other box');
  return { requests, scheduler, other };
}

test.each([
  ['a full mesh of 6 boxes', [3, 3], true],
  ['a large fleet of 3 halls', [4, 4, 4], false],
])(
  'more requests than slots in %s: no more are granted than there are slots, and all are served',
  async (_, halls, isFull) => {
    const fleet = await SlotFleet.create(halls, isFull);
    const requests = fleet.boxes.flatMap((box) => [fleet.serve(box, 30), fleet.serve(box, 30)]);
    for (let at = 0; at < 80; at += 1) {
      fleet.run(10);
      expect(fleet.countGrants()).toBeLessThanOrEqual(2);
    }
    expect(requests.filter(isGranted)).toHaveLength(requests.length);
    expect(fleet.boxes.filter(({ events }) => events.includes('unanswered'))).toEqual([]);
    expect(fleet.countGrants()).toBe(0);
  },
);

test('scheduling box silent: a request is sent without a slot soon, later ones at once, then another box schedules', async () => {
  const fleet = await SlotFleet.create([4]);
  const { scheduler, other } = fill(fleet);
  scheduler.state = 'silent';
  const first = fleet.enter(other);
  fleet.run(70);
  expect(first.decision).toEqual({ type: 'proceed', endpointTag: undefined, basis: { type: 'unanswered' } });
  const second = fleet.enter(other);
  expect(second.decision).toEqual({ type: 'proceed', endpointTag: undefined, basis: { type: 'unanswered' } });
  fleet.run(600);
  const third = fleet.enter(other);
  fleet.run(10);
  expect(isGranted(third)).toBe(true);
  expect(scheduler.scheduler.grants.size).toBe(2);
});

test('scheduling box silent for twenty seconds while its links stay up: few requests of a box go unanswered', async () => {
  const fleet = await SlotFleet.create([4]);
  const { scheduler, other } = fill(fleet);
  scheduler.state = 'silent';
  for (let at = 0; at < 200; at += 1) {
    fleet.serve(other, 20);
    fleet.run(100);
  }
  const unanswered = other.events.filter((event) => event === 'unanswered');
  expect(unanswered.length).toBeLessThanOrEqual(4);
  expect(fleet.requests.filter(isGranted).length).toBeGreaterThan(160);
});

test('scheduling box dies: waiting requests are granted by the next one within a tenth of a second, oldest first', async () => {
  const fleet = await SlotFleet.create([4]);
  const { scheduler, other } = fill(fleet);
  const older = fleet.enter(other);
  fleet.run(30);
  const newer = fleet.enter(other);
  fleet.endpoints = [{ tag: 1, slotsInEffect: 0, reportedInFlight: 0 }];
  fleet.run(30);
  const waiting = fleet.requests.filter(
    (request) => request.box !== scheduler && request.decision === undefined,
  );
  expect(waiting).toContain(older);
  scheduler.state = 'down';
  fleet.run(100);
  fleet.endpoints = [{ tag: 1, slotsInEffect: 1, reportedInFlight: 0 }];
  // The next box knows of the slots that others still hold.
  expect(waiting.some(isGranted)).toBe(false);
  for (const request of fleet.requests.filter(isGranted)) request.handle?.release('served');
  fleet.run(50);
  const oldest = waiting[0];
  expect(oldest !== undefined && isGranted(oldest)).toBe(true);
  expect(isGranted(newer)).toBe(false);
  expect(other.events).not.toContain('unanswered');
});

test('hall cut off: two boxes schedule, and at most twice the slots are granted; afterwards one schedules again', async () => {
  const fleet = await SlotFleet.create([3, 3]);
  const load = (): void => {
    for (const box of fleet.boxes) fleet.serve(box, 40);
  };
  let most = 0;
  const runLoaded = (rounds: number): void => {
    for (let round = 0; round < rounds; round += 1) {
      load();
      fleet.run(100);
      most = Math.max(most, fleet.countGrants());
    }
  };
  runLoaded(5);
  fleet.sees = (from, to) => from.hall === to.hall;
  runLoaded(10);
  expect(most).toBeLessThanOrEqual(4);
  fleet.sees = () => true;
  runLoaded(3);
  fleet.run(2_000);
  expect(fleet.countGrants()).toBe(0);
  for (const box of fleet.boxes) fleet.enter(box);
  fleet.run(10);
  expect(fleet.countGrants()).toBe(2);
});

test('hall cut off in a large fleet: its own leader schedules for it', async () => {
  const fleet = await SlotFleet.create([4, 4, 4], false);
  fleet.sees = (from, to) => (from.hall === 'hall-0') === (to.hall === 'hall-0');
  const requests = fleet.boxes.filter(({ hall }) => hall === 'hall-0').map((box) => fleet.enter(box));
  fleet.run(10);
  expect(requests.filter(isGranted)).toHaveLength(2);
  const schedulers = fleet.boxes.filter(({ scheduler }) => scheduler.grants.size > 0);
  expect(schedulers.map(({ hall }) => hall)).toEqual(['hall-0']);
});

test.each([1, 2, 3])(
  'frames lost, doubled and late (seed %d): each request is decided once, and no slot stays held',
  async (seed) => {
    const fleet = await SlotFleet.create([3, 3]);
    const random = createRandom(seed);
    fleet.transmit = () => {
      const drawn = random();
      if (drawn < 0.05) return [];
      return drawn < 0.2 ? [1, 20] : [drawn < 0.3 ? 80 : 1];
    };
    for (let at = 0; at < 100; at += 1) {
      fleet.serve(pick(fleet.boxes, at), 20);
      fleet.run(15);
    }
    fleet.run(6_000);
    expect(fleet.requests.filter(({ decision }) => decision === undefined)).toEqual([]);
    expect(fleet.countGrants()).toBe(0);
  },
);

test('box of an earlier version beside new ones: it gets no frame about slots', async () => {
  const fleet = await SlotFleet.create([4]);
  const old = pick(fleet.boxes, fleet.boxes.indexOf(fill(fleet).scheduler));
  const mixed = await SlotFleet.create([4]);
  const oldBox = mixed.boxes.find(({ address }) => address === old.address);
  if (oldBox === undefined) throw new Error('no box');
  oldBox.handlesSlots = false;
  const requests = mixed.boxes.filter((box) => box !== oldBox).map((box) => mixed.enter(box));
  mixed.run(10);
  expect(requests.filter(isGranted)).toHaveLength(2);
  expect(oldBox.received.size).toBe(0);
});

test('box paused while its requests wait: answers that wait in its sockets count, and no hop is passed over', async () => {
  const fleet = await SlotFleet.create([4]);
  const { scheduler, other } = fill(fleet);
  fleet.enter(other);
  fleet.pause(other, 700);
  fleet.run(1_000);
  expect(other.events).not.toContain('unanswered');
  expect(scheduler.scheduler.waiting.size).toBeGreaterThan(0);
});

test('caller leaves while its request waits: the next one gets the slot', async () => {
  const fleet = await SlotFleet.create([4]);
  const { requests, other } = fill(fleet);
  const first = fleet.enter(other);
  fleet.run(10);
  const second = fleet.enter(pick(fleet.boxes, fleet.boxes.indexOf(other) + 1));
  fleet.run(10);
  for (const request of requests.filter((each) => !isGranted(each))) request.handle?.release('unused');
  first.handle?.release('unused');
  requests.find(isGranted)?.handle?.release('served');
  fleet.run(10);
  expect(first.decision).toBeUndefined();
  expect(isGranted(second)).toBe(true);
});

test('scheduling box stops: another one schedules, and what waits at the stopping box is still granted', async () => {
  const fleet = await SlotFleet.create([4]);
  const { requests, scheduler } = fill(fleet);
  const waiting = fleet.enter(scheduler);
  scheduler.isStopping = true;
  fleet.run(100);
  expect(waiting.decision === undefined || isGranted(waiting)).toBe(true);
  for (const request of requests) request.handle?.release('served');
  fleet.run(100);
  expect(isGranted(waiting)).toBe(true);
});

test('box goes down with granted slots: they are free at once', async () => {
  const fleet = await SlotFleet.create([4]);
  const { requests, scheduler } = fill(fleet);
  const holder = requests.find((request) => isGranted(request) && request.box !== scheduler);
  if (holder === undefined) throw new Error('no holder');
  holder.box.state = 'down';
  fleet.run(100);
  expect(fleet.requests.filter((request) => request !== holder && isGranted(request))).toHaveLength(2);
});
