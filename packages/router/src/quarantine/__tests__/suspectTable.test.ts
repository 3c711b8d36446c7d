import type { SuspectRecord } from '../suspectTable.js';
import { SuspectTable } from '../suspectTable.js';

const FLOOD = 20_000;

const record = (endpointTag: number, crashes = 1): SuspectRecord => ({
  runs: [{ endpointTag, reporter: 1, sentAtMs: 0, endedAtMs: 1, localEndAtMs: 1 }],
  crashes,
  state: { type: 'none' },
  changedAtMs: 1,
});

test('records evicted by a flood of requests are removed from the index', () => {
  const table = new SuspectTable();
  for (let at = 0; at < FLOOD; at += 1) table.set(`request-${at}`, record(at));
  expect(table.endpointCount).toBe(table.seenOnce.size);
  for (const [fingerprint] of [...table.seenOnce.entries()]) table.delete(fingerprint);
  expect(table.endpointCount).toBe(0);
  expect(table.isEmpty).toBe(true);
});

test('requests that were in flight at the same endpoint are found', () => {
  const table = new SuspectTable();
  table.set('a', record(1));
  table.set('b', record(1, 2));
  table.set('c', record(2));
  const [run] = record(1).runs;
  if (run === undefined) throw new Error('no run');
  expect(table.listConcurrent('a', run)).toEqual([record(1, 2)]);
});
