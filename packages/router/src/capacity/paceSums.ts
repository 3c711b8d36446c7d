/** Sums of the paces observed at endpoints, as boxes send them to each other. */

/** Triples: tag of an endpoint, weighted sum of the paces observed there in hundredths, sum of the weights. */
export type PaceList = readonly number[];

/** Observations of one endpoint. */
export interface PaceSum {
  /** Weighted sum of the observed paces. */
  readonly sum: number;
  /** Sum of the weights. */
  readonly weight: number;
}

const HUNDREDTHS = 100;
/** Larger weights are not observations: sums of them would become infinite, and would not age. */
const MAX_WEIGHT = 1e9;

/**
 * Iterates over the entries of a list; entries without a credible weight are skipped.
 *
 * @example [...readPaceList([7, 250, 1])] // [[7, { sum: 2.5, weight: 1 }]]
 */
export function* readPaceList(list: PaceList): Generator<readonly [tag: number, sum: PaceSum]> {
  for (let at = 0; at + 2 < list.length; at += 3) {
    const [tag = 0, hundredths = 0, weight = 0] = list.slice(at, at + 3);
    if (weight > 0 && weight <= MAX_WEIGHT && hundredths > 0)
      yield [tag, { sum: hundredths / HUNDREDTHS, weight }];
  }
}

/** Adds up observations by endpoint until they are taken. */
export class PaceSums {
  private readonly byTag = new Map<number, PaceSum>();

  /** Adds observations of one endpoint. */
  add(tag: number, { sum, weight }: PaceSum): void {
    const known = this.byTag.get(tag);
    this.byTag.set(tag, { sum: (known?.sum ?? 0) + sum, weight: (known?.weight ?? 0) + weight });
  }

  /** Adds all entries of a list. */
  addList(list: PaceList): void {
    for (const [tag, sum] of readPaceList(list)) this.add(tag, sum);
  }

  /**
   * Returns the sums and starts anew.
   *
   * @example
   * const sums = new PaceSums();
   * sums.add(7, { sum: 2.5, weight: 1 });
   * sums.take(); // [7, 250, 1]
   */
  take(): number[] {
    const list = [...this.byTag].flatMap(([tag, { sum, weight }]) => [
      tag,
      Math.round(sum * HUNDREDTHS),
      weight,
    ]);
    this.byTag.clear();
    return list;
  }
}
