import { createHasher } from '@hazelwalk/core';
import type { Hasher } from '@hazelwalk/core';
import { createColdEndpointLimiter, createTable } from '../__fixtures__/createEndpoints.js';
import { createPromptRequest, createPlacement } from '../__fixtures__/createPlacement.js';
import type { ColdEndpointLimiter } from '../systems/coldEndpointLimiter.js';
import { markReachable, recordHealthSignal } from '../systems/endpointHealth.js';
import { Evacuations } from '../published/evacuations.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';

/** The bound of an endpoint is 24.5 requests within a second, half of which the boxes share among them. */
const coldStart = { perS: 13, startMs: 3_000 };
const NOW_MS = 60_000;
let hasher: Hasher;

beforeAll(async () => {
  hasher = await createHasher();
});

function createCold(count: number): { table: EndpointTable; rows: EndpointRow[] } {
  const { table, rows } = createTable(count);
  for (const row of rows) row.coldUntilMs = NOW_MS + 3_000;
  return { table, rows };
}

/** Creates the limiters of boxes of the hall `a`, each with all the others as its peers. */
function createBoxes(count: number): ColdEndpointLimiter[] {
  const addresses = Array.from({ length: count }, (_, at) => `10.0.0.${at}:1`);
  return addresses.map((address) =>
    createColdEndpointLimiter(hasher, {
      readAddress: () => address,
      listHallPeers: () => addresses.filter((other) => other !== address),
    }),
  );
}

/** Sends as many requests to an endpoint as a box may at one time, and returns their number. */
function sendAll(box: ColdEndpointLimiter, row: EndpointRow, nowMs = NOW_MS): number {
  let sent = 0;
  for (; box.admits(row, coldStart, nowMs); sent += 1) box.recordSent(row, nowMs);
  return sent;
}

test.each([1, 2, 3, 4, 16, 49])('a hall of %d boxes sends no more than half of the bound', (count) => {
  for (const row of createCold(20).rows) {
    const sent = createBoxes(count).reduce((sum, box) => sum + sendAll(box, row), 0);
    expect(sent).toBeGreaterThanOrEqual(9);
    expect(sent).toBeLessThanOrEqual(12);
  }
});

test('most boxes of a hall may send to some of its cold endpoints', () => {
  const { rows } = createCold(20);
  const idle = createBoxes(16).filter((box) => rows.every((row) => !box.admits(row, coldStart, NOW_MS)));
  expect(idle.length).toBeLessThanOrEqual(2);
});

test('a sent request counts for longer than a second, as requests may arrive closer together than they were sent', () => {
  const [row] = createCold(1).rows;
  const [box] = createBoxes(1);
  if (row === undefined || box === undefined) throw new Error('no endpoint or no box');
  expect(sendAll(box, row)).toBe(12);
  expect(sendAll(box, row, NOW_MS + 1_100)).toBe(0);
  expect(sendAll(box, row, NOW_MS + 1_300)).toBe(12);
});

test.each([
  ['has just started', { startedAtMs: NOW_MS - 3_000 }],
  ['has not joined the fleet', { hasJoinedFleet: () => false }],
  ['is in another hall', { hall: 'b' }],
])('a box that %s may send to a warm endpoint but not to a cold one', (_, changes) => {
  const [cold, warm] = createCold(2).rows;
  if (cold === undefined || warm === undefined) throw new Error('no endpoints');
  warm.coldUntilMs = NOW_MS;
  const box = createColdEndpointLimiter(hasher, changes);
  expect(box.admits(cold, coldStart, NOW_MS)).toBe(false);
  expect(box.admits(warm, coldStart, NOW_MS)).toBe(true);
});

test('a service without a cold start is not limited', () => {
  const [row] = createCold(1).rows;
  if (row === undefined) throw new Error('no endpoint');
  expect(createColdEndpointLimiter(hasher, { hall: 'b' }).admits(row, undefined, NOW_MS)).toBe(true);
});

test('while all endpoints are cold, requests are placed up to the limit and then refused as `endpointsCold`', () => {
  const { table } = createCold(2);
  const placement = createPlacement(hasher, table);
  const request = { ...createPromptRequest('p'), coldStart };
  for (let count = 0; count < 24; count += 1) expect(placement.choose(request, NOW_MS)).toBeDefined();
  expect(placement.choose(request, NOW_MS)).toBeUndefined();
  expect(placement.explainFailure(request, NOW_MS)).toEqual({ reason: 'endpointsCold', waitMs: 0 });
});

test('a request is refused as `hallsEvacuated` if the only hall is evacuated', () => {
  const { table } = createTable(2);
  const evacuations = new Evacuations();
  evacuations.apply({ type: 'ordered', hall: 'a' }, NOW_MS);
  const placement = createPlacement(hasher, table, { evacuations });
  expect(placement.choose(createPromptRequest('p'), NOW_MS)).toBeUndefined();
  expect(placement.explainFailure(createPromptRequest('p'), NOW_MS)).toEqual({
    reason: 'hallsEvacuated',
    waitMs: 0,
  });
});

describe('an endpoint is treated as cold', () => {
  test('from its first listing, and again whenever a listing changes the duration', () => {
    const { table, rows } = createTable(1);
    const [row] = rows;
    if (row === undefined) throw new Error('no endpoint');
    const upsertColdMs = (coldMs: number, nowMs: number): number =>
      table.upsert({ ...row.listing, coldMs }, nowMs).coldUntilMs;
    expect(upsertColdMs(3_000, 1_000)).toBe(4_000);
    // The same listing again, as in a snapshot, changes nothing.
    expect(upsertColdMs(3_000, 3_500)).toBe(4_000);
    expect(upsertColdMs(0, 3_600)).toBe(3_600);
    expect(upsertColdMs(2_000, 9_000)).toBe(11_000);
  });

  test('when it is reachable again after its process was gone, but not after a network partition', () => {
    const { table, rows } = createTable(2);
    const [gone, partitioned] = rows;
    if (gone === undefined || partitioned === undefined) throw new Error('no endpoints');
    recordHealthSignal(table, gone, 'connectRefused', 1_000);
    recordHealthSignal(table, partitioned, 'connectTimedOut', 1_000);
    // While the machine restarts, connections to it time out.
    recordHealthSignal(table, gone, 'connectTimedOut', 1_500);
    markReachable(gone, 2_000);
    markReachable(partitioned, 2_000);
    expect(gone.coldUntilMs).toBe(5_000);
    expect(partitioned.coldUntilMs).toBeLessThanOrEqual(2_000);
  });
});
