import type { Route } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import type { Attempt } from '../proxy/attempt.js';
import { watchSilence } from '../proxy/silenceWatch.js';

const route: Route = {
  name: 'r',
  host: 'a.example',
  pathPrefix: '/',
  kind: 'repeatable',
  timeoutMs: 5_000,
  targetLatencyMs: 100,
  maxAttempts: 2,
  targets: [],
  isPublic: false,
  isResumable: false,
};

/**
 * Guards against a request for a hedge at every tick. In a profile of boxes whose endpoints were all late, 5% of the processor
 * time went into requests to the retry budget that were denied, and into their log lines.
 */
test('a hedge is requested as soon as it is due, and then at a fixed interval', () => {
  const attempt = {
    row: { health: { type: 'good' }, path: { type: 'direct' } },
    sentAtMs: 1_000,
    retryWantedAtMs: -Infinity,
    isOnKeptConnection: false,
  } as unknown as Attempt;
  const requestedAtMs: number[] = [];
  for (let nowMs = 1_000; nowMs < 1_600; nowMs += 40) {
    const watched = { route, lastDataAtMs: undefined, hasOthers: false, nowMs };
    const { action } = watchSilence({} as RouterContext, attempt, watched);
    if (action === 'hedge') requestedAtMs.push(nowMs);
  }
  expect(requestedAtMs).toEqual([1_080, 1_280, 1_480]);
});
