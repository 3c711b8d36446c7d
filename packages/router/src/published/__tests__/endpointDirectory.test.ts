import { createListing, createTable } from '../../__fixtures__/createEndpoints.js';
import { EndpointDirectory } from '../endpointDirectory.js';
import { PlatformConnectivity } from '../platformConnectivity.js';
import type { EndpointTable } from '../../tables/endpointTable.js';

interface TestDirectory {
  directory: EndpointDirectory;
  connectivity: PlatformConnectivity;
  removed: string[];
}

function createDirectory(table: EndpointTable): TestDirectory {
  const removed: string[] = [];
  const connectivity = new PlatformConnectivity();
  const directory = new EndpointDirectory(table, connectivity, {
    onRemoved: (id, reason) => removed.push(`${id} ${reason}`),
    onLapsed: () => {},
  });
  for (let ms = 0; ms <= STEADY_MS; ms += 1_000) connectivity.recordResponse(ms);
  return { directory, connectivity, removed };
}

/** A time at which the grace period after the first response has ended. */
const STEADY_MS = 10_000;

test('outside a grace period the removal of an entry removes its endpoint at once', () => {
  const { table } = createTable(3);
  const { directory, removed } = createDirectory(table);
  directory.apply({ type: 'removed', id: 'e1' }, STEADY_MS);
  expect(removed).toEqual(['e1 removed']);
});

test('entries that disappear in an outage of the platform are kept for two seconds after its return', () => {
  const { table } = createTable(3);
  const { directory, connectivity, removed } = createDirectory(table);
  connectivity.recordFailure();
  connectivity.recordResponse(STEADY_MS);
  directory.apply({ type: 'snapshot', endpoints: [createListing('e0')] }, STEADY_MS + 10);
  directory.tick(STEADY_MS + 1_900);
  expect(table.byId.size).toBe(3);
  directory.apply({ type: 'listed', endpoint: createListing('e1') }, STEADY_MS + 1_950);
  directory.tick(STEADY_MS + 2_100);
  // Its entry may have come back since the last response.
  expect(removed).toEqual([]);
  expect(directory.readLapsedState(STEADY_MS + 2_100)).toBe('awaitingProof');
  connectivity.recordResponse(STEADY_MS + 2_100);
  directory.tick(STEADY_MS + 2_100);
  expect(removed).toEqual(['e2 lapsed']);
});

test('no endpoint is removed while the platform is unreachable', () => {
  const { table } = createTable(3);
  const { directory, connectivity } = createDirectory(table);
  connectivity.recordFailure();
  directory.apply({ type: 'snapshot', endpoints: [] }, STEADY_MS);
  directory.tick(STEADY_MS + 60_000);
  expect(table.byId.size).toBe(3);
});

test('an endpoint that a peer keeps as lapsed is kept as lapsed, and removed after the return of the platform', () => {
  const { table } = createTable(0);
  const { directory, connectivity, removed } = createDirectory(table);
  connectivity.recordFailure();
  directory.apply(
    { type: 'snapshot', endpoints: [createListing('e0')], lapsed: [createListing('e1')] },
    STEADY_MS,
  );
  expect(table.lapsedCount).toBe(1);
  connectivity.recordResponse(STEADY_MS);
  directory.tick(STEADY_MS + 2_000);
  expect(removed).toEqual([]);
  connectivity.recordResponse(STEADY_MS + 2_000);
  directory.tick(STEADY_MS + 2_000);
  expect(removed).toEqual(['e1 lapsed']);
  expect([...table.byId.keys()]).toEqual(['e0']);
});

test('a box that reads the platform ignores the lapsed endpoints of a peer', () => {
  const { table } = createTable(0);
  const { directory } = createDirectory(table);
  directory.apply({ type: 'snapshot', endpoints: [], lapsed: [createListing('e1')] }, STEADY_MS);
  expect(table.byId.size).toBe(0);
});
