/**
 * Chooses the endpoint of a request without a prompt: one of the box's own hall, unless its load is much higher than
 * that of others.
 *
 * Load information is older than such a request lasts, and it is the same at all boxes. If each box chose the least
 * loaded endpoint, all would choose the same one until newer loads arrive. So only the excess share of an endpoint's
 * requests is diverted, and it is spread over the others.
 */
import { readSlotsInEffect } from '../capacity/serviceRoom.js';
import { drawOne, divertIfOverloaded } from './drawEndpoint.js';
import { readFleetLoad } from '../tables/endpointTable.js';
import type { EndpointRow } from '../tables/endpointTable.js';

/**
 * Share of its slots by which an endpoint of the own hall may exceed the mean before requests are diverted: responses
 * from another hall take longer, and traffic between halls is expensive.
 */
const HALL_PREFERENCE = 0.34;

/**
 * Chooses among endpoints that can take the request.
 *
 * @param random returns a number between 0 and 1
 * @example choosePlainEndpoint(rows, 'mixco', Math.random) // most often the row of mixco
 */
export function choosePlainEndpoint(
  rows: readonly EndpointRow[],
  hall: string,
  random: () => number,
): EndpointRow | undefined {
  const near = rows.filter((row) => row.listing.hall === hall);
  const first = drawBySpeed(near.length > 0 ? near : rows, random);
  if (first === undefined) return undefined;
  return divertIfOverloaded(first, rows, readNextUse, near.length > 0 ? HALL_PREFERENCE : 0, random);
}

/** Draws an endpoint; one that takes twice as long for its work is drawn half as often. */
function drawBySpeed(rows: readonly EndpointRow[], random: () => number): EndpointRow | undefined {
  if (rows.every((row) => row.pace === 1)) return drawOne(rows, random);
  const speedSum = rows.reduce((sum, row) => sum + 1 / row.pace, 0);
  let rest = random() * speedSum;
  return rows.find((row) => (rest -= 1 / row.pace) < 0) ?? rows.at(-1);
}

/** Share of its slots in effect in use after one more request. */
function readNextUse(row: EndpointRow): number {
  return (readFleetLoad(row) + 1) / Math.max(1, readSlotsInEffect(row));
}
