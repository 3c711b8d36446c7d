/**
 * Chooses the endpoint of a request without a prompt: one of the own hall, unless it holds much more than others do.
 *
 * What a box knows of loads is older than such a request lasts, and all boxes know the same. If each took what looks
 * best, all would take the same endpoint until they hear otherwise. So only that part of the requests leaves an endpoint
 * which it has too many of, and those that leave are spread.
 */
import { drawOne, divertIfOverloaded } from './drawEndpoint.js';
import { readFleetLoad } from '../tables/endpointTable.js';
import type { EndpointRow } from '../tables/endpointTable.js';

/**
 * An endpoint of the own hall may hold this share of its slots more than the mean before requests leave it: answers from
 * another hall take longer, and bytes between halls are dear.
 */
const HALL_PREFERENCE = 0.34;
/**
 * Chooses among endpoints that can take the request.
 *
 * @param random between 0 and 1
 * @example choosePlainEndpoint(rows, 'mixco', Math.random) // most often the row of mixco
 */
export function choosePlainEndpoint(
  rows: readonly EndpointRow[],
  hall: string,
  random: () => number,
): EndpointRow | undefined {
  const near = rows.filter((row) => row.listing.hall === hall);
  const first = drawOne(near.length > 0 ? near : rows, random);
  if (first === undefined) return undefined;
  return divertIfOverloaded(first, rows, readUse, near.length > 0 ? HALL_PREFERENCE : 0, random);
}

/** Share of its slots in use if it takes one request more. */
function readUse(row: EndpointRow): number {
  return (readFleetLoad(row) + 1) / Math.max(1, row.listing.slots);
}
