import { createHash, randomBytes } from 'node:crypto';
import { connect } from 'node:net';
import { Deployment, waitFor } from '@hazelwalk/standins';
import { encodeFrame, PROTOCOL_VERSION } from '@hazelwalk/wire';
import { sendChat, callService, parseProblem, SMALL_DEPLOYMENT } from '../__fixtures__/smallDeployment.js';
import type { BoxStatus } from '../boxStatus.js';

let deployment: Deployment;
let caller: string;

beforeAll(async () => {
  deployment = await Deployment.start(SMALL_DEPLOYMENT);
  caller = deployment.boxes[0]?.caller ?? '';
});

afterAll(() => deployment.stop());

/** After each test the daemon still serves requests. */
afterEach(async () => {
  const response = await sendChat(caller);
  expect([response.status, response.text.endsWith('data: [DONE]\n\n')]).toEqual([200, true]);
});

async function sumCounter(name: string): Promise<number> {
  const statuses = await Promise.all(deployment.boxes.map((box) => deployment.readStatus<BoxStatus>(box)));
  return statuses.reduce((sum, status) => sum + (status.counters[name] ?? 0), 0);
}

async function readStandin<T>(address: string, path: string): Promise<T> {
  return (await (await fetch(`http://${address}${path}`)).json()) as T;
}

test('a chat is streamed completely through any box and is routed to the same engine again', async () => {
  const responses = [];
  for (const box of deployment.boxes)
    responses.push(await sendChat(box.caller, {}, { 'hazelwalk-chat': 'chat-1' }));
  expect(responses.map((response) => response.text.match(/t\d/g)?.length)).toEqual([6, 6]);
  expect(responses[0]?.headers.get('hazelwalk-endpoint')).toBe(
    responses[1]?.headers.get('hazelwalk-endpoint'),
  );
});

test('a chat without streaming gets a complete response', async () => {
  const response = await sendChat(caller, { stream: false });
  expect(JSON.parse(response.text)).toMatchObject({ object: 'chat.completion' });
});

test('the request id is echoed', async () => {
  const response = await sendChat(caller, {}, { 'x-request-id': 'mine-7' });
  expect(response.headers.get('x-request-id')).toBe('mine-7');
});

test('a booking is confirmed once', async () => {
  const response = await callService(caller, 'booking/pickups', { body: 'linen' });
  expect(JSON.parse(response.text)).toEqual({ confirmed: true, runs: 1, received: 5 });
});

test('large bodies are streamed unchanged in both directions', async () => {
  const body = randomBytes(5_000_000);
  const response = await fetch(`http://${caller}/services/tracking/echo`, {
    method: 'POST',
    headers: { 'hazelwalk-team': 'hospital' },
    body,
  });
  const echoed = Buffer.from(await response.arrayBuffer());
  const digest = (bytes: Buffer): string => createHash('sha256').update(bytes).digest('hex');
  expect(digest(echoed)).toBe(digest(body));
});

test.each([
  ['malformed JSON', '{"model":', {}, 400, 2001],
  ['no messages', '{"model":"assistant","messages":[]}', {}, 400, 2001],
  ['an invalid deadline', {}, { 'hazelwalk-deadline-ms': '-1' }, 400, 2001],
  ['an oversized body', { messages: ['x'.repeat(1_100_000)] }, {}, 413, 2002],
  ['oversized headers', {}, { 'x-large': 'x'.repeat(20_000) }, 431, 2003],
  ['an unknown team', {}, { 'hazelwalk-team': 'nobody' }, 403, 2004],
  ['an unknown model', { model: 'nothing' }, {}, 404, 2006],
])('%s is refused with its code', async (_name, body, headers, status, code) => {
  const response = await sendChat(caller, body, headers as Record<string, string>);
  expect([response.status, parseProblem(response)]).toMatchObject([status, { code, ran: 'no' }]);
});

test('an unknown service and an unknown path are refused with their codes', async () => {
  expect(parseProblem(await callService(caller, 'nothing/x'))).toMatchObject({ code: 2005, ran: 'no' });
  const response = await (await fetch(`http://${caller}/nowhere`)).json();
  expect(response).toMatchObject({ code: 2007, ran: 'no' });
});

