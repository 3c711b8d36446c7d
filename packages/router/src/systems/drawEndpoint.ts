/**
 * Draws endpoints at random. Where loads are old and known to all boxes alike, the less loaded of two drawn avoids the
 * fullest without sending all requests to the one that looked emptiest (the power of two choices, Mitzenmacher, 2001).
 */

/**
 * One of several, each as likely.
 *
 * @param random between 0 and 1
 * @example drawOne(['a', 'b'], () => 0.6) // 'b'
 */
export function drawOne<T>(items: readonly T[], random: () => number): T | undefined {
  return items[Math.floor(random() * items.length)];
}

/**
 * The one with the lower score of two drawn.
 *
 * @example drawLower([7, 3], (item) => item, Math.random) // 3, or 7 in one of four
 */
export function drawLower<T>(
  items: readonly T[],
  score: (item: T) => number,
  random: () => number,
): T | undefined {
  const one = drawOne(items, random);
  const other = drawOne(items, random);
  if (one === undefined || other === undefined) return undefined;
  return score(other) < score(one) ? other : one;
}
