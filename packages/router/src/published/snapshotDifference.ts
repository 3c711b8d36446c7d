/** Computes what a whole list of endpoints and evacuation orders changes for a box that has an earlier one. */
import type { ListedEndpoint } from '../records.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import type { EndpointChange } from './endpointDirectory.js';
import type { EvacuationChange } from './evacuations.js';

/** Changes of the endpoints and evacuation orders, both as of one revision. */
export interface ListChanges {
  readonly endpointChanges: readonly EndpointChange[];
  /** Evacuation orders and their ends; all orders in force if the endpoint changes hold the whole list. */
  readonly evacuationChanges: readonly EvacuationChange[];
}

/**
 * Compares a whole list with the state of a box; undefined if the list consists of changes already.
 *
 * @param byId endpoints known to the box
 * @param evacuatedHalls halls under an evacuation order at the box
 * @example diffSnapshot({ endpointChanges: [{ type: 'snapshot', endpoints: [] }], evacuationChanges: [] }, byId, []) // all removed
 */
export function diffSnapshot(
  { endpointChanges, evacuationChanges }: ListChanges,
  byId: ReadonlyMap<string, EndpointRow>,
  evacuatedHalls: readonly string[],
): ListChanges | undefined {
  const [snapshot] = endpointChanges;
  if (snapshot?.type !== 'snapshot') return undefined;
  const ids = new Set(snapshot.endpoints.map((endpoint) => endpoint.id));
  const removedIds = [...byId.keys()].filter((id) => !ids.has(id));
  const written = snapshot.endpoints.filter(
    (endpoint) => !isSameListing(byId.get(endpoint.id)?.listing, endpoint),
  );
  const ordered = evacuationChanges.flatMap((change) => (change.type === 'snapshot' ? change.halls : []));
  const ended = evacuatedHalls.filter((hall) => !ordered.includes(hall));
  return {
    endpointChanges: [
      ...written.map((endpoint) => ({ type: 'listed', endpoint }) as const),
      ...removedIds.map((id) => ({ type: 'removed', id }) as const),
    ],
    evacuationChanges: [
      ...ordered.map((hall) => ({ type: 'ordered', hall }) as const),
      ...ended.map((hall) => ({ type: 'takenBack', hall }) as const),
    ],
  };
}

function isSameListing(a: ListedEndpoint | undefined, b: ListedEndpoint): boolean {
  return (
    a !== undefined &&
    a.state === b.state &&
    a.host === b.host &&
    a.port === b.port &&
    a.slots === b.slots &&
    a.coldMs === b.coldMs &&
    a.bornMs === b.bornMs &&
    a.softwareVersion === b.softwareVersion
  );
}
