import { createHasher } from '@hazelwalk/core';
import type { Hasher } from '@hazelwalk/core';
import { createListing, createTable } from '../__fixtures__/createEndpoints.js';
import { createPlacement } from '../__fixtures__/createPlacement.js';
import type { PlacementRequest } from '../systems/placementRequest.js';
import type { EndpointRow } from '../tables/endpointTable.js';

const NOW_MS = 60_000;
const plain: PlacementRequest = { service: 'llm', promptParts: [], excluded: new Set() };
let hasher: Hasher;

beforeAll(async () => {
  hasher = await createHasher();
});

const listTags = (rows: readonly (EndpointRow | undefined)[]): (number | undefined)[] =>
  rows.map((row) => row?.tag);

test('a request with a granted slot goes to that endpoint, whatever its load; to none if it can no longer be used', () => {
  const { table, rows } = createTable(4);
  const placement = createPlacement(hasher, table);
  const [granted] = rows;
  if (granted === undefined) throw new Error('no endpoint');
  granted.peersInFlight = 30;
  const request = { ...plain, grantedTag: granted.tag };
  expect(placement.choose(request, NOW_MS)).toMatchObject({ row: granted, way: 'granted' });
  granted.notice.backOffUntilMs = NOW_MS + 1_000;
  expect(placement.choose(request, NOW_MS)).toBeUndefined();
});

test('tried, backing off, cold and unreachable endpoints are excluded', () => {
  const { table, rows } = createTable(6);
  const [tried, backingOff, cold, unreachable] = rows;
  if (!tried || !backingOff || !cold || !unreachable) throw new Error('no endpoints');
  backingOff.notice.backOffUntilMs = NOW_MS + 1_000;
  cold.coldUntilMs = NOW_MS + 1_000;
  unreachable.health = { type: 'unreachable', nextCheckMs: NOW_MS, isProcessGone: false };
  const request = {
    ...plain,
    excluded: new Set([tried.listing.id]),
    coldStart: { perS: 13, startMs: 3_000 },
  };
  const excluded = createPlacement(hasher, table).listExcludedTags(request, NOW_MS);
  expect(new Set(excluded)).toEqual(new Set(listTags([tried, backingOff, cold, unreachable])));
});

test('a request without a prompt prefers the endpoints of the own hall', () => {
  const { table, rows } = createTable(4);
  const far = table.upsert(createListing('far', { hall: 'b' }), 0);
  const placement = createPlacement(hasher, table);
  const preferred = placement.listPreferredTags(plain, NOW_MS);
  expect(new Set(preferred)).toEqual(new Set(listTags(rows)));
  expect(preferred).not.toContain(far.tag);
});
