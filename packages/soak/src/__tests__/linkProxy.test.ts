import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { LinkProxy } from '../linkProxy.js';
import type { LinkFault } from '../linkProxy.js';

let server: Server;
let link: LinkProxy;
let client: Socket;
let port: number;
const atServer: string[] = [];
const atClient: string[] = [];

beforeEach(async () => {
  atServer.length = 0;
  atClient.length = 0;
  server = createServer((socket) => {
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk) => {
      atServer.push(chunk.toString());
      socket.write('back');
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  link = new LinkProxy((server.address() as AddressInfo).port);
  port = await link.listen();
  client = connect(port, '127.0.0.1');
  client.on('error', () => client.destroy());
  client.on('data', (chunk) => atClient.push(chunk.toString()));
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

test('bytes pass both ways', async () => {
  client.write('there');
  await waitUntil(() => atClient.length > 0);
  expect(atServer).toEqual(['there']);
});

test.each([
  ['silence', false],
  ['cutToServer', false],
  ['cutToClient', true],
] as [LinkFault['type'], boolean][])('%s holds bytes until it is over', async (type, reachesServer) => {
  link.setFault({ type } as LinkFault);
  client.write('there');
  if (reachesServer) await waitUntil(() => atServer.length > 0);
  else await new Promise((resolve) => setTimeout(resolve, 50));
  expect(atServer.length > 0).toBe(reachesServer);
  expect(atClient).toEqual([]);
  link.setFault({ type: 'none' });
  await waitUntil(() => atClient.length > 0);
});

test('bytes keep their order when a delay ends', async () => {
  link.setFault({ type: 'delay', delayMs: 200 });
  client.write('first ');
  // Enough for the link to have read it, and less than its delay.
  await new Promise((resolve) => setTimeout(resolve, 50));
  link.setFault({ type: 'none' });
  client.write('second');
  await waitUntil(() => atServer.join('').length === 'first second'.length);
  expect(atServer.join('')).toBe('first second');
});

test('a reset reaches the client', async () => {
  client.write('there');
  await waitUntil(() => atClient.length > 0);
  const ended = new Promise((resolve) => client.once('close', resolve));
  link.resetAll();
  await ended;
});

test('a link that refuses takes no new connections', async () => {
  link.setFault({ type: 'refuse' });
  const other = connect(port, '127.0.0.1');
  await new Promise((resolve) => other.once('error', resolve).once('close', resolve));
});
