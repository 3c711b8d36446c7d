/** Flat lists of keys and counts, in which boxes send loads and demand in few bytes. */

/** Alternating keys and counts. */
export type PairList = readonly number[];

/**
 * Adds counts by key.
 *
 * @example addPairs([[7, 2], [7, 1, 9, 4]]) // [7, 3, 9, 4]
 */
export function addPairs(lists: readonly PairList[]): number[] {
  const byKey = new Map<number, number>();
  for (const list of lists) {
    for (const [key, count] of readPairs(list)) byKey.set(key, (byKey.get(key) ?? 0) + count);
  }
  return [...byKey].flat();
}

/**
 * Iterates over the pairs of a list.
 *
 * @example [...readPairs([7, 2, 9, 4])] // [[7, 2], [9, 4]]
 */
export function* readPairs(list: PairList): Generator<readonly [key: number, count: number]> {
  for (let at = 0; at + 1 < list.length; at += 2) yield [list[at] ?? 0, list[at + 1] ?? 0];
}