test.each([
  ['truncated', (hello: Buffer) => hello.subarray(0, 10), 'peer.frameTruncated'],
  ['oversized', () => Buffer.from([0xff, 0xff, 0xff, 0xff]), 'peer.frameTooLarge'],
  ['malformed', () => Buffer.from([0, 0, 0, 1, 0xff]), 'peer.frameMalformed'],
])('a %s peer frame is counted and its link closed', async (_name, corrupt, counter) => {
  await sendToPeer(corrupt(encodeHello(PROTOCOL_VERSION)), counter);
});

test('a peer of another version is counted and its link closed', async () => {
  await sendToPeer(encodeHello(PROTOCOL_VERSION + 1), 'peer.frameVersion');
});

function encodeHello(protocolVersion: number): Buffer {
  const box = { id: 'stranger', hall: 'mixco', peerAddress: '127.0.0.1:1', state: 'live' as const };
  return encodeFrame({ type: 'hello', protocolVersion, incarnation: 'k1', box });
}

async function sendToPeer(bytes: Buffer, counter: string): Promise<void> {
  const before = await sumCounter(counter);
  const [host, port] = (deployment.boxes[0]?.peer ?? '').split(':');
  const socket = connect({ host: host ?? '', port: Number(port) });
  socket.on('error', () => {});
  socket.end(bytes);
  await waitFor(async () => (await sumCounter(counter)) === before + 1);
  socket.destroy();
}

test('a response shorter than its content length is not forwarded as complete', async () => {
  const before = await sumCounter('refusal.answerTooShort');
  await expect(callService(caller, 'booking/short', { body: 'x' })).rejects.toThrow();
  await waitFor(async () => (await sumCounter('refusal.answerTooShort')) === before + 1);
});

test('a response longer than its content length ends at that length', async () => {
  const response = await callService(caller, 'booking/long', { body: 'x' });
  expect([response.status, response.text]).toEqual([200, 'x'.repeat(10)]);
});

test('if an endpoint never responds, the caller gets a refusal at the deadline', async () => {
  const headers = { 'hazelwalk-deadline-ms': '300' };
  const response = await callService(caller, 'booking/never', { body: 'x', headers });
  expect([response.status, parseProblem(response)]).toMatchObject([504, { code: 3001, ran: 'unknown' }]);
});

test.each(['break', 'noEnd'])(
  'a stream that an engine ends early (%s) ends with an error event',
  async (fault) => {
    const response = await sendChat(caller, { fault });
    expect(response.text).not.toContain('[DONE]');
    expect(response.text).toMatch(/event: error\ndata: \{.*"ran":"unknown"/);
  },
);

test('when a caller disconnects, its call is cancelled at the engine', async () => {
  const countCancelled = async (): Promise<number> => {
    const stats = await Promise.all(
      deployment.engines.map((engine) =>
        readStandin<{ cancelled: number }>(engine.address, '/standin/stats'),
      ),
    );
    return stats.reduce((sum, { cancelled }) => sum + cancelled, 0);
  };
  const before = await countCancelled();
  const abort = new AbortController();
  const response = await fetch(`http://${caller}/v1/chat/completions`, {
    method: 'POST',
    headers: { 'hazelwalk-team': 'hospital' },
    body: JSON.stringify({ model: 'assistant', stream: true, messages: ['x'], tokens: 10_000 }),
    signal: abort.signal,
  });
  await response.body?.getReader().read();
  abort.abort();
  await waitFor(async () => (await countCancelled()) === before + 1);
  await waitFor(async () => (await sumCounter('refusal.callerGone')) >= 1);
});

test('a planned stop under load completes all open responses, refuses new requests with ran: no and exits 0', async () => {
  const box = await deployment.startBox('box-03', 'mixco');
  await deployment.publishBoxes();
  await deployment.waitUntilReady(3);
  const openResponses = Array.from({ length: 8 }, (_, chat) =>
    sendChat(box.caller, { tokens: 60 }, { 'hazelwalk-chat': `stop-${chat}` }),
  );
  await waitFor(async () => (await deployment.readStatus<BoxStatus>(box)).requestsInFlight === 8);
  const exitCode = deployment.endBox(box, 'SIGTERM');
  await waitFor(async () => (await fetch(`http://${box.caller}/readyz`)).status === 503);
  expect(parseProblem(await sendChat(box.caller))).toMatchObject({ code: 2012, ran: 'no' });
  const responses = await Promise.all(openResponses);
  expect(responses.map((response) => response.text.endsWith('data: [DONE]\n\n'))).toEqual(
    Array(8).fill(true),
  );
  expect(await exitCode).toBe(0);
  await deployment.publishBoxes();
  await deployment.waitUntilReady(2);
});
