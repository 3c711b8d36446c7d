import { createListing, createTable } from '../__fixtures__/createEndpoints.js';
import type { ResponseMetadata } from '../records.js';
import { isBrittle, isLeaving, recordAnnouncements } from '../systems/endpointNotices.js';
import { EndpointTable } from '../tables/endpointTable.js';

const createMetadata = (changes: Partial<ResponseMetadata>): ResponseMetadata => ({
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
  expect(recordAnnouncements(row, createMetadata({}), 0)).toEqual([]);
  expect(row.notice).toEqual({ isLeaving: false, backOffUntilMs: 0, bornMs: undefined });
});

test('a leave announcement is reported once and not revoked by a response without it', () => {
  const [row] = createTable(1).rows;
  if (row === undefined) throw new Error('no row');
  expect(recordAnnouncements(row, createMetadata({ isLeaving: true }), 0)).toEqual(['leaving']);
  expect(recordAnnouncements(row, createMetadata({ isLeaving: true }), 1)).toEqual([]);
  expect(recordAnnouncements(row, createMetadata({}), 2)).toEqual([]);
  expect(row.notice.isLeaving).toBe(true);
});

test('a later back-off can extend the current one but not shorten it', () => {
  const [row] = createTable(1).rows;
  if (row === undefined) throw new Error('no row');
  expect(recordAnnouncements(row, createMetadata({ backOffMs: 3_000 }), 1_000)).toEqual(['backOff']);
  expect(recordAnnouncements(row, createMetadata({ backOffMs: 500 }), 1_100)).toEqual([]);
  expect(row.notice.backOffUntilMs).toBe(4_000);
  expect(recordAnnouncements(row, createMetadata({ backOffMs: 3_000, isLeaving: true }), 1_200)).toEqual([
    'leaving',
    'backOff',
  ]);
  expect(row.notice.backOffUntilMs).toBe(4_200);
});

test('an endpoint is brittle for as long as its responses state how many rejections it survives', () => {
  const [row] = createTable(1).rows;
  if (row === undefined) throw new Error('no row');
  expect(recordAnnouncements(row, createMetadata({ rejectionsPerS: 4 }), 0)).toEqual(['brittle']);
  expect(recordAnnouncements(row, createMetadata({ rejectionsPerS: 3 }), 1)).toEqual([]);
  expect(isBrittle(row)).toBe(true);
  expect(recordAnnouncements(row, createMetadata({}), 2)).toEqual(['sturdy']);
  expect(isBrittle(row)).toBe(false);
});

describe('a leave announcement', () => {
  let table: EndpointTable;

  beforeEach(() => {
    table = new EndpointTable(() => 1);
    const row = table.upsert(createListing('e-1', { bornMs: 1_000 }), 0);
    recordAnnouncements(row, createMetadata({ isLeaving: true }), 0);
  });

  test.each([undefined, 999, 1_000])(
    'persists when its endpoint is removed and listed with start %s',
    (bornMs) => {
      expect(isLeaving(table.upsert(createListing('e-1', { bornMs }), 1))).toBe(true);
      table.remove('e-1');
      expect(isLeaving(table.upsert(createListing('e-1', { bornMs }), 2))).toBe(true);
    },
  );

  test('received after its row was removed applies to the next row', () => {
    const removedRow = table.upsert(createListing('e-2'), 0);
    table.remove('e-2');
    recordAnnouncements(removedRow, createMetadata({ isLeaving: true }), 1);
    expect(isLeaving(table.upsert(createListing('e-2'), 2))).toBe(true);
  });

  test('is discarded on a later start under the same id, and not restored by an older list', () => {
    expect(isLeaving(table.upsert(createListing('e-1', { bornMs: 1_001 }), 1))).toBe(false);
    table.remove('e-1');
    expect(isLeaving(table.upsert(createListing('e-1', { bornMs: 1_000 }), 2))).toBe(false);
  });

  test('of a listed endpoint is not evicted by others that come and go', () => {
    for (let count = 0; count < 5_000; count += 1) {
      table.upsert(createListing(`other-${count}`), 1);
      table.remove(`other-${count}`);
    }
    expect(isLeaving(table.upsert(createListing('e-1', { bornMs: 1_000 }), 2))).toBe(true);
  });
});
