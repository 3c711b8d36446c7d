import { Socket } from 'node:net';
import { Err, Ok } from '@hazelwalk/core';
import { createTable } from '../__fixtures__/createEndpoints.js';
import { EndpointDialer } from '../proxy/endpointDialer.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import type { TunnelStream } from '../tunnels/tunnelStream.js';

/** A direct connection that is refused at once. */
function refuse(): Socket {
  const socket = new Socket();
  setImmediate(() => socket.destroy(Object.assign(new Error('refused'), { code: 'ECONNREFUSED' })));
  return socket;
}

/**
 * Guards against connections that began before a box knew that it is cut off: as they ran out of time after a tunnel had been
 * opened, their endpoints counted as unreachable again, and 26 of 120 requests were refused.
 */
test('a connection that fails after another one found the path through other boxes takes that path', async () => {
  const [row] = createTable(1).rows as [EndpointRow];
  const peer = { address: '10.0.0.1:8229', hall: 'mixco', availability: 'serving' } as const;
  const stream = new Socket() as unknown as TunnelStream;
  const open = jest.fn().mockImplementationOnce(async () => {
    row.path = { type: 'tunnel', reason: 'connectRefused', nextCheckMs: 0 };
    return Err('noPath');
  });
  open.mockResolvedValue(Ok({ stream, name: '10.0.0.2:8229#1' }));
  const listCandidates = function* (): Generator<typeof peer, void> {
    yield peer;
  };
  const dialer = new EndpointDialer({ dial: refuse, tunnels: { listCandidates, open }, now: () => 0 });
  expect((await dialer.connect(row)).map(({ tunnel }) => tunnel)).toEqual(Ok('10.0.0.2:8229#1'));
});
