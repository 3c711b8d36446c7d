import { Socket } from 'node:net';
import { Err, Ok } from '@hazelwalk/core';
import { pause } from '@hazelwalk/standins';
import { createTable } from '../__fixtures__/createEndpoints.js';
import { ALL_WAYS_TIMEOUT_MS, EndpointDialer, MIN_TUNNEL_PAUSE_MS } from '../proxy/endpointDialer.js';
import type { DialFailure } from '../tables/endpointPath.js';
import { DIRECT_PATH } from '../tables/endpointPath.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import type { TunnelStream } from '../tunnels/tunnelStream.js';

/** A direct connection that is refused at once. */
function refuse(): Socket {
  const socket = new Socket();
  setImmediate(() => socket.destroy(Object.assign(new Error('refused'), { code: 'ECONNREFUSED' })));
  return socket;
}

const peer = { address: '10.0.0.1:8229', hall: 'mixco', availability: 'serving' } as const;
const [row] = createTable(1).rows as [EndpointRow];
const opened = Ok({ stream: new Socket() as unknown as TunnelStream, name: '10.0.0.2:8229#1' });
const open = jest.fn();
let nowMs: number;
let dialer: EndpointDialer;

beforeEach(() => {
  nowMs = 1_000;
  row.path = DIRECT_PATH;
  open.mockReset();
  const listCandidates = function* (): Generator<typeof peer, void> {
    yield peer;
  };
  const onTunnelled = (_row: EndpointRow, reason: DialFailure): void => {
    row.path = { type: 'tunnel', reason, nextCheckMs: nowMs };
  };
  dialer = new EndpointDialer({
    dial: refuse,
    tunnels: { listCandidates, open },
    now: () => nowMs,
    onTunnelled,
  });
});

/**
 * Guards against connections that began before a box knew that it is cut off: as they ran out of time after a tunnel had been
 * opened, their endpoints counted as unreachable again, and 26 of 120 requests were refused.
 */
test('a connection that fails after another one found the path through other boxes takes that path', async () => {
  open.mockImplementationOnce(async () => {
    row.path = { type: 'tunnel', reason: 'connectRefused', nextCheckMs: 0 };
    return Err('noPath');
  });
  open.mockResolvedValue(opened);
  expect((await dialer.connect(row)).map(({ tunnel }) => tunnel)).toEqual(Ok('10.0.0.2:8229#1'));
});

/**
 * Guards against a pause of seconds after a single moment without tunnels: it doubled with each connection of that moment, and
 * 24 of 120 requests of a box that was cut off were refused.
 */
test('connections that fail together pause tunnels once', async () => {
  open.mockImplementation(() => pause(10).then(() => Err('unanswered')));
  await Promise.all(Array.from({ length: 6 }, () => dialer.connect(row)));
  nowMs += MIN_TUNNEL_PAUSE_MS;
  open.mockResolvedValue(opened);
  expect((await dialer.connect(row)).ok).toBe(true);
});

/** Guards against tunnels that are opened in vain, time after time, as all of them take longer than a request waits. */
test('a tunnel that is opened too late for its request shows the path to the next', async () => {
  open.mockImplementation(() => pause(ALL_WAYS_TIMEOUT_MS + 100).then(() => opened));
  expect((await dialer.connect(row)).ok).toBe(false);
  await pause(150);
  expect((await dialer.connect(row)).ok).toBe(true);
});
