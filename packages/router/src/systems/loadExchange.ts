/** Loads that boxes exchange, so that each one has the load of an endpoint from all boxes together. */
import type { Report } from './recentReports.js';
import type { PairList } from './pairList.js';
import { addPairs, readPairs } from './pairList.js';
import type { EndpointTable } from '../tables/endpointTable.js';

/** Alternating tags of endpoints and numbers of requests in flight there. */
export type LoadList = PairList;

/** Loads of this box. Idle endpoints are omitted. */
export function listOwnLoads(table: EndpointTable): number[] {
  const loads: number[] = [];
  for (const row of table.byId.values()) if (row.inFlight > 0) loads.push(row.tag, row.inFlight);
  return loads;
}

/**
 * Subtracts one part from a sum of loads. Only positive results are kept: others may be negative, since the part may be
 * newer than the sum.
 *
 * @example subtractLoads([7, 3, 9, 4], [7, 3, 9, 1]) // [9, 3]
 */
export function subtractLoads(sum: LoadList, part: LoadList): number[] {
  const negative = part.map((value, at) => (at % 2 === 0 ? value : -value));
  const rest = [...readPairs(addPairs([sum, negative]))];
  return rest.filter(([, requests]) => requests > 0).flat();
}

/** Writes the loads that peers reported into the table. */
export function applyPeerLoads(table: EndpointTable, lists: readonly LoadList[]): void {
  for (const row of table.byId.values()) row.peersInFlight = 0;
  for (const [tag, requests] of readPairs(addPairs(lists))) {
    const row = table.findByTag(tag);
    if (row !== undefined) row.peersInFlight += requests;
  }
}

/** A sum of loads, the number of boxes included and the age of the oldest load. */
export interface LoadSum {
  readonly loads: LoadList;
  readonly boxes: number;
  readonly ageMs: number;
}

/** Adds up reported loads. */
export function sumLoadReports(reports: readonly Report<LoadSum>[], nowMs: number): LoadSum {
  return {
    loads: addPairs(reports.map(({ value }) => value.loads)),
    boxes: reports.reduce((sum, { value }) => sum + value.boxes, 0),
    ageMs: Math.max(0, ...reports.map(({ value, receivedAtMs }) => value.ageMs + nowMs - receivedAtMs)),
  };
}
