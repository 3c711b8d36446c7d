/** Random order. */

/**
 * Returns the values in random order.
 *
 * @param random returns a number between 0 and 1
 * @example shuffle(['a', 'b'], Math.random)
 */
export function shuffle<T>(values: readonly T[], random: () => number): T[] {
  return values
    .map((value) => ({ value, order: random() }))
    .sort((a, b) => a.order - b.order)
    .map(({ value }) => value);
}
