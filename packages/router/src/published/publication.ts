/** Values that the platform publishes, as boxes receive them. */
import type { ListChanges } from './snapshotDifference.js';

/** Source of a published value. */
export type ValueSource = 'platform' | 'peer';

/** Response of the platform to a call for changes. */
export interface Publication extends ListChanges {
  /** The changes are all those after this revision; undefined if they hold the whole list of endpoints. */
  readonly from: number | undefined;
  /** Revision of the platform as of the response. */
  readonly revision: number;
  /** Increases when the platform is restored from a backup, which resets its revision; undefined if not reported. */
  readonly era?: number | undefined;
  /**
   * Time, on the clock of the box, for which the response shows what the platform held; that of its arrival if undefined.
   */
  readonly provenAtMs?: number | undefined;
  /** Whether the changes are a comparison of whole lists, in which what came and went in between is missing. */
  readonly isComparison?: boolean | undefined;
  /** The configuration, if it is among the changes. */
  readonly configurationText: string | undefined;
}
