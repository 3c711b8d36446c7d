/** Short lists of a number and its count in turn: how boxes tell each other loads and demand in few bytes. */

/** A key and a count, in turn. */
export type PairList = readonly number[];

/**
 * Adds counts key by key.
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
 * Reads a list pair by pair.
 *
 * @example [...readPairs([7, 2, 9, 4])] // [[7, 2], [9, 4]]
 */
export function* readPairs(list: PairList): Generator<readonly [key: number, count: number]> {
  for (let at = 0; at + 1 < list.length; at += 2) yield [list[at] ?? 0, list[at + 1] ?? 0];
}
