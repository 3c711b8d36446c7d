/** Decides which endpoints have capacity for a prompt: those whose load does not exceed a multiple of their service's mean. */
import { readFleetLoad } from '../tables/endpointTable.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import { isBrittle } from './endpointNotices.js';

/** How the loads of other boxes arrive: from each box directly, or as relayed sums, which are older. */
export type LoadPath = 'direct' | 'relayed';

/** Highest load of an endpoint: a multiple of the mean load, plus a constant. */
interface LoadCap {
  readonly factor: number;
  readonly allowance: number;
}

/**
 * The deployment's bound is twice the mean plus three. How close to it the cap can be depends on the age of the
 * loads: 0.3 s if they arrive directly, and up to a second as sums, in which time a hot prompt adds some requests to
 * its preferred endpoint.
 */
const LOAD_CAPS: Readonly<Record<LoadPath, LoadCap>> = {
  direct: { factor: 1.8, allowance: 2.4 },
  relayed: { factor: 1.7, allowance: 2 },
};

/** Mean load and mean pace of the endpoints of a service. */
export interface ServiceMeans {
  readonly load: number;
  readonly pace: number;
}

/**
 * Means of endpoints.
 *
 * @example readMeans(table.listService('llm')).load // requests in flight at each, on average
 */
export function readMeans(rows: readonly EndpointRow[]): ServiceMeans {
  let load = 0;
  let pace = 0;
  for (const row of rows) {
    load += readFleetLoad(row);
    pace += row.pace;
  }
  return { load: load / rows.length, pace: pace / rows.length };
}

/**
 * How much slower an endpoint is than the mean of its service; 1 if it is not slower.
 *
 * @example readSlowness(row, { load: 4, pace: 1 }) // 2.5 at a pace of 2.5
 */
export function readSlowness(row: EndpointRow, { pace }: ServiceMeans): number {
  return Math.max(1, row.pace / pace);
}

/**
 * Whether one more request can wait or run at an endpoint. A brittle one gets no more than it has slots for, as far as this box
 * knows.
 *
 * @example mayTakeAnother(row) // false for a brittle endpoint whose slots are in use
 */
export function mayTakeAnother(row: EndpointRow): boolean {
  return !isBrittle(row) || readFleetLoad(row) < row.listing.slots;
}

/**
 * Endpoints that have capacity for one more request; undefined if none has.
 *
 * @example listWithCapacity(rows, readMeans(rows), 'direct')
 */
export function listWithCapacity(
  rows: readonly EndpointRow[],
  means: ServiceMeans,
  path: LoadPath,
): EndpointRow[] | undefined {
  const { factor, allowance } = LOAD_CAPS[path];
  const cap = factor * means.load + allowance;
  const withCapacity = rows.filter((row) => (readFleetLoad(row) + 1) * readSlowness(row, means) <= cap);
  return withCapacity.length > 0 ? withCapacity : undefined;
}
