/**
 * Failures of real processes: killed and paused boxes, a platform that is down. The run counts of the endpoints show which calls ran.
 */
import { Deployment, waitFor } from '@hazelwalk/standins';
import type { BoxHandle, EndpointHandle } from '@hazelwalk/standins';
import { sendChat, callService, parseProblem, SMALL_DEPLOYMENT } from '../__fixtures__/smallDeployment.js';
import type { BoxStatus } from '../boxStatus.js';

const KEY_FLAGS = ['--keyLagMs', '100', '--keyLeaseMs', '1500', '--keySkewMs', '100', '--clockErrorMs', '10'];
const MARGIN_MS = 100 + 1_500 + 100 + 20;
const SLOW_BOOKING = ['--delayMs', '400'];

let deployment: Deployment;

beforeEach(async () => {
  const timing = ['--heartbeatMs', '200', '--leaseMs', '800'];
  deployment = await Deployment.start({
    ...SMALL_DEPLOYMENT,
    boxCount: 3,
    workerFlags: SLOW_BOOKING,
    boxFlags: [...KEY_FLAGS, ...timing],
  });
});

afterEach(() => deployment.stop());

async function readRuns(): Promise<Record<string, number>> {
  const worker = deployment.endpoints.find(({ id }) => id === 'worker-01');
  const response = await fetch(`http://${worker?.address}/standin/runs`);
  return ((await response.json()) as { runs: Record<string, number> }).runs;
}

function findBox(id: string | null): BoxHandle {
  const box = deployment.boxes.find((other) => other.id === id);
  if (box === undefined) throw new Error(`no box ${id}`);
  return box;
}

async function findEndpointOwner(endpointId: string): Promise<BoxHandle> {
  const [box] = deployment.boxes;
  if (box === undefined) throw new Error('no box');
  const status = await deployment.readStatus<BoxStatus>(box);
  return findBox(status.endpoints.find(({ id }) => id === endpointId)?.steward ?? null);
}

function pickOther(...taken: readonly BoxHandle[]): BoxHandle {
  const box = deployment.boxes.find((other) => !taken.includes(other));
  if (box === undefined) throw new Error('no other box');
  return box;
}

async function createTicket(box: BoxHandle): Promise<string> {
  const response = await fetch(`http://${box.caller}/v1/tickets`, { method: 'POST' });
  return ((await response.json()) as { key: string }).key;
}

