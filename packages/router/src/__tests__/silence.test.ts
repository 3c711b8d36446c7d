import type { Route } from '../records.js';
import { decideOnSilence } from '../proxy/silence.js';

const createRoute = (changes: Partial<Route>): Route => ({
  name: 'r',
  host: 'a.example',
  pathPrefix: '/',
  kind: 'repeatable',
  timeoutMs: 5_000,
  targetLatencyMs: 300,
  maxAttempts: 2,
  targets: [],
  isPublic: false,
  isResumable: false,
  ...changes,
});
const baseSilence = { isUnreachable: false, hasOthers: false, isAnswering: false };

test.each(['once', 'stream'] as const)(
  'a request that must run at most once (%s) waits for its response without a limit',
  (kind) => {
    const silence = { ...baseSilence, route: createRoute({ kind }), silentMs: 60_000, isUnreachable: true };
    expect(decideOnSilence(silence)).toBe('wait');
  },
);

test('a repeatable request is hedged to a second endpoint before its target latency, but not to a third', () => {
  const silence = { ...baseSilence, route: createRoute({}) };
  expect(decideOnSilence({ ...silence, silentMs: 100 })).toBe('wait');
  expect(decideOnSilence({ ...silence, silentMs: 200 })).toBe('hedge');
  expect(decideOnSilence({ ...silence, silentMs: 200, hasOthers: true })).toBe('wait');
  expect(decideOnSilence({ ...silence, silentMs: 200, isAnswering: true })).toBe('wait');
});

test('a resumable stream leaves a silent endpoint, and an unreachable one sooner', () => {
  const silence = {
    ...baseSilence,
    route: createRoute({ kind: 'stream', isResumable: true }),
    isAnswering: true,
  };
  expect(decideOnSilence({ ...silence, silentMs: 500 })).toBe('wait');
  expect(decideOnSilence({ ...silence, silentMs: 900 })).toBe('leave');
  expect(decideOnSilence({ ...silence, silentMs: 100, isUnreachable: true })).toBe('leave');
});
