import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { LinkProxy } from '../linkProxy.js';
import type { LinkFault } from '../linkProxy.js';

let server: Server;
let link: LinkProxy;
let client: Socket;
let port: number;
const receivedByServer: string[] = [];
const receivedByClient: string[] = [];

beforeEach(async () => {
  receivedByServer.length = 0;
  receivedByClient.length = 0;
  server = createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk) => {
      receivedByServer.push(chunk.toString());
      socket.write('back');
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  link = new LinkProxy((server.address() as AddressInfo).port);
  port = await link.listen();
  client = connect(port, '127.0.0.1');
  client.on('error', () => client.destroy());
  client.on('data', (chunk) => receivedByClient.push(chunk.toString()));
  await new Promise((resolve) => client.once('connect', resolve));
});

afterEach(() => {
  client.destroy();
  link.close();
  server.close();
});

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}

test('forwards bytes in both directions', async () => {
  client.write('there');
  await waitUntil(() => receivedByClient.length > 0);
  expect(receivedByServer).toEqual(['there']);
});

test.each([
  ['silence', false],
  ['cutToServer', false],
  ['cutToClient', true],
] as [LinkFault['type'], boolean][])(
  '%s holds bytes back until the fault ends',
  async (type, reachesServer) => {
    link.setFault({ type } as LinkFault);
    client.write('there');
    if (reachesServer) await waitUntil(() => receivedByServer.length > 0);
    else await new Promise((resolve) => setTimeout(resolve, 50));
    expect(receivedByServer.length > 0).toBe(reachesServer);
    expect(receivedByClient).toEqual([]);
    link.setFault({ type: 'none' });
    await waitUntil(() => receivedByClient.length > 0);
  },
);

test('keeps the order of bytes when a delay ends', async () => {
  link.setFault({ type: 'delay', delayMs: 200 });
  client.write('first ');
  // Long enough for the link to have read the bytes, but shorter than its delay.
  await new Promise((resolve) => setTimeout(resolve, 50));
  link.setFault({ type: 'none' });
  client.write('second');
  await waitUntil(() => receivedByServer.join('').length === 'first second'.length);
  expect(receivedByServer.join('')).toBe('first second');
});

test('resets the connection of the client', async () => {
  client.write('there');
  await waitUntil(() => receivedByClient.length > 0);
  const ended = new Promise((resolve) => client.once('close', resolve));
  link.resetAll();
  await ended;
});

test('refuses new connections', async () => {
  link.setFault({ type: 'refuse' });
  const other = connect(port, '127.0.0.1');
  await new Promise((resolve) => other.once('error', resolve).once('close', resolve));
});
