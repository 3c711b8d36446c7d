/**
 * Guards against overloading cold endpoints: an endpoint that has just started fails if all boxes together send it more than a
 * limited number of requests within a second.
 *
 * The cold-start fields of listings used to be decoded but ignored. Each box sees only a small part of the traffic and counts
 * only its own requests, so all boxes sent a new endpoint its full share as soon as it was listed, and several times as much if it
 * was the preferred endpoint of a hot prompt.
 *
 * Simulates whole fleets in virtual time, in which the endpoints count the requests that actually arrive.
 */
import type { TrafficPlan, VirtualLoad } from '../__fixtures__/trafficPlan.js';
import { VirtualTraffic } from '../__fixtures__/virtualTraffic.js';

const STARTUP_S = 6;
const COLD_S = 4;
/** Requests per second that a cold endpoint sustains, and the number that the platform allows within a second. */
const COLD_PER_S = 13;
const MAX_PER_S = COLD_PER_S * 1.5 + 5;

/** Creates the plan of a site in typical proportions: six engines for five boxes, and traffic in proportion to the engines. */
function createPlan(boxes: number, seed: number, trafficFactor: number, hotShare = 0): TrafficPlan {
  const engines = Math.ceil(boxes * 1.2);
  const perEngine = trafficFactor * engines;
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
  await traffic.fleet.run(STARTUP_S);
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
  'a third more endpoints that start at once stay within the cold limit in a surge (%d boxes, seed %d)',
  async (boxes, seed) => {
    const plan = createPlan(boxes, seed, 3);
    const traffic = await startTraffic(plan);
    traffic.startCold('llm', Math.ceil(countEngines(plan) / 3));
    await traffic.fleet.run(COLD_S);
    expect(traffic.findMaxColdPerSecond()).toBeLessThanOrEqual(MAX_PER_S);
  },
);

test('a cold endpoint that is preferred for a hot prompt stays within the cold limit', async () => {
  const plan = createPlan(65, 25, 2, 0.5);
  const traffic = await startTraffic(plan);
  traffic.startCold('llm', 26);
  await traffic.fleet.run(COLD_S);
  expect(traffic.findMaxColdPerSecond()).toBeLessThanOrEqual(MAX_PER_S);
});

test('endpoints that a release replaces in groups of four stay within the cold limit', async () => {
  const plan = createPlan(65, 26, 2);
  const traffic = await startTraffic(plan);
  for (let wave = 0; wave < 4; wave += 1) {
    traffic.startCold('llm', 4, `wave-${wave}`);
    await traffic.fleet.run(1.5);
  }
  await traffic.fleet.run(COLD_S);
  expect(traffic.findMaxColdPerSecond()).toBeLessThanOrEqual(MAX_PER_S);
});

test('boxes that pause and boxes that join stay within the cold limit', async () => {
  const plan = createPlan(65, 27, 3);
  const traffic = await startTraffic(plan);
  traffic.pauseRandomly(200, 600);
  for (let count = 0; count < 8; count += 1) traffic.fleet.addNew(`hall-${count % 4}`);
  traffic.startCold('llm', 26);
  await traffic.fleet.run(COLD_S);
  expect(traffic.findMaxColdPerSecond()).toBeLessThanOrEqual(MAX_PER_S);
});

test('endpoints that start after a restart of all boxes stay within the cold limit', async () => {
  const plan = createPlan(65, 28, 3);
  const traffic = await startTraffic(plan);
  for (const box of traffic.fleet.boxes) traffic.fleet.stop(box, 'killed');
  await traffic.fleet.run(0.5);
  for (const box of traffic.fleet.boxes) traffic.fleet.restart(box);
  await traffic.fleet.run(0.3);
  traffic.startCold('llm', 26);
  await traffic.fleet.run(COLD_S);
  expect(traffic.findMaxColdPerSecond()).toBeLessThanOrEqual(MAX_PER_S);
});
