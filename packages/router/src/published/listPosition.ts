/**
 * Version of a published list. A restore from a backup resets the platform's revision and increases its era, so positions are
 * ordered by era first and by revision second.
 */
export interface ListPosition {
  readonly era: number;
  readonly revision: number;
}

/** Position of a box that has not received a list. */
export const NO_LIST: ListPosition = { era: 0, revision: 0 };

/**
 * Compares two positions: negative if `a` is older than `b`, positive if it is newer, zero if they are equal.
 *
 * @example comparePositions({ era: 2, revision: 10 }, { era: 1, revision: 90 }) // 1
 */
export function comparePositions(a: ListPosition, b: ListPosition): number {
  return Math.sign(a.era - b.era || a.revision - b.revision);
}

/**
 * Whether `a` is newer than `b`.
 *
 * @example isNewerPosition({ era: 1, revision: 91 }, { era: 1, revision: 90 }) // true
 */
export function isNewerPosition(a: ListPosition, b: ListPosition): boolean {
  return comparePositions(a, b) > 0;
}
