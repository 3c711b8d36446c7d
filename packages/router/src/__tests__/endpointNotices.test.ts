import { createTable } from '../__fixtures__/createEndpoints.js';
import type { AnswerFacts } from '../records.js';
import { noteAnswerFacts } from '../systems/endpointNotices.js';

const createFacts = (changes: Partial<AnswerFacts>): AnswerFacts => ({
  requestId: 'r-1',
  isSealed: true,
  isNotRun: false,
  isLeaving: false,
  backOffMs: undefined,
  ...changes,
});

test('a response without an announcement changes nothing', () => {
  const [row] = createTable(1).rows;
  if (row === undefined) throw new Error('no row');
  expect(noteAnswerFacts(row, createFacts({}), 0)).toEqual([]);
  expect(row.notice).toEqual({ isLeaving: false, backOffUntilMs: 0 });
});

test('that an endpoint leaves is new once, and a response without the announcement does not take it back', () => {
  const [row] = createTable(1).rows;
  if (row === undefined) throw new Error('no row');
  expect(noteAnswerFacts(row, createFacts({ isLeaving: true }), 0)).toEqual(['leaving']);
  expect(noteAnswerFacts(row, createFacts({ isLeaving: true }), 1)).toEqual([]);
  expect(noteAnswerFacts(row, createFacts({}), 2)).toEqual([]);
  expect(row.notice.isLeaving).toBe(true);
});

test('a back-off that ends later extends one, and none shortens it', () => {
  const [row] = createTable(1).rows;
  if (row === undefined) throw new Error('no row');
  expect(noteAnswerFacts(row, createFacts({ backOffMs: 3_000 }), 1_000)).toEqual(['backOff']);
  expect(noteAnswerFacts(row, createFacts({ backOffMs: 500 }), 1_100)).toEqual([]);
  expect(row.notice.backOffUntilMs).toBe(4_000);
  expect(noteAnswerFacts(row, createFacts({ backOffMs: 3_000, isLeaving: true }), 1_200)).toEqual([
    'leaving',
    'backOff',
  ]);
  expect(row.notice.backOffUntilMs).toBe(4_200);
});
