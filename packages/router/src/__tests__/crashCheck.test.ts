import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { createListing } from '../__fixtures__/createEndpoints.js';
import { CrashCheck } from '../proxy/crashCheck.js';
import { EndpointConnections } from '../proxy/endpointConnections.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import { EndpointTable } from '../tables/endpointTable.js';

let server: Server;
let crashed: EndpointRow[];
let check: CrashCheck;
let row: EndpointRow;

async function addEndpoint(state: 'live' | 'leaving'): Promise<void> {
  server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const table = new EndpointTable(() => 1);
  row = table.upsert(
    { ...createListing('e-1', { service: 'app', hall: 'mixco' }), host: '127.0.0.1', port, state },
    0,
  );
  crashed = [];
  const connections = new EndpointConnections({ countBoxes: () => 1, now: () => 0, onOpened: () => {} });
  check = new CrashCheck(connections, (crashedRow) => crashed.push(crashedRow));
}

const closeServer = (): Promise<void> => new Promise((resolve) => server.close(() => resolve()));

afterEach(() => server.close());

test('an endpoint whose connection broke but that accepts new connections has not crashed', async () => {
  await addEndpoint('live');
  expect(await check.check(row)).toBe('running');
  expect(crashed).toEqual([]);
});

test('an endpoint without a listener has crashed; concurrent callers share one check', async () => {
  await addEndpoint('live');
  await closeServer();
  expect(await Promise.all([check.check(row), check.check(row)])).toEqual(['crashed', 'crashed']);
  expect(crashed).toEqual([row]);
});

test('a leaving endpoint without a listener is not counted as crashed', async () => {
  await addEndpoint('leaving');
  await closeServer();
  expect(await check.check(row)).toBe('unknown');
});

test('an endpoint that announced in a response that it is leaving is not counted as crashed', async () => {
  await addEndpoint('live');
  row.notice.isLeaving = true;
  await closeServer();
  expect(await check.check(row)).toBe('unknown');
});
