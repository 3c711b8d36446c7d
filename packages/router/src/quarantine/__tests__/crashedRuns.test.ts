import * as fc from 'fast-check';
import type { CrashedRun } from '../crashedRuns.js';
import { addCrashedRun, findCrashChain } from '../crashedRuns.js';

const run = (endpointTag: number, sentAtMs: number, endedAtMs: number, reporter = 1): CrashedRun => ({
  endpointTag,
  sentAtMs,
  endedAtMs,
  localEndAtMs: endedAtMs,
  reporter,
});

const addAll = (runs: readonly CrashedRun[]): readonly CrashedRun[] =>
  runs.reduce<readonly CrashedRun[]>((known, one) => addCrashedRun(known, one) ?? known, []);

test('sequential crashes count', () => {
  expect(findCrashChain([run(1, 0, 100), run(2, 105, 300), run(3, 310, 400)])).toHaveLength(3);
});

test('endpoints that crash together count once', () => {
  expect(findCrashChain([run(1, 0, 500), run(2, 100, 500), run(3, 300, 501), run(4, 499, 520)])).toHaveLength(
    1,
  );
});

test('crashes reported by two boxes count separately only if they are apart by more than the clock margin', () => {
  expect(findCrashChain([run(1, 0, 500, 1), run(2, 600, 700, 2)])).toHaveLength(1);
  expect(findCrashChain([run(1, 0, 500, 1), run(2, 800, 900, 2)])).toHaveLength(2);
});

test('a crash reported late does not overlap with a run that this box started after the report', () => {
  const reported = { ...run(1, 0, 100, 1), localEndAtMs: 800 };
  expect(findCrashChain([reported, { ...run(2, 850, 900, 2), isLocal: true }])).toHaveLength(2);
  expect(findCrashChain([reported, { ...run(2, 790, 900, 2), isLocal: true }])).toHaveLength(1);
  expect(findCrashChain([reported, run(2, 850, 900, 2)])).toHaveLength(1);
});

test('a crash that several boxes report counts once, and is added once', () => {
  const known = addAll([run(1, 0, 500, 1), run(1, 100, 510, 2)]);
  expect(known).toHaveLength(1);
  expect(addCrashedRun(known, run(1, 0, 500, 3))).toBeUndefined();
});

test('a run that is reported again is recognized, however late', () => {
  const known = addAll([run(1, 0, 500)]);
  expect(addCrashedRun(known, { ...run(1, 0, 500), localEndAtMs: 2_000 })).toBeUndefined();
});

test('crashes of one reporter are in the order in which it observed them, even if the reports arrive late', () => {
  const first = { ...run(1, 0, 100), localEndAtMs: 180 };
  expect(findCrashChain([first, run(2, 105, 200)])).toHaveLength(2);
});

test('an endpoint that restarts under its id and crashes again counts again', () => {
  expect(findCrashChain(addAll([run(1, 0, 100), run(1, 3_000, 3_100)]))).toHaveLength(2);
});

test('many concurrent copies do not evict the chain', () => {
  const copies = Array.from({ length: 30 }, (_, at) => run(10 + at, 110, 400 + at));
  expect(findCrashChain(addAll([run(1, 0, 100), ...copies]))).toHaveLength(2);
});

test('the order in which crashes are reported does not affect a chain of up to eight runs', () => {
  const runs = fc.uniqueArray(
    fc.record({
      endpointTag: fc.integer({ min: 1, max: 1_000 }),
      sentAtMs: fc.integer({ min: 0, max: 3_000 }),
      durationMs: fc.integer({ min: 1, max: 1_000 }),
      reporter: fc.integer({ min: 1, max: 3 }),
    }),
    { minLength: 1, maxLength: 8, selector: ({ endpointTag }) => endpointTag },
  );
  fc.assert(
    fc.property(runs, (drawn) => {
      const all = drawn.map(({ durationMs, reporter, ...one }): CrashedRun => ({
        ...one,
        reporter,
        endedAtMs: one.sentAtMs + durationMs,
        localEndAtMs: one.sentAtMs + durationMs,
      }));
      const forward = findCrashChain(addAll(all));
      expect(findCrashChain(addAll([...all].reverse())).length).toBe(forward.length);
    }),
    { seed: 7 },
  );
});
