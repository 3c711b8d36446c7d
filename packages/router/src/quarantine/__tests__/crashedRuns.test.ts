import * as fc from 'fast-check';
import type { CrashedRun } from '../crashedRuns.js';
import { addCrashedRun, findCrashChain } from '../crashedRuns.js';

const run = (endpointTag: number, sentAtMs: number, endedAtMs: number, witness = 1): CrashedRun => ({
  endpointTag,
  sentAtMs,
  endedAtMs,
  localEndAtMs: endedAtMs,
  reporter: witness,
});

const addAll = (runs: readonly CrashedRun[]): readonly CrashedRun[] =>
  runs.reduce<readonly CrashedRun[]>((known, one) => addCrashedRun(known, one) ?? known, []);

test('crashes one after the other count', () => {
  expect(findCrashChain([run(1, 0, 100), run(2, 105, 300), run(3, 310, 400)])).toHaveLength(3);
});

test('endpoints that go down together count once', () => {
  expect(findCrashChain([run(1, 0, 500), run(2, 100, 500), run(3, 300, 501), run(4, 499, 520)])).toHaveLength(
    1,
  );
});

test('what two boxes saw counts apart only where their clocks leave no doubt', () => {
  expect(findCrashChain([run(1, 0, 500, 1), run(2, 600, 700, 2)])).toHaveLength(1);
  expect(findCrashChain([run(1, 0, 500, 1), run(2, 800, 900, 2)])).toHaveLength(2);
});

test('news that come late do not make a crash overlap with a run that this box began after them', () => {
  const told = { ...run(1, 0, 100, 1), localEndAtMs: 800 };
  expect(findCrashChain([told, { ...run(2, 850, 900, 2), isLocal: true }])).toHaveLength(2);
  expect(findCrashChain([told, { ...run(2, 790, 900, 2), isLocal: true }])).toHaveLength(1);
  expect(findCrashChain([told, run(2, 850, 900, 2)])).toHaveLength(1);
});

test('one crash that several boxes tell of counts once, and is news once', () => {
  const known = addAll([run(1, 0, 500, 1), run(1, 100, 510, 2)]);
  expect(known).toHaveLength(1);
  expect(addCrashedRun(known, run(1, 0, 500, 3))).toBeUndefined();
});

test('one run is known again however late it is told', () => {
  const known = addAll([run(1, 0, 500)]);
  expect(addCrashedRun(known, { ...run(1, 0, 500), localEndAtMs: 2_000 })).toBeUndefined();
});

test('what one box saw is in the order in which it saw it, though the news come late', () => {
  const first = { ...run(1, 0, 100), localEndAtMs: 180 };
  expect(findCrashChain([first, run(2, 105, 200)])).toHaveLength(2);
});

test('an endpoint that is back under its id and crashes again counts again', () => {
  expect(findCrashChain(addAll([run(1, 0, 100), run(1, 3_000, 3_100)]))).toHaveLength(2);
});

test('many copies at a time do not push out the chain', () => {
  const copies = Array.from({ length: 30 }, (_, at) => run(10 + at, 110, 400 + at));
  expect(findCrashChain(addAll([run(1, 0, 100), ...copies]))).toHaveLength(2);
});

test('the order in which crashes are told of matters for no chain of up to eight runs', () => {
  const runs = fc.uniqueArray(
    fc.record({
      endpointTag: fc.integer({ min: 1, max: 1_000 }),
      sentAtMs: fc.integer({ min: 0, max: 3_000 }),
      lastedMs: fc.integer({ min: 1, max: 1_000 }),
      witness: fc.integer({ min: 1, max: 3 }),
    }),
    { minLength: 1, maxLength: 8, selector: ({ endpointTag }) => endpointTag },
  );
  fc.assert(
    fc.property(runs, (drawn) => {
      const all = drawn.map(({ lastedMs, witness, ...one }): CrashedRun => ({
        ...one,
        reporter: witness,
        endedAtMs: one.sentAtMs + lastedMs,
        localEndAtMs: one.sentAtMs + lastedMs,
      }));
      const forth = findCrashChain(addAll(all));
      expect(findCrashChain(addAll([...all].reverse())).length).toBe(forth.length);
    }),
    { seed: 7 },
  );
});
