/** Loads that boxes tell each other, so that each knows what all of them together have at an endpoint. */
import type { Report } from './recentReports.js';
import type { PairList } from './pairList.js';
import { addPairs, readPairs } from './pairList.js';
import type { EndpointTable } from '../tables/endpointTable.js';

/** Tag of an endpoint and the requests there, in turn. */
export type LoadList = PairList;

/** This box's loads. Idle endpoints are left out. */
export function listOwnLoads(table: EndpointTable): number[] {
  const loads: number[] = [];
  for (const row of table.byId.values()) if (row.inFlight > 0) loads.push(row.tag, row.inFlight);
  return loads;
}

/**
 * What is left of a sum without one part of it; nothing is less than zero, since the part may be newer than the sum.
 *
 * @example subtractLoads([7, 3, 9, 4], [7, 3, 9, 1]) // [9, 3]
 */
export function subtractLoads(sum: LoadList, part: LoadList): number[] {
  const negative = part.map((value, at) => (at % 2 === 0 ? value : -value));
  const rest = [...readPairs(addPairs([sum, negative]))];
  return rest.filter(([, requests]) => requests > 0).flat();
}

/** Writes what the peers told into the table. */
export function applyPeerLoads(table: EndpointTable, lists: readonly LoadList[]): void {
  for (const row of table.byId.values()) row.peersInFlight = 0;
  for (const [tag, requests] of readPairs(addPairs(lists))) {
    const row = table.findByTag(tag);
    if (row !== undefined) row.peersInFlight += requests;
  }
}

/** A sum of loads, the number of boxes in it and how old the oldest of them is. */
export interface LoadSum {
  readonly loads: LoadList;
  readonly boxes: number;
  readonly ageMs: number;
}

/** Adds up the sums that still count. */
export function sumLoadReports(told: readonly Report<LoadSum>[], nowMs: number): LoadSum {
  return {
    loads: addPairs(told.map(({ value }) => value.loads)),
    boxes: told.reduce((sum, { value }) => sum + value.boxes, 0),
    ageMs: Math.max(0, ...told.map(({ value, receivedAtMs: heardAtMs }) => value.ageMs + nowMs - heardAtMs)),
  };
}
