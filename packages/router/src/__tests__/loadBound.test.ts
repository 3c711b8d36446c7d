/**
 * Guards against endpoints over the load bound, twice the mean load of the service plus three, while nothing is faulty.
 *
 * Loads reach a box as aggregates that are half a second old, sometimes a second. If all boxes choose the endpoint that looks
 * best in the same outdated aggregate, calls without a prompt all go to the endpoint that appeared idle, and a popular prompt
 * fills one endpoint after another. In a fleet of 87 real boxes, more than 3% of the requests were over the bound in some
 * windows of five seconds, although no endpoint was faulty. In this simulation it was 6% to 15% before calls were spread.
 *
 * Simulates whole fleets in virtual time, in which the endpoints count the requests that they actually have in flight.
 */
import type { TrafficPlan, VirtualLoad } from '../__fixtures__/trafficPlan.js';
import { VirtualTraffic } from '../__fixtures__/virtualTraffic.js';

/** Time in which all boxes join the fleet. */
const STARTUP_S = 5;
const RUN_S = 12;
/** Maximum share of the requests in a window that may arrive at an endpoint over the bound. */
const BOUND_SHARE = 0.03;

interface Scenario {
  readonly seed: number;
  /** Share of the long generations and of the short ones that go to the hot prompt. */
  readonly hotLong?: number;
  readonly hotShort?: number;
  /** Median service time of a plain call, in milliseconds. */
  readonly plainMs?: number;
  /** Share of the repeatable calls whose first attempt fails. */
  readonly failShare?: number;
  readonly disturb?: (traffic: VirtualTraffic) => void;
}

/** Creates the plan of a site of 87 boxes, 78 engines and four plain endpoints with typical traffic. */
function createPlan(scenario: Scenario): TrafficPlan {
  const { seed, hotLong = 0, hotShort = 0, plainMs = 20, failShare = 0.14 } = scenario;
  const plain = { service: 'app', workMs: plainMs, spread: 0.5, prompts: 0 };
  const loads: VirtualLoad[] = [
    { service: 'llm', perS: 85, workMs: 1_250, spread: 0.44, prompts: 394, hotShare: hotLong },
    { service: 'llm', perS: 73, workMs: 900, spread: 0.6, prompts: 227 },
    { service: 'llm', perS: 180, workMs: 130, spread: 0.6, prompts: 836, hotShare: hotShort },
    { ...plain, perS: 85 },
    { ...plain, perS: 34, failShare },
  ];
  return {
    fleet: { boxes: 87, halls: 4, seed },
    services: [
      { name: 'llm', endpoints: 78, slots: 12 },
      { name: 'app', endpoints: 4, slots: 6 },
    ],
    loads,
  };
}

/** Creates the plan of a site of few boxes and 13 engines, where most long generations go to one prompt. */
function createSmallPlan(boxes: number, seed: number, trafficFactor: number): TrafficPlan {
  const loads: VirtualLoad[] = [
    { service: 'llm', perS: trafficFactor * 29, workMs: 700, spread: 0.44, prompts: 100, hotShare: 0.6 },
    { service: 'llm', perS: trafficFactor * 41, workMs: 500, spread: 0.6, prompts: 60 },
    { service: 'llm', perS: trafficFactor * 50, workMs: 60, spread: 0.6, prompts: 200 },
  ];
  return {
    fleet: { boxes, halls: 4, seed },
    services: [{ name: 'llm', endpoints: 13, slots: 48 }],
    loads,
  };
}

async function runScenario(scenario: Scenario): Promise<VirtualTraffic> {
  return runPlan(createPlan(scenario), scenario);
}

async function runPlan(plan: TrafficPlan, scenario: Pick<Scenario, 'disturb'>): Promise<VirtualTraffic> {
  const traffic = await VirtualTraffic.create(plan);
  await traffic.fleet.run(STARTUP_S);
  traffic.start();
  scenario.disturb?.(traffic);
  await traffic.fleet.run(RUN_S);
  return traffic;
}

test.each([1, 2])(
  'calls without prompts stay within the bound if they last as long as an aggregate is old (seed %d)',
  async (seed) => {
    const traffic = await runScenario({ seed, plainMs: 60 });
    expect(traffic.findWorstOverBoundShare('app')).toBeLessThanOrEqual(BOUND_SHARE);
  },
);

test('retries of failed calls stay within the bound', async () => {
  const traffic = await runScenario({ seed: 3, plainMs: 60, failShare: 0.5 });
  expect(traffic.findWorstOverBoundShare('app')).toBeLessThanOrEqual(BOUND_SHARE);
});

test('boxes that pause at random stay within the bound', async () => {
  const disturb = (traffic: VirtualTraffic): void => traffic.pauseRandomly(100, 300);
  const traffic = await runScenario({ seed: 4, plainMs: 60, disturb });
  expect(traffic.findWorstOverBoundShare('app')).toBeLessThanOrEqual(BOUND_SHARE);
  expect(traffic.findWorstOverBoundShare('llm')).toBeLessThanOrEqual(BOUND_SHARE);
});

test('a prompt with 30 percent of the long generations stays within the bound', async () => {
  const traffic = await runScenario({ seed: 5, hotLong: 0.3 });
  expect(traffic.findWorstOverBoundShare('llm')).toBeLessThanOrEqual(BOUND_SHARE);
});

test('a prompt with 28 percent of the short generations stays within the bound', async () => {
  const traffic = await runScenario({ seed: 6, hotShort: 0.28 });
  expect(traffic.findWorstOverBoundShare('llm')).toBeLessThanOrEqual(BOUND_SHARE);
});

/**
 * Guards against a late report of a newly hot prompt. Aggregators used to report hot prompts only with their aggregates, twice
 * a second, so that a report took three of these periods. With half of the short generations for one prompt, 56 of 61 and 59
 * of 67 requests over the bound arrived in the first second.
 */
test.each([11, 12])(
  'a prompt with half of the short generations stays within the bound (seed %d)',
  async (seed) => {
    const traffic = await runScenario({ seed, hotShort: 0.5 });
    expect(traffic.findWorstOverBoundShare('llm')).toBeLessThanOrEqual(BOUND_SHARE);
  },
);

test('an endpoint eight times slower than the others gets less than half of its share of the calls', async () => {
  const traffic = await runScenario({
    seed: 7,
    plainMs: 60,
    disturb: (running) => running.slowDown('app-1', 8),
  });
  const accepted = ['app-0', 'app-1', 'app-2', 'app-3'].map((id) => traffic.countAccepted(id));
  const total = accepted.reduce((sum, count) => sum + count, 0);
  expect(traffic.countAccepted('app-1') / total).toBeLessThan(0.125);
  expect(traffic.findWorstOverBoundShare('app')).toBeLessThanOrEqual(BOUND_SHARE);
});

/**
 * Guards against undetected hot prompts in small fleets. When no box there aggregated the demand of all boxes, no prompt ever
 * counted as hot: it filled its preferred endpoint up to the cap and then the next one, by loads at least half a second old.
 * In fleets of up to 16 boxes, with typical and with double traffic, 3% to 9% of the requests in the worst five seconds were
 * over the bound, during the whole run.
 */
test.each([
  [8, 11, 1],
  [8, 12, 2],
  [16, 13, 2],
])(
  'a hot prompt stays within the bound in a small fleet (%d boxes, seed %d, %d times the traffic)',
  async (...planArguments) => {
    const traffic = await runPlan(createSmallPlan(...planArguments), {});
    expect(traffic.findWorstOverBoundShare('llm')).toBeLessThanOrEqual(BOUND_SHARE);
  },
);
