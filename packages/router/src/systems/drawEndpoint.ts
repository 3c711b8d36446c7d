/**
 * Random choice of endpoints. Load information is outdated and the same at all boxes. Taking the less loaded of two
 * random endpoints avoids the most loaded one without sending all requests to the one that looked least loaded (the
 * power of two choices, Mitzenmacher, 2001).
 */

/**
 * Draws one item at random, all with equal probability.
 *
 * @param random returns a number between 0 and 1
 * @example drawOne(['a', 'b'], () => 0.6) // 'b'
 */
export function drawOne<T>(items: readonly T[], random: () => number): T | undefined {
  return items[Math.floor(random() * items.length)];
}

/**
 * Controls how many requests are diverted from an overloaded endpoint: the share that stays is the use it should have
 * divided by the use it has, raised to this power. A higher power overloads the other endpoints before newer loads
 * arrive; a lower one leaves too many requests at a slow endpoint.
 */
const DIVERSION_POWER = 1.5;

/**
 * Returns the drawn item unless its use exceeds that of the others: then the excess share of requests is diverted to
 * others. All boxes have the same outdated loads. If each chose the least loaded item, they would all choose the same
 * one until newer loads arrive.
 *
 * @param first the drawn item
 * @param use how fully an item is used, above 0
 * @param allowance by how much its use may exceed the mean of the others
 * @param random returns a number between 0 and 1
 * @example divertIfOverloaded('a', ['a', 'b'], (id) => (id === 'a' ? 9 : 1), 0, Math.random) // nearly always 'b'
 */
export function divertIfOverloaded<T>(
  first: T,
  items: readonly T[],
  use: (item: T) => number,
  allowance: number,
  random: () => number,
): T {
  const others = items.filter((item) => item !== first);
  if (others.length === 0) return first;
  const fairUse = others.reduce((sum, item) => sum + use(item), 0) / others.length + allowance;
  if (random() < (fairUse / use(first)) ** DIVERSION_POWER) return first;
  return drawLowerOfTwo(others, use, random) ?? first;
}

/**
 * Draws two items at random and returns the one with the lower score.
 *
 * @example drawLowerOfTwo([7, 3], (item) => item, Math.random) // 3, or 7 in one of four
 */
export function drawLowerOfTwo<T>(
  items: readonly T[],
  score: (item: T) => number,
  random: () => number,
): T | undefined {
  const one = drawOne(items, random);
  const other = drawOne(items, random);
  if (one === undefined || other === undefined) return undefined;
  return score(other) < score(one) ? other : one;
}
