import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createRandom, pause } from '@hazelwalk/standins';
import { Caller } from '../callers.js';
import { Ledger } from '../ledger.js';

const RESPONSE_MS = 50;
const STEP_MS = 10_550;

afterEach(() => jest.restoreAllMocks());

/**
 * Regression test (seed 901, once): the wall clock was set forward while requests were running. Each of them counted as answered
 * 10.6 s late, although its caller gives up after 6 s.
 */
test('a step of the wall clock does not make a response late', async () => {
  const server = createServer((_req, res) => void pause(RESPONSE_MS).then(() => res.end()));
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const ledger = new Ledger();
  const caller = new Caller('c', [{ name: 'box-1', host: '127.0.0.1', port }], ledger, createRandom(1));
  void caller.run();
  await pause(RESPONSE_MS / 2);
  const steppedMs = Date.now() + STEP_MS;
  jest.spyOn(Date, 'now').mockReturnValue(steppedMs);
  await pause(2 * RESPONSE_MS);
  caller.close();
  server.close();
  const [first] = ledger.requests;
  expect((first?.endedAtMs ?? Infinity) - (first?.sentAtMs ?? 0)).toBeLessThan(STEP_MS);
});
