import { createHasher } from '@hazelwalk/core';
import type { Hasher } from '@hazelwalk/core';
import { createColdEndpoints, createTable } from '../__fixtures__/createEndpoints.js';
import { askFor, createPlacement } from '../__fixtures__/createPlacement.js';
import type { ColdEndpointLimiter } from '../systems/coldEndpointLimiter.js';
import { markReachable, recordHealthSignal } from '../systems/endpointHealth.js';
import { Evacuations } from '../systems/evacuations.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';

/** 24.5 are allowed within a second; half of that is given out. */
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

/** Boxes of the hall `a`, each of which knows all others of it. */
function createBoxes(count: number): ColdEndpointLimiter[] {
  const addresses = Array.from({ length: count }, (_, at) => `10.0.0.${at}:1`);
  return addresses.map((address) =>
    createColdEndpoints(hasher, {
      readAddress: () => address,
      listHallPeers: () => addresses.filter((other) => other !== address),
    }),
  );
}

/** Requests that a box may send to an endpoint at one moment. */
function sendAll(box: ColdEndpointLimiter, row: EndpointRow, nowMs = NOW_MS): number {
  let sent = 0;
  for (; box.admits(row, coldStart, nowMs); sent += 1) box.recordSent(row, nowMs);
  return sent;
}

test.each([1, 2, 3, 4, 16, 49])('a hall of %d boxes sends no more than half of what is allowed', (count) => {
  for (const row of createCold(20).rows) {
    const sent = createBoxes(count).reduce((sum, box) => sum + sendAll(box, row), 0);
    expect(sent).toBeGreaterThanOrEqual(9);
    expect(sent).toBeLessThanOrEqual(12);
  }
});

test('most boxes of a hall have a part in some of its cold endpoints', () => {
  const { rows } = createCold(20);
  const idle = createBoxes(16).filter((box) => rows.every((row) => !box.admits(row, coldStart, NOW_MS)));
  expect(idle.length).toBeLessThanOrEqual(2);
});

test('what was sent counts for longer than a second, as requests arrive closer together than they were sent', () => {
  const [row] = createCold(1).rows;
  const [box] = createBoxes(1);
  if (row === undefined || box === undefined) throw new Error('nothing to send');
  expect(sendAll(box, row)).toBe(12);
  expect(sendAll(box, row, NOW_MS + 1_100)).toBe(0);
  expect(sendAll(box, row, NOW_MS + 1_300)).toBe(12);
});

test.each([
  ['has just started', { startedAtMs: NOW_MS - 3_000 }],
  ['has met nobody', { hasJoinedFleet: () => false }],
  ['is of another hall', { hall: 'b' }],
])('a box that %s sends nothing to a cold endpoint, and all to a warm one', (_, changes) => {
  const [cold, warm] = createCold(2).rows;
  if (cold === undefined || warm === undefined) throw new Error('no endpoints');
  warm.coldUntilMs = NOW_MS;
  const box = createColdEndpoints(hasher, changes);
  expect(box.admits(cold, coldStart, NOW_MS)).toBe(false);
  expect(box.admits(warm, coldStart, NOW_MS)).toBe(true);
});

test('a service whose endpoints bear all at once is not held back', () => {
  const [row] = createCold(1).rows;
  if (row === undefined) throw new Error('no endpoint');
  expect(createColdEndpoints(hasher, { hall: 'b' }).admits(row, undefined, NOW_MS)).toBe(true);
});

test('while all endpoints are cold a request goes to one of them in its turn, and then is refused as such', () => {
  const { table } = createCold(2);
  const placement = createPlacement(hasher, table);
  const request = { ...askFor('p'), coldStart };
  for (let count = 0; count < 24; count += 1) expect(placement.choose(request, NOW_MS)).toBeDefined();
  expect(placement.choose(request, NOW_MS)).toBeUndefined();
  expect(placement.explainFailure(request, NOW_MS)).toEqual({ reason: 'endpointsCold', waitMs: 0 });
});

test('with a hall emptied, that is the reason', () => {
  const { table } = createTable(2);
  const evacuations = new Evacuations();
  evacuations.apply({ type: 'ordered', hall: 'a' }, NOW_MS);
  const placement = createPlacement(hasher, table, { evacuations });
  expect(placement.choose(askFor('p'), NOW_MS)).toBeUndefined();
  expect(placement.explainFailure(askFor('p'), NOW_MS)).toEqual({ reason: 'hallsEvacuated', waitMs: 0 });
});

describe('how long an endpoint is taken for cold', () => {
  test('from its first entry on, and anew whenever that says another time', () => {
    const { table, rows } = createTable(1);
    const [row] = rows;
    if (row === undefined) throw new Error('no endpoint');
    const tell = (coldMs: number, nowMs: number): number =>
      table.upsert({ ...row.listing, coldMs }, nowMs).coldUntilMs;
    expect(tell(3_000, 1_000)).toBe(4_000);
    // The same entry once more, as in a whole list, is not news.
    expect(tell(3_000, 3_500)).toBe(4_000);
    expect(tell(0, 3_600)).toBe(3_600);
    expect(tell(2_000, 9_000)).toBe(11_000);
  });

  test('one whose process was gone is taken for cold when something answers again, one behind a cut is not', () => {
    const { table, rows } = createTable(2);
    const [gone, cut] = rows;
    if (gone === undefined || cut === undefined) throw new Error('no endpoints');
    recordHealthSignal(table, gone, 'connectRefused', 1_000);
    recordHealthSignal(table, cut, 'connectTimedOut', 1_000);
    // Its machine says nothing on the way back up.
    recordHealthSignal(table, gone, 'connectTimedOut', 1_500);
    markReachable(gone, 2_000);
    markReachable(cut, 2_000);
    expect(gone.coldUntilMs).toBe(5_000);
    expect(cut.coldUntilMs).toBeLessThanOrEqual(2_000);
  });
});
