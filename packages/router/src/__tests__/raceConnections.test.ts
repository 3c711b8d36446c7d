import { Err, Ok } from '@hazelwalk/core';
import type { Result } from '@hazelwalk/core';
import { raceConnections } from '../proxy/raceConnections.js';

type Way = () => Promise<Result<string, string>>;

let discarded: string[];

/** A way that succeeds or fails after a time; without one it never does. */
function createWay(result: Result<string, string>, afterMs?: number): Way & jest.Mock {
  return jest.fn(
    () =>
      new Promise<Result<string, string>>((resolve) => {
        if (afterMs !== undefined) setTimeout(resolve, afterMs, result);
      }),
  );
}

async function race(ways: readonly Way[], advanceMs: number): Promise<Result<string, readonly string[]>> {
  const raced = raceConnections(ways, {
    staggerMs: 100,
    limitMs: 300,
    isFinal: (failure) => failure === 'final',
    discard: (connection) => discarded.push(connection),
  });
  await jest.advanceTimersByTimeAsync(advanceMs);
  return raced;
}

beforeEach(() => {
  discarded = [];
  jest.useFakeTimers();
});

afterEach(() => jest.useRealTimers());

test('a way that succeeds soon is the only one tried', async () => {
  const second = createWay(Ok('second'), 1);
  expect((await race([createWay(Ok('first'), 50), second], 1_000)).val).toBe('first');
  expect(second).not.toHaveBeenCalled();
});

test('a slow way gets company, and what connects too late is discarded', async () => {
  const result = await race([createWay(Ok('first'), 150), createWay(Ok('second'), 10)], 1_000);
  expect([result.val, discarded]).toEqual(['second', ['first']]);
});

test('the next way is tried as soon as one fails', async () => {
  const raced = await race([createWay(Err('refused'), 1), createWay(Ok('second'), 1)], 5);
  expect(raced.val).toBe('second');
});

test('a final failure ends the race, and so does the limit; what is known until then is returned', async () => {
  const third = createWay(Ok('third'), 1);
  expect((await race([createWay(Err('refused'), 1), createWay(Err('final'), 1), third], 5)).val).toEqual([
    'refused',
    'final',
  ]);
  expect(third).not.toHaveBeenCalled();
  expect((await race([createWay(Err('refused'), 1), createWay(Ok('late'), 900)], 1_000)).val).toEqual([
    'refused',
  ]);
});
