import type { FleetConfiguration, Route } from '../records.js';
import { pickTarget, RouteIndex } from '../systems/routeIndex.js';

const route = (name: string, pathPrefix: string, changes: Partial<Route> = {}): Route => ({
  name,
  host: 'a.example',
  pathPrefix,
  kind: 'once',
  timeoutMs: 1_000,
  targetLatencyMs: 100,
  maxAttempts: 1,
  targets: [{ service: 's', weight: 1 }],
  isPublic: false,
  isResumable: false,
  ...changes,
});

const configuration: FleetConfiguration = {
  version: 1,
  routes: [route('short', '/x/'), route('long', '/x/y/'), route('open', '/open/', { isPublic: true })],
  services: [],
  teams: [{ name: 't', apiKeys: ['k'] }],
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

const index = new RouteIndex(configuration);

test.each([
  ['a.example', '/x/y/z', 'long'],
  ['A.Example:8080', '/x/z', 'short'],
  ['a.example', '/x/yz', 'short'],
])('%s%s matches the route with the longest prefix: %s', (host, path, name) => {
  const match = index.match(host, path, 'k');
  expect(match.type === 'routed' && match.route.name).toBe(name);
});

test.each([
  ['b.example', '/x/', 'k', 'routeUnknown'],
  ['a.example', '/x', 'k', 'routeUnknown'],
  ['a.example', '/x/', 'wrong', 'apiKeyUnknown'],
  ['a.example', '/x/', undefined, 'apiKeyUnknown'],
])('%s%s with key %s is refused: %s', (host, path, key, code) => {
  expect(index.match(host, path, key)).toEqual({ type: 'refused', code });
});

test('a public route needs no key', () => {
  expect(index.match('a.example', '/open/', undefined).type).toBe('routed');
});

test('each target gets a share of the hash range by its weight', () => {
  const targets = [
    { service: 'a', weight: 90 },
    { service: 'b', weight: 10 },
    { service: 'none', weight: 0 },
  ];
  const counts = new Map<string, number>();
  for (let step = 0; step < 1_000; step += 1) {
    const service = pickTarget(targets, (step / 1_000) * 2 ** 32) ?? '';
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  expect(Object.fromEntries(counts)).toEqual({ a: 900, b: 100 });
});
