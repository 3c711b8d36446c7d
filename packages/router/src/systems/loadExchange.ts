/** Loads that boxes tell each other, so that each knows what all of them together have at an endpoint. */
import type { EndpointTable } from '../tables/endpointTable.js';

/** Tag of an endpoint and the requests there, in turn. */
export type LoadList = readonly number[];

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

/**
 * What is left of a sum without one part of it; nothing is less than zero, since the part may be newer than the sum.
 *
 * @example subtractLoads([7, 3, 9, 4], [7, 3, 9, 1]) // [9, 3]
 */
export function subtractLoads(sum: LoadList, part: LoadList): number[] {
  const negative = part.map((value, at) => (at % 2 === 0 ? value : -value));
  const rest = addLoads([sum, negative]);
  const kept: number[] = [];
  for (let at = 0; at + 1 < rest.length; at += 2) {
    const requests = rest[at + 1] ?? 0;
    if (requests > 0) kept.push(rest[at] ?? 0, requests);
  }
  return kept;
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

/** A sum of loads, the number of boxes in it and how old the oldest of them is. */
export interface LoadSum {
  readonly loads: LoadList;
  readonly boxes: number;
  readonly ageMs: number;
}

interface ToldLoads extends LoadSum {
  readonly heardAtMs: number;
}

/** The last loads that others told, each under its teller's name; they count for a limited time. */
export class LoadBook {
  private readonly byTeller = new Map<string, ToldLoads>();

  constructor(private readonly lifeMs: number) {}

  /** Takes over what a teller said. */
  note(teller: string, told: LoadSum, nowMs: number): void {
    this.byTeller.set(teller, { ...told, heardAtMs: nowMs });
  }

  /** The sum of the loads that still count. */
  sumFresh(nowMs: number): LoadSum {
    for (const [teller, told] of this.byTeller) {
      if (nowMs - told.heardAtMs > this.lifeMs) this.byTeller.delete(teller);
    }
    const all = [...this.byTeller.values()];
    return {
      loads: addLoads(all.map((told) => told.loads)),
      boxes: all.reduce((sum, told) => sum + told.boxes, 0),
      ageMs: Math.max(0, ...all.map((told) => told.ageMs + nowMs - told.heardAtMs)),
    };
  }
}
