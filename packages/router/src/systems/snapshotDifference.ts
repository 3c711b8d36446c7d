/** Works out what a whole list of endpoints and evacuation orders changes for a box that has an earlier one. */
import type { ListedEndpoint } from '../records.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import type { EndpointChange } from './endpointDirectory.js';
import type { EvacuationChange } from './evacuations.js';

/** What is published of endpoints and halls; both are as new as one revision. */
export interface ListChanges {
  readonly endpointChanges: readonly EndpointChange[];
  /** Orders to empty halls, and their ends; all of them where the changes hold the whole list. */
  readonly evacuationChanges: readonly EvacuationChange[];
}

/**
 * Compares a whole list with what a box has; undefined if the list is none but changes already.
 *
 * @param byId endpoints that the box has
 * @param evacuatedHalls halls that are to be emptied, as far as the box knows
 * @example diffSnapshot({ endpointChanges: [{ type: 'snapshot', endpoints: [] }], evacuationChanges: [] }, byId, []) // all removed
 */
export function diffSnapshot(
  { endpointChanges, evacuationChanges }: ListChanges,
  byId: ReadonlyMap<string, EndpointRow>,
  evacuatedHalls: readonly string[],
): ListChanges | undefined {
  const [whole] = endpointChanges;
  if (whole?.type !== 'snapshot') return undefined;
  const ids = new Set(whole.endpoints.map((endpoint) => endpoint.id));
  const gone = [...byId.keys()].filter((id) => !ids.has(id));
  const written = whole.endpoints.filter(
    (endpoint) => !isSameListing(byId.get(endpoint.id)?.listing, endpoint),
  );
  const ordered = evacuationChanges.flatMap((change) => (change.type === 'snapshot' ? change.halls : []));
  const ended = evacuatedHalls.filter((hall) => !ordered.includes(hall));
  return {
    endpointChanges: [
      ...written.map((endpoint) => ({ type: 'listed', endpoint }) as const),
      ...gone.map((id) => ({ type: 'removed', id }) as const),
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
    a.bornMs === b.bornMs
  );
}
