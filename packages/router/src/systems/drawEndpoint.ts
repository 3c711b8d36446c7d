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
 * How strongly requests leave an endpoint that holds too much: what it should hold over what it holds, to this power, is
 * the part that stays. A higher power makes the others the fullest before anybody hears of it; a lower one leaves a
 * slow endpoint too much.
 */
const LEAVING_POWER = 1.5;

/**
 * One drawn at random, unless it holds more than is due: then the part of the requests that it has too many of goes to
 * others. All boxes know the same old loads; if each took the emptiest, all would, until they hear otherwise.
 *
 * @param first the one that was drawn
 * @param use how full one is, above 0
 * @param allowance so much fuller than the others it may be
 * @param random between 0 and 1
 * @example leaveIfFull('a', ['a', 'b'], (id) => (id === 'a' ? 9 : 1), 0, Math.random) // nearly always 'b'
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
  const dueUse = others.reduce((sum, item) => sum + use(item), 0) / others.length + allowance;
  if (random() < (dueUse / use(first)) ** LEAVING_POWER) return first;
  return drawLowerOfTwo(others, use, random) ?? first;
}

/**
 * The one with the lower score of two drawn.
 *
 * @example drawLower([7, 3], (item) => item, Math.random) // 3, or 7 in one of four
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
