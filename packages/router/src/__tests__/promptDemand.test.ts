import { DemandAggregate, PromptDemand } from '../systems/promptDemand.js';

const PROMPT = 5;
const PERIOD_MS = 500;

/** A speaker whose hall is asked for a prompt so often in each period. */
class Speaker {
  readonly book = new DemandAggregate();
  nowMs = 0;

  pass(periods: number, perPeriod: number, ofOtherHall = 0): void {
    for (let period = 0; period < periods; period += 1) {
      this.nowMs += PERIOD_MS;
      if (perPeriod > 0) this.book.addBoxCounts([PROMPT, perPeriod]);
      if (ofOtherHall > 0) this.book.setHallCounts('antigua', [PROMPT, ofOtherHall], this.nowMs);
      this.book.endPeriod(this.nowMs);
    }
  }
}

test('a prompt that is asked for now and then is not hot', () => {
  const speaker = new Speaker();
  speaker.pass(20, 1);
  expect(speaker.book.listHot()).toEqual([]);
});

test('a prompt is hot within a period of the moment at which it is in demand, by what all halls are asked for', () => {
  const speaker = new Speaker();
  speaker.pass(1, 3, 4);
  expect(speaker.book.listHot()).toEqual([PROMPT, 7]);
});

test('a prompt cools down over some seconds and is cold at last', () => {
  const speaker = new Speaker();
  speaker.pass(4, 12);
  expect(speaker.book.listHot()).toEqual([PROMPT, 24]);
  speaker.pass(4, 0);
  const [, perS = 0] = speaker.book.listHot();
  expect(perS).toBeGreaterThan(12);
  expect(perS).toBeLessThan(24);
  speaker.pass(30, 0);
  expect(speaker.book.listHot()).toEqual([]);
});

test('a hall that fell silent no longer makes a prompt hot', () => {
  const speaker = new Speaker();
  speaker.pass(2, 0, 9);
  speaker.pass(30, 0);
  expect(speaker.book.listHot()).toEqual([]);
});

test('a hall tells others what it was asked for more than once, the most wanted first where it is much', () => {
  const book = new DemandAggregate();
  book.addBoxCounts([PROMPT, 1, 6, 2]);
  book.addBoxCounts(Array.from({ length: 200 }, (_, at) => (at % 2 === 0 ? 100 + at : 2)));
  book.addBoxCounts([7, 50]);
  book.endPeriod(PERIOD_MS);
  const told = book.listHallCounts();
  expect(told.length).toBe(2 * 64);
  expect(told.slice(0, 2)).toEqual([7, 50]);
  expect(told).not.toContain(PROMPT);
});

test('a box spreads a hot prompt while it hears of it, and counts what it is asked for once', () => {
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

test('a hot prompt is spread further while loads are old, and to all without any', () => {
  const demand = new PromptDemand();
  demand.setHotPrompts([PROMPT, 20], 1_000);
  expect([300, 1_000, 2_500, Infinity].map((ageMs) => demand.readSpreadWidth(PROMPT, 1_500, ageMs))).toEqual([
    10,
    10,
    25,
    Infinity,
  ]);
});
