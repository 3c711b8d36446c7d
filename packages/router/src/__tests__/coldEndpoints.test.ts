/**
 * Endpoints that have just started bear little: more than so many requests within a second, from all boxes together, and they
 * fall over.
 *
 * Seen: what an entry says of it was decoded and then used nowhere. Each box knows a sliver of the traffic and counts only
 * its own, so that a new endpoint gets its full share of all boxes as soon as it is listed, and a hot prompt whose home it is
 * brings several times as much. Whole fleets in virtual time: endpoints count what really reaches them.
 */
import type { TrafficPlan, VirtualLoad } from '../__fixtures__/trafficPlan.js';
import { VirtualTraffic } from '../__fixtures__/virtualTraffic.js';

const LEAD_S = 6;
const COLD_S = 4;
/** What a cold endpoint bears, and the platform's allowance for what reaches it within a second. */
const COLD_PER_S = 13;
const MOST_PER_S = COLD_PER_S * 1.5 + 5;

/** A site in the usual proportions: six engines for five boxes, and so much traffic for each engine. */
function createPlan(boxes: number, seed: number, times: number, hotShare = 0): TrafficPlan {
  const engines = Math.ceil(boxes * 1.2);
  const perEngine = times * engines;
  const loads: VirtualLoad[] = [
    { service: 'llm', perS: 1.1 * perEngine, workMs: 500, spread: 0.44, prompts: 300 },
    { service: 'llm', perS: 2.8 * perEngine, workMs: 350, spread: 0.6, prompts: 500 },
    { service: 'llm', perS: 3.1 * perEngine, workMs: 70, spread: 0.6, prompts: 700, hotShare },
  ];
  const coldStart = { perS: COLD_PER_S, startMs: 3_000 };
  return {
    fleet: { boxes, halls: 4, seed },
    services: [{ name: 'llm', endpoints: engines, slots: 12, coldStart }],
    loads,
  };
}

async function startTraffic(plan: TrafficPlan): Promise<VirtualTraffic> {
  const traffic = await VirtualTraffic.create(plan);
  await traffic.fleet.run(LEAD_S);
  traffic.start();
  await traffic.fleet.run(1);
  return traffic;
}

function countEngines(plan: TrafficPlan): number {
  return plan.services[0]?.endpoints ?? 0;
}

test.each([
  [8, 21],
  [24, 22],
  [65, 23],
  [195, 24],
])(
  'a third more endpoints at once stay within what they bear, in a surge (%d boxes)',
  async (boxes, seed) => {
    const plan = createPlan(boxes, seed, 3);
    const traffic = await startTraffic(plan);
    traffic.startCold('llm', Math.ceil(countEngines(plan) / 3));
    await traffic.fleet.run(COLD_S);
    expect(traffic.readMostColdInASecond()).toBeLessThanOrEqual(MOST_PER_S);
  },
);

test('the home of a hot prompt that starts anew stays within what it bears', async () => {
  const plan = createPlan(65, 25, 2, 0.5);
  const traffic = await startTraffic(plan);
  traffic.startCold('llm', 26);
  await traffic.fleet.run(COLD_S);
  expect(traffic.readMostColdInASecond()).toBeLessThanOrEqual(MOST_PER_S);
});

test('a release that replaces endpoints by fours stays within what they bear', async () => {
  const plan = createPlan(65, 26, 2);
  const traffic = await startTraffic(plan);
  for (let wave = 0; wave < 4; wave += 1) {
    traffic.startCold('llm', 4, `wave-${wave}`);
    await traffic.fleet.run(1.5);
  }
  await traffic.fleet.run(COLD_S);
  expect(traffic.readMostColdInASecond()).toBeLessThanOrEqual(MOST_PER_S);
});

test('boxes that stand still, and boxes that join, keep to the bound', async () => {
  const plan = createPlan(65, 27, 3);
  const traffic = await startTraffic(plan);
  traffic.pauseNowAndThen(200, 600);
  for (let count = 0; count < 8; count += 1) traffic.fleet.addNew(`hall-${count % 4}`);
  traffic.startCold('llm', 26);
  await traffic.fleet.run(COLD_S);
  expect(traffic.readMostColdInASecond()).toBeLessThanOrEqual(MOST_PER_S);
});

test('after a restart of all boxes, endpoints that start then stay within what they bear', async () => {
  const plan = createPlan(65, 28, 3);
  const traffic = await startTraffic(plan);
  for (const box of traffic.fleet.boxes) traffic.fleet.stop(box, 'killed');
  await traffic.fleet.run(0.5);
  for (const box of traffic.fleet.boxes) traffic.fleet.restart(box);
  await traffic.fleet.run(0.3);
  traffic.startCold('llm', 26);
  await traffic.fleet.run(COLD_S);
  expect(traffic.readMostColdInASecond()).toBeLessThanOrEqual(MOST_PER_S);
});
