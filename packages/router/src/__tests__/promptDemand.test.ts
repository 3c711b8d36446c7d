import { DemandBook, PromptDemand } from '../systems/promptDemand.js';

const PROMPT = 5;
const PERIOD_MS = 500;

/** A speaker whose hall is asked for a prompt so often in each period. */
class Speaker {
  readonly book = new DemandBook();
  nowMs = 0;

  pass(periods: number, perPeriod: number, ofOtherHall = 0): void {
    for (let period = 0; period < periods; period += 1) {
      this.nowMs += PERIOD_MS;
      if (perPeriod > 0) this.book.noteBox([PROMPT, perPeriod]);
      if (ofOtherHall > 0) this.book.noteHall('antigua', [PROMPT, ofOtherHall], this.nowMs);
      this.book.advance(this.nowMs);
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
  const book = new DemandBook();
  book.noteBox([PROMPT, 1, 6, 2]);
  book.noteBox(Array.from({ length: 200 }, (_, at) => (at % 2 === 0 ? 100 + at : 2)));
  book.noteBox([7, 50]);
  book.advance(PERIOD_MS);
  const told = book.listHall();
  expect(told.length).toBe(2 * 64);
  expect(told.slice(0, 2)).toEqual([7, 50]);
  expect(told).not.toContain(PROMPT);
});

test('a box spreads a hot prompt while it hears of it, and counts what it is asked for once', () => {
  const demand = new PromptDemand();
  demand.note(PROMPT);
  demand.note(PROMPT);
  expect(demand.takeCounts()).toEqual([PROMPT, 2]);
  expect(demand.takeCounts()).toEqual([]);
  demand.learn([PROMPT, 25], 1_000);
  expect(demand.readWidth(PROMPT, 1_500, 600)).toBe(13);
  expect(demand.readWidth(6, 1_500, 600)).toBe(1);
  expect(demand.readWidth(PROMPT, 4_500, 600)).toBe(1);
});

test('a hot prompt is spread further while loads are old, and to all without any', () => {
  const demand = new PromptDemand();
  demand.learn([PROMPT, 20], 1_000);
  expect([300, 1_000, 2_500, Infinity].map((ageMs) => demand.readWidth(PROMPT, 1_500, ageMs))).toEqual([
    10,
    10,
    25,
    Infinity,
  ]);
});
