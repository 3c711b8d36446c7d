import { createTable } from '../__fixtures__/createEndpoints.js';
import { isUsable, markReachable, recordHealthSignal } from '../systems/endpointHealth.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';

/** Reports enough failures in a row to eject an endpoint. */
function failRepeatedly(table: EndpointTable, row: EndpointRow, nowMs: number): void {
  for (let count = 0; count < 6; count += 1) recordHealthSignal(table, row, 'broke', nowMs);
}

test('an endpoint that keeps failing is ejected for some time and then tried again', () => {
  const { table, rows } = createTable(6);
  const [row] = rows;
  if (row === undefined) throw new Error('no endpoint');
  failRepeatedly(table, row, 1_000);
  expect(isUsable(row, 1_001)).toBe(false);
  expect(isUsable(row, 10_000)).toBe(true);
  expect(recordHealthSignal(table, row, 'answered', 10_000)).toBe('restored');
});

test('an endpoint that fails its trial is ejected for longer', () => {
  const { table, rows } = createTable(6);
  const [row] = rows;
  if (row === undefined) throw new Error('no endpoint');
  failRepeatedly(table, row, 1_000);
  const firstEjectionMs = row.health.type === 'ejected' ? row.health.untilMs - 1_000 : 0;
  recordHealthSignal(table, row, 'broke', 10_000);
  const secondEjectionMs = row.health.type === 'ejected' ? row.health.untilMs - 10_000 : 0;
  expect(secondEjectionMs).toBeGreaterThan(firstEjectionMs);
});

test('at most a third of the endpoints of a service are ejected, even if all fail', () => {
  const { table, rows } = createTable(9);
  for (const row of rows) failRepeatedly(table, row, 1_000);
  expect(rows.filter((row) => !isUsable(row, 1_001)).length).toBe(3);
});

test('occasional failures among successful responses eject no endpoint', () => {
  const { table, rows } = createTable(6);
  const [row] = rows;
  if (row === undefined) throw new Error('no endpoint');
  for (let count = 0; count < 200; count += 1) {
    recordHealthSignal(table, row, count % 5 === 0 ? 'errored' : 'answered', count);
    expect(isUsable(row, count)).toBe(true);
  }
});

test('an endpoint that refuses requests for lack of capacity is not ejected', () => {
  const { table, rows } = createTable(6);
  const [row] = rows;
  if (row === undefined) throw new Error('no endpoint');
  for (let count = 0; count < 50; count += 1) recordHealthSignal(table, row, 'refused', count);
  expect(isUsable(row, 50)).toBe(true);
});

test('an unreachable endpoint gets no requests until a connection succeeds', () => {
  const { table, rows } = createTable(6);
  const [row] = rows;
  if (row === undefined) throw new Error('no endpoint');
  expect(recordHealthSignal(table, row, 'connectTimedOut', 1_000)).toBe('unreachable');
  expect(isUsable(row, 100_000)).toBe(false);
  expect(markReachable(row, 100_000)).toBe('restored');
  expect(isUsable(row, 100_000)).toBe(true);
});
