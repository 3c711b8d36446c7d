import { createListing, createTable } from '../__fixtures__/createEndpoints.js';
import { EndpointDirectory } from '../systems/endpointDirectory.js';
import { PlatformConnectivity } from '../systems/platformConnectivity.js';
import type { EndpointTable } from '../tables/endpointTable.js';

interface DirectoryOfTest {
  directory: EndpointDirectory;
  contact: PlatformConnectivity;
  removed: string[];
}

function createDirectory(table: EndpointTable): DirectoryOfTest {
  const removed: string[] = [];
  const contact = new PlatformConnectivity();
  const directory = new EndpointDirectory(table, contact, {
    onRemoved: (id, reason) => removed.push(`${id} ${reason}`),
    onLapsed: () => {},
  });
  contact.recordAnswer(0);
  return { directory, contact, removed };
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
  const { directory, contact, removed } = createDirectory(table);
  contact.recordFailure();
  contact.recordAnswer(CALM_MS);
  directory.apply({ type: 'snapshot', endpoints: [createListing('e0')] }, CALM_MS + 10);
  directory.tick(CALM_MS + 1_900);
  expect(table.byId.size).toBe(3);
  directory.apply({ type: 'listed', endpoint: createListing('e1') }, CALM_MS + 1_950);
  directory.tick(CALM_MS + 2_100);
  expect(removed).toEqual(['e2 lapsed']);
});

test('nothing is dropped while the platform stays away', () => {
  const { table } = createTable(3);
  const { directory, contact } = createDirectory(table);
  contact.recordFailure();
  directory.apply({ type: 'snapshot', endpoints: [] }, CALM_MS);
  directory.tick(CALM_MS + 60_000);
  expect(table.byId.size).toBe(3);
});

test('what a peer keeps although it is no longer listed is kept as lapsed, and dropped once the platform is back', () => {
  const { table } = createTable(0);
  const { directory, contact, removed } = createDirectory(table);
  contact.recordFailure();
  directory.apply(
    { type: 'snapshot', endpoints: [createListing('e0')], lapsed: [createListing('e1')] },
    CALM_MS,
  );
  expect(table.lapsedCount).toBe(1);
  contact.recordAnswer(CALM_MS);
  directory.tick(CALM_MS + 2_000);
  expect(removed).toEqual(['e1 lapsed']);
  expect([...table.byId.keys()]).toEqual(['e0']);
});

test('a box that is in touch with the platform takes no endpoint that a peer keeps unlisted', () => {
  const { table } = createTable(0);
  const { directory } = createDirectory(table);
  directory.apply({ type: 'snapshot', endpoints: [], lapsed: [createListing('e1')] }, CALM_MS);
  expect(table.byId.size).toBe(0);
});
