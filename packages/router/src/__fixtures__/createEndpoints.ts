/** Creates endpoints, endpoint tables and cold-endpoint limiters for unit tests. */
import type { Hasher } from '@hazelwalk/core';
import type { ListedEndpoint } from '../records.js';
import type { ColdEndpointLimiterOptions } from '../systems/coldEndpointLimiter.js';
import { ColdEndpointLimiter } from '../systems/coldEndpointLimiter.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import { EndpointTable } from '../tables/endpointTable.js';

/** Creates the listing of a live endpoint of the service `llm` in the hall `a`. */
export function createListing(id: string, changes: Partial<ListedEndpoint> = {}): ListedEndpoint {
  return {
    id,
    service: 'llm',
    host: '10.0.0.1',
    port: 80,
    hall: 'a',
    slots: 8,
    state: 'live',
    softwareVersion: '',
    ...changes,
  };
}

/** Creates the limiter of a box that is the only one in the hall `a`. */
export function createColdEndpointLimiter(
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

/** Creates a table with the endpoints `e0`, `e1` and so on, all listed at time 0. */
export function createTable(count: number): { table: EndpointTable; rows: EndpointRow[] } {
  const table = new EndpointTable((id) =>
    [...id].reduce((sum, letter) => sum * 31 + letter.charCodeAt(0), 7),
  );
  const rows = Array.from({ length: count }, (_, at) => table.upsert(createListing(`e${at}`), 0));
  return { table, rows };
}
