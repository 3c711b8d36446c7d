/**
 * Guards against requests to endpoints that announced in their responses that they are about to leave, while the platform still
 * lists them as live. Simulates whole fleets in virtual time.
 */
import type { TrafficPlan, VirtualLoad } from '../__fixtures__/trafficPlan.js';
import { VirtualTraffic } from '../__fixtures__/virtualTraffic.js';

const HALLS = 4;
/** Share of the endpoints of each service that announce that they are about to leave. */
const LEAVING_SHARE = 0.25;

function createPlan(boxes: number, seed: number): TrafficPlan {
  const endpoints = Math.ceil(boxes * 1.2);
  const loads: VirtualLoad[] = [
    {
      service: 'llm',
      perS: 3 * endpoints,
      workMs: 350,
      spread: 0.6,
      prompts: 300,
      hotShare: 0.1,
      failShare: 0.1,
    },
    { service: 'app', perS: 2 * endpoints, workMs: 80, spread: 0.4, prompts: 0, failShare: 0.1 },
  ];
  return {
    fleet: { boxes, halls: HALLS, seed },
    services: [
      { name: 'llm', endpoints, slots: 12 },
      { name: 'app', endpoints, slots: 12 },
    ],
    loads,
  };
}

function listLeaving(plan: TrafficPlan): string[] {
  return plan.services.flatMap(({ name, endpoints }) =>
    Array.from({ length: Math.ceil(endpoints * LEAVING_SHARE) }, (_, at) => `${name}-${at}`),
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
  [8, 51],
  [24, 52],
  [65, 53],
])(
  'no request sent after the drain time reaches a leaving endpoint (%d boxes, seed %d)',
  async (boxes, seed) => {
    const plan = createPlan(boxes, seed);
    const traffic = await startTraffic(plan);
    traffic.announceLeaving(listLeaving(plan));
    await traffic.fleet.run(6);
    expect(traffic.announcementChecker.lateArrivals).toBe(0);
    expect(traffic.refused).toBe(0);
  },
);

test('no late request after leaving endpoints are listed as live again', async () => {
  const plan = createPlan(24, 54);
  const traffic = await startTraffic(plan);
  const leaving = listLeaving(plan);
  traffic.announceLeaving(leaving);
  await traffic.fleet.run(3);
  traffic.relistAsLive(leaving);
  await traffic.fleet.run(4);
  expect(traffic.announcementChecker.lateArrivals).toBe(0);
});

test('no late request from boxes that pause, restart or join', async () => {
  const plan = createPlan(24, 55);
  const traffic = await startTraffic(plan);
  traffic.pauseRandomly(600, 300);
  traffic.announceLeaving(listLeaving(plan));
  await traffic.fleet.run(3);
  for (const box of traffic.fleet.boxes.slice(0, 8)) traffic.fleet.stop(box, 'killed');
  for (let count = 0; count < 3; count += 1) traffic.fleet.addNew(`hall-${count}`);
  await traffic.fleet.run(0.5);
  for (const box of traffic.fleet.boxes.slice(0, 8)) traffic.fleet.restart(box);
  await traffic.fleet.run(5);
  expect(traffic.announcementChecker.lateArrivals).toBe(0);
});

test('no late request while halls are partitioned from each other', async () => {
  const plan = createPlan(24, 56);
  const traffic = await startTraffic(plan);
  const { fleet } = traffic;
  const hallOf = (address: string): string => fleet.find(address).hall;
  fleet.network.cut((from, to) => (hallOf(from) === 'hall-0') !== (hallOf(to) === 'hall-0'));
  traffic.announceLeaving(listLeaving(plan));
  await fleet.run(3);
  fleet.network.cut(() => false);
  await fleet.run(3);
  expect(traffic.announcementChecker.lateArrivals).toBe(0);
});
