import { DemandAggregate, PromptDemand } from '../systems/promptDemand.js';

const PROMPT = 5;
const PERIOD_MS = 500;

/** An aggregator whose hall gets a constant number of requests for a prompt in each period. */
class Aggregator {
  readonly aggregate = new DemandAggregate();
  nowMs = 0;

  runPeriods(periods: number, perPeriod: number, perPeriodInOtherHall = 0): void {
    for (let period = 0; period < periods; period += 1) {
      this.nowMs += PERIOD_MS;
      if (perPeriod > 0) this.aggregate.addBoxCounts([PROMPT, perPeriod]);
      if (perPeriodInOtherHall > 0)
        this.aggregate.setHallCounts('antigua', [PROMPT, perPeriodInOtherHall], this.nowMs);
      this.aggregate.endPeriod(this.nowMs);
    }
  }
}

test('a prompt with occasional requests is not hot', () => {
  const aggregator = new Aggregator();
  aggregator.runPeriods(20, 1);
  expect(aggregator.aggregate.listHot()).toEqual([]);
});

test('a prompt becomes hot within one period, by the requests of all halls', () => {
  const aggregator = new Aggregator();
  aggregator.runPeriods(1, 3, 4);
  expect(aggregator.aggregate.listHot()).toEqual([PROMPT, 7]);
});

test('a hot prompt cools down over some seconds and is no longer hot at the end', () => {
  const aggregator = new Aggregator();
  aggregator.runPeriods(4, 12);
  expect(aggregator.aggregate.listHot()).toEqual([PROMPT, 24]);
  aggregator.runPeriods(4, 0);
  const [, perS = 0] = aggregator.aggregate.listHot();
  expect(perS).toBeGreaterThan(12);
  expect(perS).toBeLessThan(24);
  aggregator.runPeriods(30, 0);
  expect(aggregator.aggregate.listHot()).toEqual([]);
});

test('the demand of a hall that went silent expires', () => {
  const aggregator = new Aggregator();
  aggregator.runPeriods(2, 0, 9);
  aggregator.runPeriods(30, 0);
  expect(aggregator.aggregate.listHot()).toEqual([]);
});

test('a hall reports the prompts with more than one request, limited to those in most demand', () => {
  const aggregate = new DemandAggregate();
  aggregate.addBoxCounts([PROMPT, 1, 6, 2]);
  aggregate.addBoxCounts(Array.from({ length: 200 }, (_, at) => (at % 2 === 0 ? 100 + at : 2)));
  aggregate.addBoxCounts([7, 50]);
  aggregate.endPeriod(PERIOD_MS);
  const sent = aggregate.listHallCounts();
  expect(sent.length).toBe(2 * 64);
  expect(sent.slice(0, 2)).toEqual([7, 50]);
  expect(sent).not.toContain(PROMPT);
});

test('a box spreads a hot prompt while reports of it arrive, and returns its request counts once', () => {
  const demand = new PromptDemand();
  demand.recordRequest(PROMPT);
  demand.recordRequest(PROMPT);
  expect(demand.takeCounts()).toEqual([PROMPT, 2]);
  expect(demand.takeCounts()).toEqual([]);
  demand.setHotPrompts([PROMPT, 25], 1_000);
  expect(demand.readSpreadWidth(PROMPT, 1_500, 600)).toBe(13);
  expect(demand.readSpreadWidth(6, 1_500, 600)).toBe(1);
  expect(demand.readSpreadWidth(PROMPT, 4_500, 600)).toBe(1);
});

test('a hot prompt is spread to more endpoints the older the loads are, and to all endpoints without loads', () => {
  const demand = new PromptDemand();
  demand.setHotPrompts([PROMPT, 20], 1_000);
  expect([300, 1_000, 2_500, Infinity].map((ageMs) => demand.readSpreadWidth(PROMPT, 1_500, ageMs))).toEqual([
    10,
    10,
    25,
    Infinity,
  ]);
});