function createUuid(timeMs: number, serial: number): string {
  const hex = timeMs.toString(16).padStart(12, '0');
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-${serial.toString(16).padStart(12, '0')}`;
}

function book(box: BoxHandle, key?: string): ReturnType<typeof callService> {
  const headers: Record<string, string> = key === undefined ? {} : { 'idempotency-key': key };
  return callService(box.caller, 'booking/pickups', { body: 'linen', headers });
}

/** Waits until boxes have owned their timed keys for the margin, before which they run none. */
async function waitUntilKeysRun(): Promise<void> {
  let serial = 1_000;
  await waitFor(async () => {
    const responses = await Promise.all(
      Array.from({ length: 6 }, () => book(pickOther(), createUuid(Date.now(), serial++))),
    );
    return responses.every((response) => response.status === 200);
  });
}

test('a ticket sent to every box at once runs once, and all requesters get its response', async () => {
  const key = await createTicket(pickOther());
  const responses = await Promise.all(deployment.boxes.map((box) => book(box, key)));
  expect(responses.map(({ status, text }) => [status, text])).toEqual(
    Array(3).fill([200, JSON.stringify({ confirmed: true, runs: 1, received: 5 })]),
  );
  expect((await readRuns())[key]).toBe(1);
});

test('after the box that issued a ticket was killed, the ticket stays unknown', async () => {
  const owner = pickOther();
  const key = await createTicket(owner);
  await deployment.endBox(owner, 'SIGKILL');
  const response = await book(pickOther(), key);
  expect(parseProblem(response)).toMatchObject({ ran: 'unknown' });
  expect((await readRuns())[key]).toBeUndefined();
});

test("callers' own keys run once, whichever boxes get the requests and however often", async () => {
  await waitUntilKeysRun();
  const keys = Array.from({ length: 5 }, (_, serial) => createUuid(Date.now(), serial));
  const responses = await Promise.all(keys.flatMap((key) => deployment.boxes.map((box) => book(box, key))));
  expect(responses).toHaveLength(15);
  expect(responses.filter(({ status }) => status !== 200)).toEqual([]);
  const runs = await readRuns();
  expect(keys.map((key) => runs[key])).toEqual([1, 1, 1, 1, 1]);
});

test('after a box is killed no key runs twice, and no call that ran is reported as not run', async () => {
  await waitUntilKeysRun();
  const keys = Array.from({ length: 12 }, (_, serial) => createUuid(Date.now(), serial));
  const first = keys.map((key) => book(pickOther(), key).catch(() => undefined));
  const victim = deployment.boxes[2];
  if (victim === undefined) throw new Error('no box');
  await waitFor(async () => Object.keys(await readRuns()).some((key) => keys.includes(key)));
  await deployment.endBox(victim, 'SIGKILL');
  const responses = await Promise.all(first);
  await deployment.publishBoxes();
  await deployment.waitUntilReady(2);
  const repeated = await Promise.all(keys.map((key) => book(pickOther(), key)));
  const runs = await readRuns();
  for (const [index, key] of keys.entries()) {
    expect(runs[key] ?? 0).toBeLessThanOrEqual(1);
    for (const response of [responses[index], repeated[index]]) {
      const isReportedNotRun =
        response !== undefined && response.status !== 200 && parseProblem(response).ran === 'no';
      expect([key, isReportedNotRun && (runs[key] ?? 0) > 0]).toEqual([key, false]);
    }
  }
});

test('a planned stop hands the keys over: none runs twice when its request is repeated at another box', async () => {
  await waitUntilKeysRun();
  const keys = Array.from({ length: 9 }, (_, serial) => createUuid(Date.now(), serial));
  const responses = await Promise.all(keys.map((key) => book(pickOther(), key)));
  expect(responses.map(({ status }) => status)).toEqual(Array(9).fill(200));
  const leaving = deployment.boxes[0];
  if (leaving === undefined) throw new Error('no box');
  expect(await deployment.endBox(leaving, 'SIGTERM')).toBe(0);
  const repeated = await Promise.all(keys.map((key) => book(pickOther(), key)));
  expect(repeated.filter(({ status }) => status !== 200 && status !== 409)).toEqual([]);
  const runs = await readRuns();
  expect(keys.map((key) => runs[key])).toEqual(Array(9).fill(1));
});

test('if the owner of an endpoint is killed during a booking, its outcome is unknown and it is not sent again', async () => {
  const owner = await findEndpointOwner('worker-01');
  const entry = pickOther(owner);
  const response = book(entry);
  await waitFor(async () => Object.keys(await readRuns()).length === 1);
  await deployment.endBox(owner, 'SIGKILL');
  expect(parseProblem(await response)).toMatchObject({ ran: 'unknown' });
  await waitFor(async () => (await deployment.readStatus<BoxStatus>(entry)).liveBoxes.length === 2);
  expect(Object.values(await readRuns())).toEqual([1]);
});

test('a paused owner of an endpoint delays no other caller beyond its lease, and repeats nothing when it resumes', async () => {
  const owner = await findEndpointOwner('worker-01');
  const entry = pickOther(owner);
  owner.child.kill('SIGSTOP');
  const lostResponse = await callService(entry.caller, 'booking/pickups', { body: 'linen' });
  expect(parseProblem(lostResponse)).toMatchObject({ ran: 'unknown' });
  const response = await book(entry);
  expect(response.status).toBe(200);
  owner.child.kill('SIGCONT');
  await deployment.waitUntilReady(3);
  expect(Object.values(await readRuns()).every((runs) => runs === 1)).toBe(true);
});

test('a chat whose home box and endpoint owner is killed before the response starts is retried elsewhere', async () => {
  const owner = await findEndpointOwner('engine-01');
  const entry = pickOther(owner);
  const chats = Array.from({ length: 12 }, (_, chat) =>
    sendChat(entry.caller, { tokens: 6 }, { 'hazelwalk-chat': `kill-${chat}` }),
  );
  await deployment.endBox(owner, 'SIGKILL');
  const responses = await Promise.all(chats);
  for (const { status, text } of responses) {
    const isComplete = status === 200 && text.endsWith('data: [DONE]\n\n');
    const hasTypedError = text.includes('event: error') || status >= 500;
    expect([isComplete || hasTypedError, text]).toEqual([true, text]);
  }
  const after = await sendChat(entry.caller, {}, { 'hazelwalk-chat': 'kill-0' });
  expect(after.text.endsWith('data: [DONE]\n\n')).toBe(true);
});

test('while the platform is down requests are served, and a box that starts gets all values from its peers', async () => {
  await deployment.setPlatformMode('down');
  const seeds = deployment.boxes.map((box) => box.peer);
  const newcomer = await deployment.startBox('box-09', 'mixco', ['--seedAddresses', ...seeds]);
  await waitFor(async () => (await fetch(`http://${newcomer.caller}/readyz`)).status === 200);
  const response = await sendChat(newcomer.caller);
  expect(response.text.endsWith('data: [DONE]\n\n')).toBe(true);
  expect((await book(pickOther(newcomer))).status).toBe(200);
});

