import type { SuspectRecord } from '../suspectTable.js';
import { SuspectTable } from '../suspectTable.js';

const FLOOD = 20_000;

const record = (endpointTag: number, crashes = 1): SuspectRecord => ({
  runs: [{ endpointTag, reporter: 1, sentAtMs: 0, endedAtMs: 1, localEndAtMs: 1 }],
  crashes,
  state: { type: 'none' },
  changedAtMs: 1,
});

test('a flood leaves nothing behind of what it pushed out', () => {
  const table = new SuspectTable();
  for (let at = 0; at < FLOOD; at += 1) table.keep(`request-${at}`, record(at));
  expect(table.endpointCount).toBe(table.seenOnce.size);
  for (const [content] of [...table.seenOnce.entries()]) table.drop(content);
  expect(table.endpointCount).toBe(0);
  expect(table.isEmpty).toBe(true);
});

test('requests that were under way at the same endpoint are found', () => {
  const table = new SuspectTable();
  table.keep('a', record(1));
  table.keep('b', record(1, 2));
  table.keep('c', record(2));
  const [run] = record(1).runs;
  if (run === undefined) throw new Error('no run');
  expect(table.listBeside('a', run)).toEqual([record(1, 2)]);
});
