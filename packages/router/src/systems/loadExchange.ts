/**
 * Loads that boxes tell each other, so that each knows what all of them together have at an endpoint. In a large fleet
 * boxes tell them within their hall only, and the halls tell each other sums.
 */
import type { EndpointTable } from '../tables/endpointTable.js';

/** Tag of an endpoint and the requests there, in turn. */
export type LoadList = readonly number[];

/** Sums of another hall that were not renewed for this long count for nothing: several of its messages are missing. */
const HALL_LOADS_LIFE_MS = 6_000;

/** This box's loads. Idle endpoints are left out. */
export function listOwnLoads(table: EndpointTable): number[] {
  const loads: number[] = [];
  for (const row of table.byId.values()) if (row.inFlight > 0) loads.push(row.tag, row.inFlight);
  return loads;
}

/**
 * Adds loads endpoint by endpoint.
 *
 * @example addLoads([[7, 2], [7, 1, 9, 4]]) // [7, 3, 9, 4]
 */
export function addLoads(lists: readonly LoadList[]): number[] {
  const byTag = new Map<number, number>();
  for (const loads of lists) {
    for (let at = 0; at + 1 < loads.length; at += 2) {
      const tag = loads[at] ?? 0;
      byTag.set(tag, (byTag.get(tag) ?? 0) + (loads[at + 1] ?? 0));
    }
  }
  return [...byTag].flat();
}

/** Writes what the peers told into the table. */
export function applyPeerLoads(table: EndpointTable, lists: readonly LoadList[]): void {
  for (const row of table.byId.values()) row.peersInFlight = 0;
  const sums = addLoads(lists);
  for (let at = 0; at + 1 < sums.length; at += 2) {
    const row = table.findByTag(sums[at] ?? 0);
    if (row !== undefined) row.peersInFlight += sums[at + 1] ?? 0;
  }
}

interface HallSum {
  readonly loads: LoadList;
  readonly heardAtMs: number;
}

/** The last sums of the other halls. */
export class HallSums {
  private readonly byHall = new Map<string, HallSum>();

  /** Takes over a hall's sums. */
  note(hall: string, loads: LoadList, nowMs: number): void {
    this.byHall.set(hall, { loads, heardAtMs: nowMs });
  }

  /** Whether nothing was heard of a hall for some time. */
  isOlderThan(hall: string, ageMs: number, nowMs: number): boolean {
    const sum = this.byHall.get(hall);
    return sum === undefined || nowMs - sum.heardAtMs > ageMs;
  }

  /** The sums that still count. */
  listFresh(nowMs: number): LoadList[] {
    return [...this.byHall.values()]
      .filter((sum) => nowMs - sum.heardAtMs <= HALL_LOADS_LIFE_MS)
      .map((sum) => sum.loads);
  }
}
