import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { createTable } from '../../__fixtures__/createEndpoints.js';
import { RouterMetrics } from '../../observability/metrics.js';
import { TunnelClient } from '../tunnelClient.js';
import { TunnelLog } from '../tunnelLog.js';

test.each([
  [
    'closes a connection whose first frame it does not know',
    'unsupported',
    (socket: Socket) => socket.destroy(),
  ],
  ['does not answer', 'unanswered', () => {}],
] as const)('a box that %s gets no further requests for a while', async (_, failure, handle) => {
  const server = createServer((socket) => void socket.once('data', () => handle(socket)));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const peer = { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, hall: 'mixco' };
  const client = new TunnelClient({
    hall: 'mixco',
    readAddress: () => '127.0.0.1:1',
    listPeers: () => [peer],
    isEnabled: () => true,
    random: Math.random,
    now: () => 0,
    log: new TunnelLog({ write: () => {} }, new RouterMetrics()),
  });
  const [row] = createTable(1).rows;
  if (row === undefined) throw new Error('no row');
  expect(client.listCandidates(row)).toEqual([peer]);
  expect((await client.open(peer, row)).val).toBe(failure);
  expect(client.listCandidates(row)).toEqual([]);
  server.close();
});
