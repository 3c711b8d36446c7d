/** The narrower choice of a request that needs an endpoint of one software version, as that version began its stream. */
import type { EndpointRow } from '../tables/endpointTable.js';
import type { LoadPath, ServiceMeans } from './loadCap.js';
import { listWithCapacity } from './loadCap.js';
import type { PlacementRequest } from './placementRequest.js';

/**
 * Endpoints that have the version that a request needs; all if it needs none.
 *
 * @example filterVersion(rows, { ...request, softwareVersion: 'v1.2' })
 */
export function filterVersion(
  rows: readonly EndpointRow[],
  { softwareVersion }: Pick<PlacementRequest, 'softwareVersion'>,
): readonly EndpointRow[] {
  if (softwareVersion === undefined) return rows;
  return rows.filter(({ listing }) => listing.softwareVersion === softwareVersion);
}

/** What the choice is made from. */
export interface VersionChoice {
  /** Endpoints that can take the request. */
  readonly rows: readonly EndpointRow[];
  /** Endpoints of the service, of any version. */
  readonly live: readonly EndpointRow[];
  readonly means: ServiceMeans;
  readonly loadPath: LoadPath;
}

/**
 * Endpoints that take a request without exceeding the load bound of the service. A request that needs one version of several gets
 * only those: it could not move on to another version, and the endpoints of its version would be overloaded one after the
 * other. A granted slot is free whatever the load.
 */
export function listWithinBound(
  request: PlacementRequest,
  { rows, live, means, loadPath }: VersionChoice,
): readonly EndpointRow[] {
  const isNarrowed = filterVersion(live, request).length < live.length;
  if (!isNarrowed || request.grantedTag !== undefined) return rows;
  return listWithCapacity(rows, means, loadPath) ?? [];
}
