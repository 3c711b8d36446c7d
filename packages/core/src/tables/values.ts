/** The published values table: the declared file, box list and endpoint list that are in force. */
import type { ValueStamp } from '../frames.js';
import type { ValueName } from '../records.js';
import type { Problem } from '../resultCodes.js';

/** One published value. */
export interface ValueRow {
  readonly name: ValueName;
  /** Version 0 if no text has been accepted yet. */
  stamp: ValueStamp;
  /** The text as published; peers are sent it unchanged. */
  text: string;
  acceptedAtMs: number;
  /** Problems of the last rejected text; empty after a text has been accepted. */
  problems: readonly Problem[];
  /** When this value was last requested from a peer. */
  requestedAtMs: number;
}

/** Stamp of a value that has not been received. */
export const NO_STAMP: ValueStamp = [0, 0];

/**
 * Compares two stamps by version, then by digest, so that all boxes choose the same of two values with one version.
 *
 * @example isNewer([3, 1], [2, 9]) // true
 */
export function isNewer(a: ValueStamp, b: ValueStamp): boolean {
  return a[0] > b[0] || (a[0] === b[0] && a[1] > b[1]);
}
