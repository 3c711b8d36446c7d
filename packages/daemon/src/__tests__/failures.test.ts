/** Failures of real processes: kills, freezes, cuts from the platform. Evidence is what endpoints counted. */
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

async function findSteward(endpointId: string): Promise<BoxHandle> {
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

/** Boxes run timed keys only once they have owned them for the margin. */
async function waitUntilKeysRun(): Promise<void> {
  let serial = 1_000;
  await waitFor(async () => {
    const answers = await Promise.all(
      Array.from({ length: 6 }, () => book(pickOther(), createUuid(Date.now(), serial++))),
    );
    return answers.every((answer) => answer.status === 200);
  });
}

test('a ticket asked for at every box at once runs once, and all get its answer', async () => {
  const key = await createTicket(pickOther());
  const answers = await Promise.all(deployment.boxes.map((box) => book(box, key)));
  expect(answers.map(({ status, text }) => [status, text])).toEqual(
    Array(3).fill([200, JSON.stringify({ confirmed: true, runs: 1, received: 5 })]),
  );
  expect((await readRuns())[key]).toBe(1);
});

test('a ticket whose box was killed is unknown for good', async () => {
  const owner = pickOther();
  const key = await createTicket(owner);
  await deployment.endBox(owner, 'SIGKILL');
  const asked = await book(pickOther(), key);
  expect(parseProblem(asked)).toMatchObject({ ran: 'unknown' });
  expect((await readRuns())[key]).toBeUndefined();
});

test("callers' own keys run once, whichever boxes are asked and however often", async () => {
  await waitUntilKeysRun();
  const keys = Array.from({ length: 5 }, (_, serial) => createUuid(Date.now(), serial));
  const answers = await Promise.all(keys.flatMap((key) => deployment.boxes.map((box) => book(box, key))));
  expect(answers).toHaveLength(15);
  expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
  const runs = await readRuns();
  expect(keys.map((key) => runs[key])).toEqual([1, 1, 1, 1, 1]);
});

test('keys survive the kill of any box: none runs twice, and what is said not to have run did not', async () => {
  await waitUntilKeysRun();
  const keys = Array.from({ length: 12 }, (_, serial) => createUuid(Date.now(), serial));
  const first = keys.map((key) => book(pickOther(), key).catch(() => undefined));
  const victim = deployment.boxes[2];
  if (victim === undefined) throw new Error('no box');
  await waitFor(async () => Object.keys(await readRuns()).some((key) => keys.includes(key)));
  await deployment.endBox(victim, 'SIGKILL');
  const answers = await Promise.all(first);
  await deployment.publishBoxes();
  await deployment.waitUntilReady(2);
  const again = await Promise.all(keys.map((key) => book(pickOther(), key)));
  const runs = await readRuns();
  for (const [index, key] of keys.entries()) {
    expect(runs[key] ?? 0).toBeLessThanOrEqual(1);
    for (const answer of [answers[index], again[index]]) {
      const saysNo = answer !== undefined && answer.status !== 200 && parseProblem(answer).ran === 'no';
      expect([key, saysNo && (runs[key] ?? 0) > 0]).toEqual([key, false]);
    }
  }
});

test('a planned stop hands the keys over: asked again elsewhere, none runs twice', async () => {
  await waitUntilKeysRun();
  const keys = Array.from({ length: 9 }, (_, serial) => createUuid(Date.now(), serial));
  const answers = await Promise.all(keys.map((key) => book(pickOther(), key)));
  expect(answers.map(({ status }) => status)).toEqual(Array(9).fill(200));
  const leaving = deployment.boxes[0];
  if (leaving === undefined) throw new Error('no box');
  expect(await deployment.endBox(leaving, 'SIGTERM')).toBe(0);
  const again = await Promise.all(keys.map((key) => book(pickOther(), key)));
  expect(again.filter(({ status }) => status !== 200 && status !== 409)).toEqual([]);
  const runs = await readRuns();
  expect(keys.map((key) => runs[key])).toEqual(Array(9).fill(1));
});

test('a steward killed with a booking in hand: unknown, and the booking is not sent again', async () => {
  const steward = await findSteward('worker-01');
  const entry = pickOther(steward);
  const asked = book(entry);
  await waitFor(async () => Object.keys(await readRuns()).length === 1);
  await deployment.endBox(steward, 'SIGKILL');
  expect(parseProblem(await asked)).toMatchObject({ ran: 'unknown' });
  await waitFor(async () => (await deployment.readStatus<BoxStatus>(entry)).liveBoxes.length === 2);
  expect(Object.values(await readRuns())).toEqual([1]);
});

test('a frozen steward delays no other caller past its lease, and its late wake repeats nothing', async () => {
  const steward = await findSteward('worker-01');
  const entry = pickOther(steward);
  steward.child.kill('SIGSTOP');
  const lost = await callService(entry.caller, 'booking/pickups', { body: 'linen' });
  expect(parseProblem(lost)).toMatchObject({ ran: 'unknown' });
  const answer = await book(entry);
  expect(answer.status).toBe(200);
  steward.child.kill('SIGCONT');
  await deployment.waitUntilReady(3);
  expect(Object.values(await readRuns()).every((runs) => runs === 1)).toBe(true);
});

test('a chat whose home and steward is killed before its answer is started again elsewhere', async () => {
  const steward = await findSteward('engine-01');
  const entry = pickOther(steward);
  const chats = Array.from({ length: 12 }, (_, chat) =>
    sendChat(entry.caller, { tokens: 6 }, { 'hazelwalk-chat': `kill-${chat}` }),
  );
  await deployment.endBox(steward, 'SIGKILL');
  const answers = await Promise.all(chats);
  for (const { status, text } of answers) {
    const isWhole = status === 200 && text.endsWith('data: [DONE]\n\n');
    const isTyped = text.includes('event: error') || status >= 500;
    expect([isWhole || isTyped, text]).toEqual([true, text]);
  }
  const after = await sendChat(entry.caller, {}, { 'hazelwalk-chat': 'kill-0' });
  expect(after.text.endsWith('data: [DONE]\n\n')).toBe(true);
});

test('with the platform down everything goes on, and a box that starts learns all from its peers', async () => {
  await deployment.setPlatformMode('down');
  const seeds = deployment.boxes.map((box) => box.peer);
  const newcomer = await deployment.startBox('box-09', 'mixco', ['--seedAddresses', ...seeds]);
  await waitFor(async () => (await fetch(`http://${newcomer.caller}/readyz`)).status === 200);
  const answer = await sendChat(newcomer.caller);
  expect(answer.text.endsWith('data: [DONE]\n\n')).toBe(true);
  expect((await book(pickOther(newcomer))).status).toBe(200);
});

test('a revision never reverts: a platform that serves an older file changes nothing', async () => {
  const { text } = await (
    await fetch(`http://${pickOther().admin}/v1/declared`)
  )
    .json()
    .then((value) => value as { text: string });
  const read = async (): Promise<number[]> => {
    const statuses = await Promise.all(deployment.boxes.map((box) => deployment.readStatus<BoxStatus>(box)));
    return statuses.map((status) => status.revision);
  };
  await deployment.publish('declared', text.replace('revision = 1', 'revision = 5'));
  await waitFor(async () => (await read()).every((revision) => revision === 5));
  await deployment.publish('declared', text);
  await deployment.publish('declared', text.replace('revision = 1', 'revision = "x"'));
  await waitFor(async () => {
    const statuses = await Promise.all(deployment.boxes.map((box) => deployment.readStatus<BoxStatus>(box)));
    return statuses.some((status) => (status.counters['value.rejected'] ?? 0) > 0);
  });
  expect(await read()).toEqual([5, 5, 5]);
});

test('a leaving endpoint gets no new work once its steward knows', async () => {
  const [leaving, staying] = deployment.engines as [EndpointHandle, EndpointHandle];
  await fetch(`http://${leaving.address}/standin/leaving`, { method: 'POST' });
  await waitFor(async () => {
    const status = await deployment.readStatus<BoxStatus>(await findSteward(leaving.id));
    return status.endpoints.find(({ id }) => id === leaving.id)?.state === 'leaving';
  });
  const answers = await Promise.all(Array.from({ length: 12 }, () => sendChat(pickOther().caller)));
  expect(answers.map(({ headers }) => headers.get('hazelwalk-endpoint'))).toEqual(Array(12).fill(staying.id));
});

test('a key younger than the margin of a box that just started is not run by guess', async () => {
  const key = createUuid(Date.now() - MARGIN_MS, 1);
  expect(parseProblem(await book(pickOther(), key))).toMatchObject({ ran: 'unknown' });
  expect((await readRuns())[key]).toBeUndefined();
});
