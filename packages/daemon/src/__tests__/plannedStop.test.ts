/** Guards against orders that are sent on an open connection of a stopping box and end with a reset, or are run and not answered. */
import { Agent, request as httpRequest } from 'node:http';
import { connect } from 'node:net';
import { Deployment, waitFor } from '@hazelwalk/standins';
import type { BoxHandle } from '@hazelwalk/standins';
import { SMALL_DEPLOYMENT } from '../__fixtures__/smallDeployment.js';
import type { BoxStatus } from '../boxStatus.js';

let deployment: Deployment;

beforeAll(async () => {
  deployment = await Deployment.start(SMALL_DEPLOYMENT);
});

afterAll(() => deployment.stop());

interface Outcome {
  readonly status: number | undefined;
  readonly body: string;
  readonly closesConnection: boolean;
  readonly error: string | undefined;
}

/** Sends a request of the deployment's team on a connection of the agent. */
function send(box: BoxHandle, agent: Agent, path: string, body: string): Promise<Outcome> {
  const [host = '', port] = box.caller.split(':');
  const headers = { 'hazelwalk-team': 'hospital' };
  return new Promise((resolve) => {
    const req = httpRequest({ host, port: Number(port), path, method: 'POST', headers, agent });
    const fail = (error: NodeJS.ErrnoException): void =>
      resolve({ status: undefined, body: '', closesConnection: false, error: error.code });
    req.on('error', fail);
    req.on('response', (res) => {
      let received = '';
      res.on('data', (chunk: Buffer) => (received += chunk.toString()));
      res.on('error', () => {});
      res.on('close', () => {
        const closesConnection = res.headers.connection === 'close';
        resolve({ status: res.statusCode, body: received, closesConnection, error: undefined });
      });
    });
    req.end(body);
  });
}

const formatChat = (tokens: number): string =>
  JSON.stringify({ model: 'assistant', stream: true, messages: ['x'], tokens });

async function startThirdBox(): Promise<BoxHandle> {
  const box = await deployment.startBox(`box-${deployment.boxes.length + 1}`, 'mixco');
  await deployment.publishBoxes();
  await deployment.waitUntilReady(3);
  return box;
}

async function waitForRequests(box: BoxHandle, count: number): Promise<void> {
  await waitFor(async () => (await deployment.readStatus<BoxStatus>(box)).requestsInFlight === count);
}

test('an order that follows the last stream on its connection is refused at once as not run', async () => {
  const box = await startThirdBox();
  const callers = Array.from({ length: 6 }, (_, index) => ({
    agent: new Agent({ keepAlive: true }),
    tokens: 40 + 10 * index,
  }));
  const orders = callers.map(async ({ agent, tokens }) => {
    const chat = await send(box, agent, '/v1/chat/completions', formatChat(tokens));
    expect(chat.body.endsWith('data: [DONE]\n\n')).toBe(true);
    return send(box, agent, '/services/booking/pickups', 'linen');
  });
  await waitForRequests(box, callers.length);
  const exitCode = deployment.endBox(box, 'SIGTERM');
  for (const order of await Promise.all(orders)) {
    expect([order.status, order.error, order.closesConnection]).toEqual([503, undefined, true]);
    expect(JSON.parse(order.body)).toMatchObject({ code: 2012, ran: 'no' });
  }
  expect(await exitCode).toBe(0);
  for (const { agent } of callers) agent.destroy();
  await deployment.publishBoxes();
});

test('an order sent behind a stream is not run while the stream goes on', async () => {
  const box = await startThirdBox();
  const [host = '', port] = box.caller.split(':');
  const socket = connect({ host, port: Number(port) });
  let received = '';
  socket.on('error', () => {});
  socket.on('data', (chunk) => (received += chunk.toString()));
  const chat = formatChat(60);
  const head = (path: string, length: number): string =>
    `POST ${path} HTTP/1.1\r\nHost: x\r\nhazelwalk-team: hospital\r\nContent-Length: ${length}\r\n\r\n`;
  socket.write(
    `${head('/v1/chat/completions', chat.length)}${chat}${head('/services/booking/pickups', 5)}linen`,
  );
  await waitForRequests(box, 1);
  await waitFor(async () => received.includes('data:'));
  expect((await deployment.readStatus<BoxStatus>(box)).requestsInFlight).toBe(1);
  const exitCode = deployment.endBox(box, 'SIGTERM');
  expect(await exitCode).toBe(0);
  expect(received).toContain('data: [DONE]');
  expect(received).toContain('"code":2012');
  socket.destroy();
  await deployment.publishBoxes();
});
