import { createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { createListing } from '../__fixtures__/createEndpoints.js';
import { EndpointConnections } from '../proxy/endpointConnections.js';
import { EndpointTable } from '../tables/endpointTable.js';
import type { EndpointRow } from '../tables/endpointTable.js';

const LONG_MS = 60_000;

let server: Server;
let connections: EndpointConnections;
let row: EndpointRow;

beforeEach(async () => {
  server = createServer((socket) => socket.on('error', () => socket.destroy()));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  connections = new EndpointConnections({ countBoxes: () => 1, now: () => 0, onOpened: () => {} });
  row = new EndpointTable(() => 1).upsert(createListing('e-1', { host: '127.0.0.1', port }), 0);
});

afterEach(() => {
  connections.close();
  server.close();
});

test('a connection is reused after its release', async () => {
  const first = (await connections.acquire(row, LONG_MS, 10)).unwrap();
  connections.release(row, first);
  expect((await connections.acquire(row, LONG_MS, 10)).unwrap()).toBe(first);
  first.socket.destroy();
});

test('a connection that is released after its endpoint was removed is closed', async () => {
  const connection = (await connections.acquire(row, LONG_MS, 10)).unwrap();
  connections.forget(row.listing.id);
  connections.release(row, connection);
  expect(connection.socket.destroyed).toBe(true);
});

test('no more connections are opened than one box may have to the endpoint', async () => {
  const first = (await connections.acquire(row, LONG_MS, 1)).unwrap();
  expect((await connections.acquire(row, LONG_MS, 1)).val).toBe('connectionLimit');
  first.socket.destroy();
});

/** Guards against refusals at a box of a large fleet to which most callers come, while the others hardly use the endpoints. */
test('a box uses connections that the others leave free, and its own part in any case', async () => {
  const boxes = 100;
  const large = new EndpointConnections({ countBoxes: () => boxes, now: () => 0, onOpened: () => {} });
  const open = async (): Promise<number> => {
    const opened = [];
    for (;;) {
      const acquired = await large.acquire(row, LONG_MS, boxes);
      if (acquired.err) break;
      opened.push(acquired.val);
    }
    for (const { socket } of opened) socket.destroy();
    await new Promise((resolve) => setTimeout(resolve, 20));
    return opened.length;
  };
  expect(await open()).toBe(22);
  row.peersInFlight = 50;
  expect(await open()).toBe(10);
  row.peersInFlight = 90;
  expect(await open()).toBe(1);
  large.close();
});
