/**
 * Guards against requests to endpoints within a back-off that they asked the box for. Whole fleets in virtual time: endpoints
 * turn everything away, each asking for a back-off in each refusal.
 */
import type { TrafficPlan, VirtualLoad } from '../__fixtures__/trafficPlan.js';
import { VirtualTraffic } from '../__fixtures__/virtualTraffic.js';

const BACK_OFF_MS = 3_000;
/** Requests of one box that an endpoint accepts within a back-off, half a second after it asked for it. */
const MOST_IN_BACK_OFF = 2;

function createPlan(boxes: number, seed: number): TrafficPlan {
  const endpoints = Math.ceil(boxes * 1.2);
  const loads: VirtualLoad[] = [
    { service: 'llm', perS: 4 * endpoints, workMs: 350, spread: 0.6, prompts: 300, hotShare: 0.1 },
    { service: 'app', perS: 4 * endpoints, workMs: 80, spread: 0.4, prompts: 0, failShare: 0.1 },
  ];
  return {
    fleet: { boxes, halls: 4, seed },
    services: [
      { name: 'llm', endpoints, slots: 12 },
      { name: 'app', endpoints, slots: 12 },
    ],
    loads,
  };
}

function listFirst(plan: TrafficPlan, share: number): string[] {
  return plan.services.flatMap(({ name, endpoints }) =>
    Array.from({ length: Math.ceil(endpoints * share) }, (_, at) => `${name}-${at}`),
  );
}

async function startTraffic(plan: TrafficPlan): Promise<VirtualTraffic> {
  const traffic = await VirtualTraffic.create(plan);
  await traffic.fleet.run(6);
  traffic.start();
  await traffic.fleet.run(1);
  return traffic;
}

test.each([
  [8, 61, 0.3],
  [24, 62, 0.3],
  [65, 63, 0.3],
  [8, 64, 1],
  [24, 65, 1],
])('at most two requests of a box (%d boxes, seed %d, %d of the endpoints)', async (boxes, seed, share) => {
  const plan = createPlan(boxes, seed);
  const traffic = await startTraffic(plan);
  const busy = listFirst(plan, share);
  traffic.rejectRequests(busy, BACK_OFF_MS);
  await traffic.fleet.run(8);
  traffic.rejectRequests(busy, 0);
  await traffic.fleet.run(4);
  expect(traffic.announcementChecker.mostArrivalsInBackOff).toBeLessThanOrEqual(MOST_IN_BACK_OFF);
});

test('the others serve meanwhile, and those that turned away serve again afterwards', async () => {
  const plan = createPlan(24, 66);
  const traffic = await startTraffic(plan);
  const busy = listFirst(plan, 0.3);
  traffic.rejectRequests(busy, BACK_OFF_MS);
  await traffic.fleet.run(4);
  expect(traffic.refused).toBe(0);
  traffic.rejectRequests(busy, 0);
  await traffic.fleet.run(4);
  const before = busy.map((id) => traffic.countTaken(id));
  await traffic.fleet.run(4);
  busy.forEach((id, at) => expect(traffic.countTaken(id)).toBeGreaterThan(before[at] ?? 0));
});

test('boxes that stand still, start again or join', async () => {
  const plan = createPlan(24, 67);
  const traffic = await startTraffic(plan);
  traffic.pauseNowAndThen(600, 300);
  const busy = listFirst(plan, 0.5);
  traffic.rejectRequests(busy, BACK_OFF_MS);
  await traffic.fleet.run(3);
  for (const box of traffic.fleet.boxes.slice(0, 8)) traffic.fleet.stop(box, 'killed');
  traffic.fleet.addNew('hall-1');
  await traffic.fleet.run(0.5);
  for (const box of traffic.fleet.boxes.slice(0, 8)) traffic.fleet.restart(box);
  await traffic.fleet.run(5);
  expect(traffic.announcementChecker.mostArrivalsInBackOff).toBeLessThanOrEqual(MOST_IN_BACK_OFF);
});

test('endpoints that are listed anew meanwhile', async () => {
  const plan = createPlan(24, 68);
  const traffic = await startTraffic(plan);
  const busy = listFirst(plan, 0.3);
  traffic.rejectRequests(busy, BACK_OFF_MS);
  await traffic.fleet.run(1);
  traffic.relistAsLive(busy);
  await traffic.fleet.run(5);
  expect(traffic.announcementChecker.mostArrivalsInBackOff).toBeLessThanOrEqual(MOST_IN_BACK_OFF);
});
