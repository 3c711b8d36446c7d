/**
 * Guards against exceeding the load bound in the remaining halls while others are evacuated and nothing is faulty.
 *
 * Requests that move to the remaining halls arrive at random times, and a load report is already as old as a request lasts,
 * so no box can detect which endpoints are full at the moment. If one of four halls is evacuated, the mean load of the
 * remaining endpoints is a third higher and 3% to 5% of the requests are over the bound; if two are, the mean is twice as
 * high and one request in seven is. In a run with two halls evacuated at once 283 of 2,639 requests were over the bound. A
 * lower load cap makes it worse, because boxes divert their requests at the same time; without a cap it is hardly better.
 *
 * Simulates whole fleets in virtual time. The endpoints count the requests that they actually have in flight; the mean
 * includes the endpoints of evacuated halls.
 */
import type { TrafficPlan, VirtualLoad } from '../__fixtures__/trafficPlan.js';
import { VirtualTraffic } from '../__fixtures__/virtualTraffic.js';

const BOUND_SHARE = 0.03;
const MAX_COLD_PER_S = 24.5;

function createPlan(seed: number, hotShare = 0): TrafficPlan {
  const loads: VirtualLoad[] = [
    { service: 'llm', perS: 83, workMs: 600, spread: 0.44, prompts: 467, hotShare },
    { service: 'llm', perS: 220, workMs: 350, spread: 0.69, prompts: 712 },
    { service: 'llm', perS: 242, workMs: 80, spread: 0.7, prompts: 909 },
  ];
  return {
    fleet: { boxes: 65, halls: 4, seed },
    services: [{ name: 'llm', endpoints: 78, slots: 12, coldStart: { perS: 13, startMs: 3_000 } }],
    loads,
  };
}

async function startTraffic(plan: TrafficPlan): Promise<VirtualTraffic> {
  const traffic = await VirtualTraffic.create(plan);
  await traffic.fleet.run(6);
  traffic.start();
  await traffic.fleet.run(3);
  return traffic;
}

test.each([
  [31, 0],
  [32, 0.2],
])('one hall after the other (seed %d, hot prompt %d)', async (seed, hotShare) => {
  const traffic = await startTraffic(createPlan(seed, hotShare));
  traffic.evacuate('hall-0');
  await traffic.fleet.run(7);
  traffic.revokeEvacuation('hall-0');
  await traffic.fleet.run(2);
  traffic.evacuate('hall-1');
  await traffic.fleet.run(7);
  expect(traffic.findWorstOverBoundShare('llm')).toBeLessThanOrEqual(BOUND_SHARE);
  expect(traffic.findMaxColdPerSecond()).toBeLessThanOrEqual(MAX_COLD_PER_S);
  expect(traffic.refused).toBe(0);
});

test.each([
  [33, 0],
  [34, 0.2],
])('two halls at once (seed %d, hot prompt %d)', async (seed, hotShare) => {
  const traffic = await startTraffic(createPlan(seed, hotShare));
  traffic.evacuate('hall-0');
  await traffic.fleet.run(7);
  traffic.evacuate('hall-1');
  await traffic.fleet.run(2);
  traffic.revokeEvacuation('hall-0');
  await traffic.fleet.run(6);
  expect(traffic.findWorstOverBoundShare('llm')).toBeLessThanOrEqual(BOUND_SHARE);
  expect(traffic.findMaxColdPerSecond()).toBeLessThanOrEqual(MAX_COLD_PER_S);
});