test('a revision never reverts: an older file on the platform changes nothing', async () => {
  const { text } = await (
    await fetch(`http://${pickOther().admin}/v1/declared`)
  )
    .json()
    .then((value) => value as { text: string });
  const readRevisions = async (): Promise<number[]> => {
    const statuses = await Promise.all(deployment.boxes.map((box) => deployment.readStatus<BoxStatus>(box)));
    return statuses.map((status) => status.revision);
  };
  await deployment.publish('declared', text.replace('revision = 1', 'revision = 5'));
  await waitFor(async () => (await readRevisions()).every((revision) => revision === 5));
  await deployment.publish('declared', text);
  await deployment.publish('declared', text.replace('revision = 1', 'revision = "x"'));
  await waitFor(async () => {
    const statuses = await Promise.all(deployment.boxes.map((box) => deployment.readStatus<BoxStatus>(box)));
    return statuses.some((status) => (status.counters['value.rejected'] ?? 0) > 0);
  });
  expect(await readRevisions()).toEqual([5, 5, 5]);
});

test('a leaving endpoint gets no new requests once its owner has read its report', async () => {
  const [leaving, staying] = deployment.engines as [EndpointHandle, EndpointHandle];
  await fetch(`http://${leaving.address}/standin/leaving`, { method: 'POST' });
  await waitFor(async () => {
    const status = await deployment.readStatus<BoxStatus>(await findEndpointOwner(leaving.id));
    return status.endpoints.find(({ id }) => id === leaving.id)?.state === 'leaving';
  });
  const responses = await Promise.all(Array.from({ length: 12 }, () => sendChat(pickOther().caller)));
  expect(responses.map(({ headers }) => headers.get('hazelwalk-endpoint'))).toEqual(
    Array(12).fill(staying.id),
  );
});

test('a box that just started does not run a key created before its ownership plus the margin', async () => {
  const key = createUuid(Date.now() - MARGIN_MS, 1);
  expect(parseProblem(await book(pickOther(), key))).toMatchObject({ ran: 'unknown' });
  expect((await readRuns())[key]).toBeUndefined();
});
