/** Endpoints for tests of the systems. */
import type { Hasher } from '@hazelwalk/core';
import type { ListedEndpoint } from '../records.js';
import type { ColdEndpointLimiterOptions } from '../systems/coldEndpointLimiter.js';
import { ColdEndpointLimiter } from '../systems/coldEndpointLimiter.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import { EndpointTable } from '../tables/endpointTable.js';

/** An endpoint of the service `llm` in the hall `a`. */
export function createListing(id: string, changes: Partial<ListedEndpoint> = {}): ListedEndpoint {
  return { id, service: 'llm', host: '10.0.0.1', port: 80, hall: 'a', slots: 8, state: 'live', ...changes };
}

/** Cold endpoints as the only box of the hall `a` knows them. */
export function createColdEndpoints(
  hasher: Hasher,
  changes: Partial<ColdEndpointLimiterOptions> = {},
): ColdEndpointLimiter {
  return new ColdEndpointLimiter({
    hall: 'a',
    hasher,
    bound: { factor: 1.5, allowance: 5 },
    startedAtMs: -Infinity,
    readAddress: () => '10.0.0.1:1',
    hasJoinedFleet: () => true,
    listHallPeers: () => [],
    ...changes,
  });
}

/** A table with the endpoints `e0`, `e1` and so on, all heard of at once. */
export function createTable(count: number): { table: EndpointTable; rows: EndpointRow[] } {
  const table = new EndpointTable((id) =>
    [...id].reduce((sum, letter) => sum * 31 + letter.charCodeAt(0), 7),
  );
  const rows = Array.from({ length: count }, (_, at) => table.upsert(createListing(`e${at}`), 0));
  return { table, rows };
}
