/**
 * Guards against streams that go on at another version than the one that began them after all boxes were killed at once: none
 * of them knows any more where a stream began.
 */
import { StoreStreams } from '../__fixtures__/storeStreams.js';

const sizes = [
  { boxes: 8, halls: 3, applyBoundMs: 2_000 },
  { boxes: 34, halls: 3, applyBoundMs: 4_000 },
];

test.each(sizes.flatMap((size) => [1, 2].map((versions) => ({ ...size, versions }))))(
  '$boxes boxes killed at once, $versions version(s) in service: no stream goes on at another version',
  async ({ versions, ...size }) => {
    const streams = await StoreStreams.create({ ...size, seed: size.boxes });
    const begun = await streams.restartAll(versions);
    expect(streams.count('wrong')).toBe(0);
    expect(streams.count('right') + streams.count('unknown')).toBe(begun);
  },
);
