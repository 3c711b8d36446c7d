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
const calm = { isUnreachable: false, hasOthers: false, isAnswering: false };

test.each(['once', 'stream'] as const)(
  'a request that runs at most once (%s) waits, however long',
  (kind) => {
    const silence = { ...calm, route: createRoute({ kind }), silentMs: 60_000, isUnreachable: true };
    expect(decideOnSilence(silence)).toBe('wait');
  },
);

test('a plain request asks a second endpoint while there is time to be on time, and no third', () => {
  const silence = { ...calm, route: createRoute({}) };
  expect(decideOnSilence({ ...silence, silentMs: 100 })).toBe('wait');
  expect(decideOnSilence({ ...silence, silentMs: 200 })).toBe('hedge');
  expect(decideOnSilence({ ...silence, silentMs: 200, hasOthers: true })).toBe('wait');
  expect(decideOnSilence({ ...silence, silentMs: 200, isAnswering: true })).toBe('wait');
});

test('a resumable stream leaves a silent endpoint, and at once one that cannot be reached', () => {
  const silence = { ...calm, route: createRoute({ kind: 'stream', isResumable: true }), isAnswering: true };
  expect(decideOnSilence({ ...silence, silentMs: 500 })).toBe('wait');
  expect(decideOnSilence({ ...silence, silentMs: 900 })).toBe('leave');
  expect(decideOnSilence({ ...silence, silentMs: 100, isUnreachable: true })).toBe('leave');
});
