/** Calls of the platform watch in virtual time. */
import { getEventListeners } from 'node:events';
import type { ValueQuery } from '../adapters/platformReader.js';
import { PlatformWatch } from '../adapters/platformWatch.js';

const LEASE_MS = 8_000;

beforeEach(() => jest.useFakeTimers({ doNotFake: ['nextTick', 'queueMicrotask', 'setImmediate'] }));
afterEach(() => jest.useRealTimers());

/**
 * Guards against a leak of event listeners: each delay between two calls left one on the signal of the watch, which lives as
 * long as the value is watched. That was about 20,000 listeners a day for each value; Node warned of eleven listeners on one
 * signal after a few seconds of a test.
 */
test('a value that is watched for long leaves no listeners on its signal', async () => {
  const queries: ValueQuery[] = [];
  const watch = new PlatformWatch({
    readValue: (query) => {
      queries.push(query);
      return Promise.resolve({ type: 'unchanged' });
    },
    leaseMs: LEASE_MS,
    emit: () => {},
    metrics: { count: () => {} },
  });
  watch.watch(['boxes']);
  await jest.advanceTimersByTimeAsync(10_000);
  const [first] = queries;
  expect(queries.length).toBeGreaterThan(100);
  expect(first === undefined ? [] : getEventListeners(first.signal, 'abort').length).toBeLessThanOrEqual(1);
  watch.close();
});
