import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { createTable } from '../../__fixtures__/createEndpoints.js';
import { RouterMetrics } from '../../observability/metrics.js';
import { encodePeerFrame } from '../../peers/peerFrameCodec.js';
import type { EndpointRow } from '../../tables/endpointTable.js';
import type { TunnelPeer } from '../tunnelCandidates.js';
import { TunnelClient } from '../tunnelClient.js';
import { TunnelLog } from '../tunnelLog.js';

const { rows } = createTable(1);
const [row] = rows as [EndpointRow];

let server: Server;
let peer: TunnelPeer;
let client: TunnelClient;

/** Starts a box that handles a request for a tunnel in a certain way, and a client that knows it. */
async function start(handle: (socket: Socket) => void, others: readonly TunnelPeer[] = []): Promise<void> {
  server = createServer((socket) => void socket.once('data', () => handle(socket)));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  peer = { address, hall: 'mixco', availability: 'serving' };
  client = new TunnelClient({
    hall: 'mixco',
    readAddress: () => '127.0.0.1:1',
    listPeers: () => [peer, ...others],
    isEnabled: () => true,
    random: Math.random,
    now: () => 0,
    log: new TunnelLog({ write: () => {} }, new RouterMetrics()),
  });
}

afterEach(() => server.close());

test.each([
  [
    'closes a connection whose first frame it does not know',
    'unsupported',
    (socket: Socket) => socket.destroy(),
  ],
  ['does not answer', 'unanswered', () => {}],
] as const)('a box that %s gets no further requests for a while', async (_, failure, handle) => {
  await start(handle);
  expect([...client.listCandidates(row)]).toEqual([peer]);
  expect((await client.open(peer, row)).val).toBe(failure);
  expect([...client.listCandidates(row)]).toEqual([]);
});

/** Guards against boxes that asked three others which were cut off like themselves, although the first knew one that was not. */
test('a box that a refusal names is asked next', async () => {
  const named = { address: '127.0.0.1:2', hall: 'antigua' };
  const frame = encodePeerFrame({ type: 'tunnelReply', result: 'noPath', others: [named] });
  const contact: TunnelPeer = { address: '127.0.0.1:3', hall: 'antigua', availability: 'unknown' };
  await start((socket) => void socket.end(frame), [contact]);
  const candidates = client.listCandidates(row);
  expect(candidates.next().value).toEqual(peer);
  expect((await client.open(peer, row)).val).toBe('noPath');
  expect(candidates.next().value).toEqual({ ...named, availability: 'serving' });
  expect(candidates.next().value).toEqual(contact);
  expect(candidates.next().done).toBe(true);
});
