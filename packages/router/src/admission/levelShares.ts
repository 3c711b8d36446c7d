/**
 * Divides the admitted share of a service among the levels of its requests: the first levels are admitted in full, the
 * edge level in part. Of the rest a small part is drawn, whatever its rank and team.
 */
import type { LevelCount } from './levelCounts.js';

/** Part of the requests that is admitted in any case, so that no rank and no team starves. */
export const DRAWN_SHARE = 0.05;

/** Admitted shares of the levels, apart from what is drawn. */
export interface LevelShares {
  /** First level that is not admitted in full; infinite if all are. */
  readonly edgeLevel: number;
  readonly edgeShare: number;
}

/** Everything is admitted. */
export const ADMIT_ALL: LevelShares = { edgeLevel: Infinity, edgeShare: 1 };

/**
 * Divides an admitted share by the recent requests of each level.
 *
 * @param counts in the order of the levels
 * @example divideShare([{ level: 0, count: 10 }, { level: 1, count: 10 }], 0.75) // { edgeLevel: 1, edgeShare: 0.47 }
 */
export function divideShare(counts: readonly LevelCount[], share: number): LevelShares {
  if (share >= 1) return ADMIT_ALL;
  const total = counts.reduce((sum, { count }) => sum + count, 0);
  let remaining = Math.max(0, share - DRAWN_SHARE) * total;
  for (const { level, count } of counts) {
    const needed = count * (1 - DRAWN_SHARE);
    if (needed > remaining) return { edgeLevel: level, edgeShare: remaining / needed };
    remaining -= needed;
  }
  return ADMIT_ALL;
}

/**
 * Admitted share of one level.
 *
 * @example readLevelShare({ edgeLevel: 1, edgeShare: 0.5 }, 2) // 0
 */
export function readLevelShare({ edgeLevel, edgeShare }: LevelShares, level: number): number {
  if (level < edgeLevel) return 1;
  return level === edgeLevel ? edgeShare : 0;
}
