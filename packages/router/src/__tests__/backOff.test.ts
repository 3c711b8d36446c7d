/**
 * Guards against requests to endpoints during a back-off that they requested from the box. Simulates whole fleets in virtual
 * time with endpoints that reject every request and ask for a back-off each time.
 */
import type { TrafficPlan, VirtualLoad } from '../__fixtures__/trafficPlan.js';
import { VirtualTraffic } from '../__fixtures__/virtualTraffic.js';

const BACK_OFF_MS = 3_000;
/** Limit on requests from one box to an endpoint between half a second after the rejection and the end of the back-off. */
const MAX_REQUESTS_IN_BACK_OFF = 2;

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

function listFirstEndpoints(plan: TrafficPlan, share: number): string[] {
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
])(
  'an endpoint gets at most two requests from a box during a back-off (%d boxes, seed %d, endpoint share %d)',
  async (boxes, seed, share) => {
    const plan = createPlan(boxes, seed);
    const traffic = await startTraffic(plan);
    const rejecting = listFirstEndpoints(plan, share);
    traffic.rejectRequests(rejecting, BACK_OFF_MS);
    await traffic.fleet.run(8);
    traffic.rejectRequests(rejecting, 0);
    await traffic.fleet.run(4);
    expect(traffic.announcementChecker.maxArrivalsInBackOff).toBeLessThanOrEqual(MAX_REQUESTS_IN_BACK_OFF);
  },
);

test('the other endpoints serve all requests, and the rejecting ones serve again after the back-off', async () => {
  const plan = createPlan(24, 66);
  const traffic = await startTraffic(plan);
  const rejecting = listFirstEndpoints(plan, 0.3);
  traffic.rejectRequests(rejecting, BACK_OFF_MS);
  await traffic.fleet.run(4);
  expect(traffic.refused).toBe(0);
  traffic.rejectRequests(rejecting, 0);
  await traffic.fleet.run(4);
  const before = rejecting.map((id) => traffic.countAccepted(id));
  await traffic.fleet.run(4);
  rejecting.forEach((id, at) => expect(traffic.countAccepted(id)).toBeGreaterThan(before[at] ?? 0));
});

test('back-offs are honored while boxes pause, restart and join', async () => {
  const plan = createPlan(24, 67);
  const traffic = await startTraffic(plan);
  traffic.pauseRandomly(600, 300);
  const rejecting = listFirstEndpoints(plan, 0.5);
  traffic.rejectRequests(rejecting, BACK_OFF_MS);
  await traffic.fleet.run(3);
  for (const box of traffic.fleet.boxes.slice(0, 8)) traffic.fleet.stop(box, 'killed');
  traffic.fleet.addNew('hall-1');
  await traffic.fleet.run(0.5);
  for (const box of traffic.fleet.boxes.slice(0, 8)) traffic.fleet.restart(box);
  await traffic.fleet.run(5);
  expect(traffic.announcementChecker.maxArrivalsInBackOff).toBeLessThanOrEqual(MAX_REQUESTS_IN_BACK_OFF);
});

test('back-offs are honored after the endpoints are listed again', async () => {
  const plan = createPlan(24, 68);
  const traffic = await startTraffic(plan);
  const rejecting = listFirstEndpoints(plan, 0.3);
  traffic.rejectRequests(rejecting, BACK_OFF_MS);
  await traffic.fleet.run(1);
  traffic.relistAsLive(rejecting);
  await traffic.fleet.run(5);
  expect(traffic.announcementChecker.maxArrivalsInBackOff).toBeLessThanOrEqual(MAX_REQUESTS_IN_BACK_OFF);
});
