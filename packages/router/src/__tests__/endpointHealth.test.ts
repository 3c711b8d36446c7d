import { createTable } from '../__fixtures__/createEndpoints.js';
import { isUsable, markReachable, recordHealthSignal } from '../systems/endpointHealth.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';

function failOften(table: EndpointTable, row: EndpointRow, nowMs: number): void {
  for (let count = 0; count < 6; count += 1) recordHealthSignal(table, row, 'broke', nowMs);
}

test('an endpoint that keeps failing gets no new requests for a while, and is then tried again', () => {
  const { table, rows } = createTable(6);
  const [row] = rows;
  if (row === undefined) throw new Error('no endpoint');
  failOften(table, row, 1_000);
  expect(isUsable(row, 1_001)).toBe(false);
  expect(isUsable(row, 10_000)).toBe(true);
  expect(recordHealthSignal(table, row, 'answered', 10_000)).toBe('restored');
});

test('one that fails its trial is out for longer', () => {
  const { table, rows } = createTable(6);
  const [row] = rows;
  if (row === undefined) throw new Error('no endpoint');
  failOften(table, row, 1_000);
  const firstMs = row.health.type === 'ejected' ? row.health.untilMs - 1_000 : 0;
  recordHealthSignal(table, row, 'broke', 10_000);
  const secondMs = row.health.type === 'ejected' ? row.health.untilMs - 10_000 : 0;
  expect(secondMs).toBeGreaterThan(firstMs);
});

test('never more than a third of a service is ejected, even if all fail', () => {
  const { table, rows } = createTable(9);
  for (const row of rows) failOften(table, row, 1_000);
  expect(rows.filter((row) => !isUsable(row, 1_001)).length).toBe(3);
});

test('single failures among answers eject nobody', () => {
  const { table, rows } = createTable(6);
  const [row] = rows;
  if (row === undefined) throw new Error('no endpoint');
  for (let count = 0; count < 200; count += 1) {
    recordHealthSignal(table, row, count % 5 === 0 ? 'errored' : 'answered', count);
    expect(isUsable(row, count)).toBe(true);
  }
});

test('one that refuses for lack of room is not taken for broken', () => {
  const { table, rows } = createTable(6);
  const [row] = rows;
  if (row === undefined) throw new Error('no endpoint');
  for (let count = 0; count < 50; count += 1) recordHealthSignal(table, row, 'refused', count);
  expect(isUsable(row, 50)).toBe(true);
});

test('one that cannot be reached is out until a connection comes up', () => {
  const { table, rows } = createTable(6);
  const [row] = rows;
  if (row === undefined) throw new Error('no endpoint');
  expect(recordHealthSignal(table, row, 'connectTimedOut', 1_000)).toBe('unreachable');
  expect(isUsable(row, 100_000)).toBe(false);
  expect(markReachable(row, 100_000)).toBe('restored');
  expect(isUsable(row, 100_000)).toBe(true);
});
