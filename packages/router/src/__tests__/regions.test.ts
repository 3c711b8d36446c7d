/**
 * Guards against requests that leave their allowed regions. Routes and teams may restrict the regions of the endpoints that
 * serve their requests; if both do, both restrictions apply. The fields of the configuration used to be ignored, so that a
 * request could reach any hall.
 */
import { createHasher } from '@hazelwalk/core';
import type { Hasher } from '@hazelwalk/core';
import { createListing, createTable } from '../__fixtures__/createEndpoints.js';
import { createPromptRequest, createPlacement } from '../__fixtures__/createPlacement.js';
import type { PlacementRequest } from '../systems/placementRequest.js';
import type { EndpointTable } from '../tables/endpointTable.js';

const NOW_MS = 60_000;
const REGIONS: Readonly<Record<string, string>> = { a: 'north', b: 'south', c: 'south' };
let hasher: Hasher;

beforeAll(async () => {
  hasher = await createHasher();
});

function createHalls(): EndpointTable {
  const { table, rows } = createTable(12);
  rows.forEach((row, at) => table.upsert(createListing(row.listing.id, { hall: 'abcd'[at % 4] ?? '' }), 0));
  return table;
}

/** Lists the halls of the endpoints that are chosen for many prompts and of the sources of their caches. */
function listHalls(changes: Partial<PlacementRequest>): string[] {
  const findRegion = (hall: string): string | undefined => REGIONS[hall];
  const placement = createPlacement(hasher, createHalls(), { findRegion });
  const halls = new Set<string>();
  for (let prompt = 0; prompt < 200; prompt += 1) {
    const choice = placement.choose({ ...createPromptRequest(`p${prompt}`), ...changes }, NOW_MS);
    for (const row of [choice?.row, choice?.cacheSource]) if (row !== undefined) halls.add(row.listing.hall);
  }
  return [...halls].sort();
}

test.each([
  ['regions are not restricted', [], ['a', 'b', 'c', 'd']],
  ['one region is allowed', [['south']], ['b', 'c']],
  ['several regions are allowed', [['south', 'north']], ['a', 'b', 'c']],
  [
    'route and team both restrict the regions',
    [
      ['south', 'north'],
      ['north', 'west'],
    ],
    ['a'],
  ],
  ['route and team have no region in common', [['south'], ['north']], []],
  ['the region is unknown', [['west']], []],
])('if %s, a request reaches only the expected halls', (_, allowedRegions, halls) => {
  expect(listHalls({ allowedRegions })).toEqual(halls);
  // Requests without a prompt may all go to one of these halls while it has capacity.
  const plain = listHalls({ allowedRegions, promptParts: [] });
  expect(halls).toEqual(expect.arrayContaining(plain));
  expect(plain.length > 0).toBe(halls.length > 0);
});
