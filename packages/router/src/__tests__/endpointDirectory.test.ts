import { createListing, createTable } from '../__fixtures__/createEndpoints.js';
import { EndpointDirectory } from '../systems/endpointDirectory.js';
import type { EndpointTable } from '../tables/endpointTable.js';

function createDirectory(table: EndpointTable): { directory: EndpointDirectory; removed: string[] } {
  const removed: string[] = [];
  const directory = new EndpointDirectory(table, {
    onRemoved: (id, reason) => removed.push(`${id} ${reason}`),
    onLapsed: () => {},
  });
  directory.noteFeedRegained(0);
  return { directory, removed };
}

const CALM_MS = 10_000;

test('in calm times an entry that goes takes its endpoint along at once', () => {
  const { table } = createTable(3);
  const { directory, removed } = createDirectory(table);
  directory.apply({ type: 'removed', id: 'e1' }, CALM_MS);
  expect(removed).toEqual(['e1 removed']);
});

test('entries that vanish while the platform is away are kept until it has been back for two seconds', () => {
  const { table } = createTable(3);
  const { directory, removed } = createDirectory(table);
  directory.noteFeedLost();
  directory.noteFeedRegained(CALM_MS);
  directory.apply({ type: 'snapshot', endpoints: [createListing('e0')] }, CALM_MS + 10);
  directory.tick(CALM_MS + 1_900);
  expect(table.byId.size).toBe(3);
  directory.apply({ type: 'listed', endpoint: createListing('e1') }, CALM_MS + 1_950);
  directory.tick(CALM_MS + 2_100);
  expect(removed).toEqual(['e2 lapsed']);
});

test('nothing is dropped while the platform stays away', () => {
  const { table } = createTable(3);
  const { directory } = createDirectory(table);
  directory.noteFeedLost();
  directory.apply({ type: 'snapshot', endpoints: [] }, CALM_MS);
  directory.tick(CALM_MS + 60_000);
  expect(table.byId.size).toBe(3);
});
