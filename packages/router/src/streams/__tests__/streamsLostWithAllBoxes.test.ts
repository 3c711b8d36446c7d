/**
 * Guards against streams that are refused after all boxes were killed at once, although their versions serve and what began them
 * could be proven by the platform's history or by the endpoints themselves.
 */
import { StoreStreams } from '../__fixtures__/storeStreams.js';

/** As the rule on streams that are lost states it, against new ones, all of which begin here. */
const LEAST_SHARE = 0.5;
const sizes = [
  { boxes: 8, halls: 3, applyBoundMs: 2_000 },
  { boxes: 34, halls: 3, applyBoundMs: 4_000 },
];

test.each(sizes.flatMap((size) => [1, 2].map((versions) => ({ ...size, versions }))))(
  '$boxes boxes killed at once, $versions version(s) in service: most streams go on',
  async ({ versions, ...size }) => {
    const streams = await StoreStreams.create({ ...size, seed: size.boxes });
    const begun = await streams.restartAll(versions);
    expect(streams.count('right') / begun).toBeGreaterThanOrEqual(LEAST_SHARE);
  },
);
