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
 * Seen in a profile of boxes whose endpoints are all late: a twentieth of their processor time went into asking the budget,
 * at every tick and for every request, for a second endpoint that was denied, and into the lines about it.
 */
test('a second endpoint is wanted at once when it is due, and after that at a pace', () => {
  const attempt = {
    row: { health: { type: 'good' } },
    sentAtMs: 1_000,
    hedgeWantedAtMs: -Infinity,
    isOnKeptConnection: false,
  } as unknown as Attempt;
  const wantedAtMs: number[] = [];
  for (let nowMs = 1_000; nowMs < 1_600; nowMs += 40) {
    const watched = { route, answeredAtMs: undefined, hasOthers: false, nowMs };
    const { action: verdict } = watchSilence({} as RouterContext, attempt, watched);
    if (verdict === 'hedge') wantedAtMs.push(nowMs);
  }
  expect(wantedAtMs).toEqual([1_080, 1_280, 1_480]);
});
