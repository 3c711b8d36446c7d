/** The published values table: declared file, box list and endpoint list as last accepted. */
import type { ValueStamp } from '../frames.js';
import type { ValueName } from '../records.js';
import type { Problem } from '../resultCodes.js';

/** One published value. */
export interface ValueRow {
  readonly name: ValueName;
  /** Version 0: none accepted yet. */
  stamp: ValueStamp;
  /** The bytes as published; peers get them unchanged. */
  text: string;
  acceptedAtMs: number;
  /** Why the newest refused text was refused; empty after an acceptance. */
  problems: readonly Problem[];
  /** When this value was last asked of a peer. */
  requestedAtMs: number;
}

/** Stamp of a value not yet seen. */
export const NO_STAMP: ValueStamp = [0, 0];

/**
 * Orders two stamps: by version, then by digest, so that every box settles on the same of two rivals.
 *
 * @example isNewer([3, 1], [2, 9]) // true
 */
export function isNewer(a: ValueStamp, b: ValueStamp): boolean {
  return a[0] > b[0] || (a[0] === b[0] && a[1] > b[1]);
}
