/** Loads that boxes tell each other, so that each knows what all of them together have at an endpoint. */
import type { EndpointTable } from '../tables/endpointTable.js';

/** This box's loads: tag of an endpoint and its requests there, in turn. Idle endpoints are left out. */
export function listOwnLoads(table: EndpointTable): number[] {
  const loads: number[] = [];
  for (const row of table.byId.values()) if (row.inFlight > 0) loads.push(row.tag, row.inFlight);
  return loads;
}

/** Sums what the peers told. */
export function sumPeerLoads(table: EndpointTable, told: readonly (readonly number[])[]): void {
  for (const row of table.byId.values()) row.peersInFlight = 0;
  for (const loads of told) {
    for (let at = 0; at + 1 < loads.length; at += 2) {
      const row = table.findByTag(loads[at] ?? 0);
      if (row !== undefined) row.peersInFlight += loads[at + 1] ?? 0;
    }
  }
}
