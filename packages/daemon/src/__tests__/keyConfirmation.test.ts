/**
 * Seen: twelve of fifteen requests for callers' own keys were served, the others refused with 2017 and `ran: "unknown"`,
 * while nothing was wrong with any box, with the platform or with a link.
 *
 * How it comes about: the owner of a key runs it only while the platform confirmed its lists within a lease. A call that
 * waits for a change confirms the list as it was when the call began, so a confirmation is replaced only after two
 * waits, and by peers a heartbeat later. Two waits were a lease long: once in each, keys had no sure owner.
 *
 * Shown by the owner's log in a fleet without a fault, 7 to 9 in 100 asks: "declared was confirmed 1505 ms ago" of 1500.
 */
import type { CoreSettings } from '@hazelwalk/core';
import { parseKeyTimeMs, VirtualKeyFleet } from '../__fixtures__/virtualKeyFleet.js';

const START_MS = 1_800_000_000_000;
const SECOND_MS = 1_000;
/** Short leases, as in tests with real processes; and those that ship. */
const SHORT = {
  keyLagMs: 100,
  keyLeaseMs: 1_500,
  keySkewMs: 100,
  clockErrorMs: 10,
  heartbeatMs: 200,
  leaseMs: 800,
};
const TIMINGS = [SHORT, {}];

beforeEach(() => {
  jest.useFakeTimers({ now: START_MS, doNotFake: ['nextTick', 'queueMicrotask', 'setImmediate'] });
});

afterEach(() => jest.useRealTimers());

/** Starts three boxes and their callers; keys are young enough to run from then on. */
async function startFleet(timing: Partial<CoreSettings>): Promise<VirtualKeyFleet> {
  const fleet = await VirtualKeyFleet.create(3, timing);
  await jest.advanceTimersByTimeAsync(20 * SECOND_MS);
  fleet.startCallers();
  return fleet;
}

/** Codes of the refusals, and how many there were of each. */
function countCodes(fleet: VirtualKeyFleet): Record<string, number> {
  const codes: Record<string, number> = {};
  for (const { refusal } of fleet.refusals) codes[refusal.code] = (codes[refusal.code] ?? 0) + 1;
  return codes;
}

/** Refusals by an owner that was not sure, from a time on. */
function countUnsure(fleet: VirtualKeyFleet, fromMs: number): number {
  return fleet.refusals.filter(({ atMs, refusal }) => atMs >= fromMs && refusal.code === 'keyUnsure').length;
}

test.each(TIMINGS)('while nothing is wrong, every key has an owner that runs it (%j)', async (timing) => {
  const fleet = await startFleet(timing);
  await jest.advanceTimersByTimeAsync(20 * SECOND_MS);
  expect(fleet.requestCount).toBeGreaterThan(5_000);
  expect(countCodes(fleet)).toEqual({});
});

test.each(TIMINGS)(
  'a box that stood still asks at once and serves the keys that waited for it (%j)',
  async (timing) => {
    const fleet = await startFleet(timing);
    for (const stillMs of [700, 1_500, 3_000, 9_000]) {
      fleet.findBox(1).pause(stillMs);
      await jest.advanceTimersByTimeAsync(stillMs + 5 * SECOND_MS);
    }
    expect(countUnsure(fleet, 0)).toBe(0);
  },
);

test.each(TIMINGS)('keys run again as soon as the platform answers after an outage (%j)', async (timing) => {
  const fleet = await startFleet(timing);
  fleet.timing.isPlatformUp = false;
  await jest.advanceTimersByTimeAsync(12 * SECOND_MS);
  expect(countUnsure(fleet, 0)).toBeGreaterThan(0);
  fleet.timing.isPlatformUp = true;
  const backAtMs = Date.now();
  await jest.advanceTimersByTimeAsync(5 * SECOND_MS);
  // Whoever was told that the platform is down asks it again a second later.
  expect(countUnsure(fleet, backAtMs + SECOND_MS + 100)).toBe(0);
});

test('while the platform is down, keys are refused at once and not held', async () => {
  const fleet = await startFleet(SHORT);
  fleet.timing.isPlatformUp = false;
  await jest.advanceTimersByTimeAsync(12 * SECOND_MS);
  const waits = fleet.refusals.map(({ atMs, key }) => atMs - parseKeyTimeMs(key));
  expect(Math.max(...waits)).toBeLessThan(50);
});

test('a platform that hangs holds a key up for half a second at most', async () => {
  const fleet = await startFleet(SHORT);
  fleet.timing.platformMs = () => 60 * SECOND_MS;
  await jest.advanceTimersByTimeAsync(12 * SECOND_MS);
  const waits = fleet.refusals.map(({ atMs, key }) => atMs - parseKeyTimeMs(key));
  expect(Math.max(...waits)).toBeLessThan(600);
  expect(waits.filter((waitMs) => waitMs < 50).length).toBeGreaterThan(waits.length / 3);
});
