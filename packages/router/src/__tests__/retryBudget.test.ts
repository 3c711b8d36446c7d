import * as fc from 'fast-check';
import { RetryBudget } from '../systems/retryBudget.js';

const bound = { ratio: 0.2, windowMs: 10_000, extra: 56 };
const WARM_MS = 10_000;

test('a box that just started has no share of the fixed allowance', () => {
  const budget = new RetryBudget(bound, 0, () => 1);
  expect(budget.take('s', 100)).toBe(false);
  for (let count = 0; count < 10; count += 1) budget.recordRequest('s', 100);
  expect(budget.take('s', 100)).toBe(true);
});

test('each service has its own budget', () => {
  const budget = new RetryBudget(bound, 0, () => 8);
  while (budget.take('a', WARM_MS)) {
    // Spends the whole budget.
  }
  expect(budget.take('b', WARM_MS)).toBe(true);
});

test('the budget is available again after the window', () => {
  const budget = new RetryBudget(bound, 0, () => 8);
  while (budget.take('a', WARM_MS)) {
    // Spends the whole budget.
  }
  expect(budget.take('a', WARM_MS + bound.windowMs)).toBe(true);
});

test('all boxes together stay within the bound in every window, however requests are distributed', () => {
  const arrivals = fc.array(fc.record({ box: fc.nat(7), gapMs: fc.nat(200), tries: fc.nat(4) }), {
    maxLength: 600,
  });
  fc.assert(
    fc.property(arrivals, (events) => {
      const budgets = Array.from({ length: 8 }, () => new RetryBudget(bound, 0, () => 8));
      const sent: { atMs: number; retries: number }[] = [];
      let nowMs = WARM_MS;
      for (const { box, gapMs, tries } of events) {
        nowMs += gapMs;
        const budget = budgets[box];
        budget?.recordRequest('s', nowMs);
        let retries = 0;
        for (let attempt = 0; attempt < tries; attempt += 1)
          if (budget?.take('s', nowMs) === true) retries += 1;
        sent.push({ atMs: nowMs, retries });
      }
      for (const { atMs } of sent) {
        const inWindow = sent.filter((entry) => entry.atMs > atMs - bound.windowMs && entry.atMs <= atMs);
        const retries = inWindow.reduce((sum, entry) => sum + entry.retries, 0);
        // The bound also counts the requests of the previous window.
        const counted = sent.filter(
          (entry) => entry.atMs > atMs - 2 * bound.windowMs && entry.atMs <= atMs,
        ).length;
        expect(retries).toBeLessThanOrEqual(bound.ratio * counted + bound.extra);
      }
    }),
    { seed: 7, numRuns: 60 },
  );
});
