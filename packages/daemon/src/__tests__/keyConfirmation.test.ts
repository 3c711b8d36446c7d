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
import { VirtualKeyFleet } from '../__fixtures__/virtualKeyFleet.js';

const START_MS = 1_800_000_000_000;
const SECOND_MS = 1_000;
/** Short leases, as in tests with real processes; and those that ship. */
const TIMINGS = [
  { keyLagMs: 100, keyLeaseMs: 1_500, keySkewMs: 100, clockErrorMs: 10, heartbeatMs: 200, leaseMs: 800 },
  {},
];

beforeEach(() => {
  jest.useFakeTimers({ now: START_MS, doNotFake: ['nextTick', 'queueMicrotask', 'setImmediate'] });
});

afterEach(() => jest.useRealTimers());

/** Starts three boxes and their callers; keys are young enough to run from then on. */
async function startFleet(timing: (typeof TIMINGS)[number]): Promise<VirtualKeyFleet> {
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

test.each(TIMINGS)('while nothing is wrong, every key has an owner that runs it (%j)', async (timing) => {
  const fleet = await startFleet(timing);
  await jest.advanceTimersByTimeAsync(20 * SECOND_MS);
  expect(fleet.asked).toBeGreaterThan(5_000);
  expect(countCodes(fleet)).toEqual({});
});
