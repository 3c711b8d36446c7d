/**
 * Chooses the endpoint of a request without a prompt: one of the own hall, unless it holds much more than others do.
 *
 * What a box knows of loads is older than such a request lasts, and all boxes know the same. If each took what looks
 * best, all would take the same endpoint until they hear otherwise. So only that part of the requests leaves an endpoint
 * which it has too many of, and those that leave are spread.
 */
import { drawLower, drawOne } from './drawEndpoint.js';
import { readFleetLoad } from '../tables/endpointTable.js';
import type { EndpointRow } from '../tables/endpointTable.js';

/**
 * An endpoint of the own hall may hold this share of its slots more than the mean before requests leave it: answers from
 * another hall take longer, and bytes between halls are dear.
 */
const HALL_PREFERENCE = 0.34;
/**
 * How strongly requests leave an endpoint that holds too much: what it should hold over what it holds, to this power, is
 * the part that stays. In virtual fleets of 87 boxes with loads a second old: the least loaded by the last sum sends up
 * to 31 in 100 requests of the worst five seconds to an endpoint over the load bound (3 are allowed); this one at most 1
 * at 0.8 of what the endpoints can do, a power of 2 up to 3.3. An endpoint eight times as slow as the three others gets 9
 * in 100 requests of 60 ms, as many as with a power of 2 and with the least loaded.
 */
const LEAVING_POWER = 1.5;

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
  const others = rows.filter((row) => row !== first);
  if (others.length === 0) return first;
  const othersUse = others.reduce((sum, row) => sum + readUse(row), 0) / others.length;
  const dueUse = othersUse + (near.length > 0 ? HALL_PREFERENCE : 0);
  if (random() < (dueUse / readUse(first)) ** LEAVING_POWER) return first;
  return drawLower(others, readUse, random) ?? first;
}

/** Share of its slots in use if it takes one request more. */
function readUse(row: EndpointRow): number {
  return (readFleetLoad(row) + 1) / Math.max(1, row.listing.slots);
}
