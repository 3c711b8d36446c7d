import * as fc from 'fast-check';
import type { FleetConfiguration, Route } from '../../records.js';
import {
  applyConfigurationChange,
  ConfigurationDigest,
  diffConfigurations,
  shareRecords,
} from '../configurationChange.js';

const SEED = 20_261_202;

/** Any hash that distinguishes the texts of the tests is sufficient. */
const hash = (text: string): number =>
  [...text].reduce((sum, letter) => (sum * 33 + letter.charCodeAt(0)) >>> 0, 5_381);

const digest = new ConfigurationDigest(hash);

const route = (name: string, timeoutMs: number): Route => ({
  name,
  host: 'a.example',
  pathPrefix: `/${name}/`,
  kind: 'once',
  timeoutMs,
  targetLatencyMs: 100,
  maxAttempts: 1,
  targets: [{ service: 's', weight: 1 }],
  isPublic: false,
  isResumable: false,
});

const names = fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f', 'g'));

const configurationOf = (version: number): fc.Arbitrary<FleetConfiguration> =>
  fc.record({
    version: fc.constant(version),
    routes: names.chain((chosen) =>
      fc.tuple(
        ...chosen.map((name) => fc.integer({ min: 1, max: 3 }).map((timeoutMs) => route(name, timeoutMs))),
      ),
    ),
    services: names.map((chosen) => chosen.map((name) => ({ name, maxConnections: 4, canMoveCache: true }))),
    teams: fc.option(
      names.map((chosen) => chosen.map((name) => ({ name, apiKeys: [name] }))),
      { nil: undefined },
    ),
    limits: fc.constant({ maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: version }),
  });

const byName = <T extends { name: string }>(records: readonly T[] | undefined): T[] | undefined =>
  records === undefined ? undefined : [...records].sort((a, b) => (a.name < b.name ? -1 : 1));

const sorted = (configuration: FleetConfiguration): FleetConfiguration => ({
  ...configuration,
  routes: byName(configuration.routes) ?? [],
  services: byName(configuration.services) ?? [],
  teams: byName(configuration.teams),
});

test('a change converts its base configuration into the target, and does not apply to another version', () => {
  fc.assert(
    fc.property(configurationOf(3), configurationOf(5), configurationOf(4), (before, after, other) => {
      const change = diffConfigurations(digest, before, after);
      const applied = applyConfigurationChange(digest, before, change).unwrap();
      expect(sorted(applied)).toEqual(sorted(after));
      expect(digest.compute(applied)).toBe(digest.compute(after));
      expect(applyConfigurationChange(digest, other, change).val).toBe('otherVersion');
    }),
    { seed: SEED },
  );
});

test('a change with missing records is rejected by its digest', () => {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const before = { version: 1, routes: [route('a', 1)], services: [], teams: undefined, limits };
  const after = { ...before, version: 2, routes: [route('a', 2), route('b', 1)] };
  const change = diffConfigurations(digest, before, after);
  const truncated = { ...change, routes: { ...change.routes, written: change.routes.written.slice(1) } };
  expect(applyConfigurationChange(digest, before, truncated).val).toBe('otherDigest');
});

test('a change passed on by a box that drops the priorities is rejected by its digest', () => {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const before = { version: 1, routes: [route('a', 1)], services: [], teams: [], limits };
  const team = { name: 't', apiKeys: ['k'] };
  const after = {
    ...before,
    version: 2,
    routes: [{ ...route('a', 1), priority: 0 }],
    teams: [{ ...team, priority: 1 }],
  };
  const change = diffConfigurations(digest, before, after);
  expect(applyConfigurationChange(digest, before, change).unwrap()).toEqual(after);
  const withoutRoute = { ...change, routes: { ...change.routes, written: [route('a', 1)] } };
  const withoutTeam = { ...change, teams: { written: [team], removed: [] } };
  for (const dropped of [withoutRoute, withoutTeam]) {
    expect(applyConfigurationChange(digest, before, dropped).val).toBe('otherDigest');
  }
});

test('unchanged records are shared between two versions', () => {
  const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
  const before = {
    version: 1,
    routes: [route('a', 1), route('b', 1)],
    services: [],
    teams: undefined,
    limits,
  };
  const after = { ...before, version: 2, routes: [route('a', 1), route('b', 2)] };
  const shared = shareRecords(before, after);
  expect(shared).toEqual(after);
  expect(shared.routes[0]).toBe(before.routes[0]);
  expect(shared.routes[1]).toBe(after.routes[1]);
});
