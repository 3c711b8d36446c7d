/**
 * Seen: with 87 boxes as real processes, requests of one service found their endpoint over twice the mean load of the
 * service and three; more than three in a hundred of some five seconds in which nothing was wrong with any endpoint.
 *
 * How it comes about: loads reach a box as sums that are half a second old, a second at times. Whatever looks best in a
 * sum is chosen by all boxes until the next one. Calls without a prompt all go to the endpoint that looked idle, and a
 * prompt that many ask for fills one endpoint after the other.
 *
 * Cause: a best choice made by all boxes from the same old sums. Shown by whole fleets without a fault of any kind, in
 * virtual time: endpoints count what they really hold. Before calls were spread 6 to 15 in 100 requests were over the bound.
 */
import type { TrafficPlan, VirtualLoad } from '../__fixtures__/trafficPlan.js';
import { VirtualTraffic } from '../__fixtures__/virtualTraffic.js';

/** Boxes have met by then. */
const LEAD_S = 5;
const DAY_S = 12;
/** Share of the requests in a window that may find their endpoint over the bound. */
const BOUND_SHARE = 0.03;

interface Day {
  readonly seed: number;
  /** Share of the long generations, and of the short ones, that are for one prompt. */
  readonly hotLong?: number;
  readonly hotShort?: number;
  /** Median time of a plain call. */
  readonly plainMs?: number;
  /** Share of the calls that may repeat which fail the first time. */
  readonly failShare?: number;
  readonly disturb?: (traffic: VirtualTraffic) => void;
}

/** A site of 87 boxes, 78 engines and four plain endpoints at its usual traffic. */
function createPlan(day: Day): TrafficPlan {
  const { seed, hotLong = 0, hotShort = 0, plainMs = 20, failShare = 0.14 } = day;
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

/** A site of few boxes and 13 engines, most of whose long generations are for one prompt. */
function createSmallPlan(boxes: number, seed: number, times: number): TrafficPlan {
  const loads: VirtualLoad[] = [
    { service: 'llm', perS: times * 29, workMs: 700, spread: 0.44, prompts: 100, hotShare: 0.6 },
    { service: 'llm', perS: times * 41, workMs: 500, spread: 0.6, prompts: 60 },
    { service: 'llm', perS: times * 50, workMs: 60, spread: 0.6, prompts: 200 },
  ];
  return {
    fleet: { boxes, halls: 4, seed },
    services: [{ name: 'llm', endpoints: 13, slots: 48 }],
    loads,
  };
}

async function play(day: Day): Promise<VirtualTraffic> {
  return playPlan(createPlan(day), day);
}

async function playPlan(plan: TrafficPlan, day: Pick<Day, 'disturb'>): Promise<VirtualTraffic> {
  const traffic = await VirtualTraffic.create(plan);
  await traffic.fleet.run(LEAD_S);
  traffic.start();
  day.disturb?.(traffic);
  await traffic.fleet.run(DAY_S);
  return traffic;
}

test.each([1, 2])(
  'calls without prompts keep to the bound where they last as long as a sum is old (seed %d)',
  async (seed) => {
    const traffic = await play({ seed, plainMs: 60 });
    expect(traffic.readWorstShare('app')).toBeLessThanOrEqual(BOUND_SHARE);
  },
);

test('repeats of calls that fail keep to the bound', async () => {
  const traffic = await play({ seed: 3, plainMs: 60, failShare: 0.5 });
  expect(traffic.readWorstShare('app')).toBeLessThanOrEqual(BOUND_SHARE);
});

test('boxes that stand still now and then keep to the bound', async () => {
  const disturb = (traffic: VirtualTraffic): void => traffic.pauseNowAndThen(100, 300);
  const traffic = await play({ seed: 4, plainMs: 60, disturb });
  expect(traffic.readWorstShare('app')).toBeLessThanOrEqual(BOUND_SHARE);
  expect(traffic.readWorstShare('llm')).toBeLessThanOrEqual(BOUND_SHARE);
});

test('a prompt that three in ten long generations are for keeps to the bound', async () => {
  const traffic = await play({ seed: 5, hotLong: 0.3 });
  expect(traffic.readWorstShare('llm')).toBeLessThanOrEqual(BOUND_SHARE);
});

test('a prompt that three in ten short generations are for keeps to the bound', async () => {
  const traffic = await play({ seed: 6, hotShort: 0.28 });
  expect(traffic.readWorstShare('llm')).toBeLessThanOrEqual(BOUND_SHARE);
});

/**
 * Seen: with half of the short generations for one prompt, 56 and 59 of the 61 and 67 requests over the bound came in the
 * first second. Speakers told which prompts are hot with their sums, twice a second, so that the news took three of these.
 */
test.each([11, 12])(
  'a prompt that half of the short generations are for keeps to the bound (seed %d)',
  async (seed) => {
    const traffic = await play({ seed, hotShort: 0.5 });
    expect(traffic.readWorstShare('llm')).toBeLessThanOrEqual(BOUND_SHARE);
  },
);

test('an endpoint eight times as slow as the others gets less than half of its share of the calls', async () => {
  const traffic = await play({
    seed: 7,
    plainMs: 60,
    disturb: (one) => one.slowDown('app-1', 8),
  });
  const taken = ['app-0', 'app-1', 'app-2', 'app-3'].map((id) => traffic.countTaken(id));
  const all = taken.reduce((sum, one) => sum + one, 0);
  expect(traffic.countTaken('app-1') / all).toBeLessThan(0.125);
  expect(traffic.readWorstShare('app')).toBeLessThanOrEqual(BOUND_SHARE);
});

/**
 * Seen in fleets of up to 16 boxes, at once the usual traffic and twice: 3 to 9 in 100 of the worst five seconds are over
 * the bound, in every second of the day. Nobody adds up there what all boxes are asked for, so that a prompt is never
 * known to be hot: it fills its home up to the cap, then the next one, as of loads that are half a second old and more.
 */
test.each([
  [8, 11, 1],
  [8, 12, 2],
  [16, 13, 2],
])(
  'a hot prompt keeps to the bound in a small fleet (%d boxes, seed %d, %d times the traffic)',
  async (...site) => {
    const traffic = await playPlan(createSmallPlan(...site), {});
    expect(traffic.readWorstShare('llm')).toBeLessThanOrEqual(BOUND_SHARE);
  },
);
