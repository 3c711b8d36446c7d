/**
 * Endpoint ownership: which box sends all calls to an endpoint, and whether an endpoint may get work.
 */
import type { LoadEntry } from '../frames.js';
import { pickByRendezvous } from '../hasher.js';
import type { BoxId, EndpointId, EndpointList, EndpointRecord, ServiceName } from '../records.js';
import type { EndpointRow } from '../tables/endpoints.js';
import { createEndpointRow } from '../tables/endpoints.js';
import type { World } from '../world.js';
import { emit } from '../world.js';

/** Load that an owner reports for an endpoint that accepts no work. */
export const TAKES_NO_WORK = -1;

function addRow(world: World, record: EndpointRecord, isFirstList: boolean): void {
  const row = createEndpointRow(record);
  // Endpoints of the first list existed before this box started: they need neither a slow start nor a probation.
  if (!isFirstList) row.rampFromMs = world.nowMs;
  world.endpoints.set(record.id, row);
}

/**
 * An endpoint that is listed again soon after its removal has flapped: it must stay listed before it gets work again.
 */
function relistRow(world: World, row: EndpointRow): void {
  const awayMs = world.nowMs - row.absentSinceMs;
  row.flaps = awayMs > world.settings.flapMemoryMs ? 0 : row.flaps + 1;
  row.trustedFromMs = world.nowMs + row.flaps * world.settings.flapHoldMs;
  row.rampFromMs = row.trustedFromMs;
  row.reportedLeaving = false;
  row.foreignLoad = 0;
}

/** Applies a newly accepted endpoint list. */
export function applyEndpointList(world: World, list: EndpointList): void {
  const isFirstList = world.endpoints.size === 0;
  const listedIds = new Set(list.endpoints.map((record) => record.id));
  for (const row of world.endpoints.values()) {
    if (row.listed && !listedIds.has(row.id)) row.absentSinceMs = world.nowMs;
    if (!listedIds.has(row.id)) row.listed = false;
  }
  for (const record of list.endpoints) {
    const row = world.endpoints.get(record.id);
    if (row === undefined) {
      addRow(world, record, isFirstList);
      continue;
    }
    if (!row.listed) relistRow(world, row);
    row.listed = true;
    row.record = record;
  }
  world.topologyChanged = true;
}

/** Whether an endpoint may get new work by its listing, its own reports and its record of failures. */
export function isInService(world: World, row: EndpointRow): boolean {
  if (!row.listed || row.record.state === 'leaving' || row.reportedLeaving) return false;
  return world.nowMs >= row.trustedFromMs && world.nowMs >= row.ejectedUntilMs;
}

/** Whether this box may assign work to an endpoint: it is in service, and its owner reports that it accepts work. */
export function isUsable(world: World, row: EndpointRow): boolean {
  if (!isInService(world, row) || row.ownerId === undefined) return false;
  if (row.ownerId === world.self.boxId) return true;
  return row.ownerReportedLoad >= 0;
}

function pickOwner(world: World, row: EndpointRow): BoxId | undefined {
  if (world.settings.policy.type !== 'steward') return world.self.boxId;
  const { hasher } = world.deps;
  const hallBoxes = world.live.byHall.get(row.record.hall) ?? [];
  // If its hall has no live box, any live box may own it, provided that it can reach the endpoint; this is not checked.
  const candidates = hallBoxes.length > 0 ? hallBoxes : world.live.all;
  return pickByRendezvous(hasher, row.id, candidates);
}

/** Sets the owner and resets the loads that were reported by or measured for the previous one. */
function changeOwner(world: World, row: EndpointRow, ownerId: BoxId | undefined): void {
  row.ownerId = ownerId;
  row.ownerReportedLoad = 0;
  row.placedSinceReport = 0;
  if (ownerId === world.self.boxId) row.peakInFlight = row.inFlight;
}

function indexByService(world: World): Map<ServiceName, EndpointRow[]> {
  const index = new Map<ServiceName, EndpointRow[]>();
  for (const row of world.endpoints.values()) {
    if (!row.listed) continue;
    for (const service of row.record.serves) {
      const rows = index.get(service);
      if (rows === undefined) index.set(service, [row]);
      else rows.push(row);
    }
  }
  return index;
}

/** Indexes endpoints that the list marks as live. Depends on the list alone, so that boxes with the same list agree. */
function indexLiveIds(world: World): Map<ServiceName, EndpointId[]> {
  const ids = new Map<ServiceName, EndpointId[]>();
  for (const [service, rows] of world.endpointsByService) {
    const live = rows.filter((row) => row.record.state === 'live');
    ids.set(
      service,
      live.map((row) => row.id),
    );
  }
  return ids;
}

function evictUnlisted(world: World): void {
  for (const row of world.endpoints.values()) {
    const isIdle = row.inFlight === 0 && row.waiting === 0;
    const isLongGone = world.nowMs - row.absentSinceMs > world.settings.flapMemoryMs;
    if (!row.listed && isIdle && isLongGone) world.endpoints.delete(row.id);
  }
}

/** Recomputes owners and the indexes by service after a change of live boxes or endpoints. */
export function runEndpointOwnership(world: World): void {
  if (!world.topologyChanged) return;
  world.topologyChanged = false;
  evictUnlisted(world);
  for (const row of world.endpoints.values()) {
    const ownerId = row.listed ? pickOwner(world, row) : undefined;
    if (ownerId !== row.ownerId) changeOwner(world, row, ownerId);
  }
  world.endpointsByService = indexByService(world);
  world.liveEndpointIds = indexLiveIds(world);
  world.directoryHandoverPending = true;
  const owned = listOwnedEndpoints(world);
  emit(world, {
    type: 'watchEndpoints',
    endpoints: owned.map((row) => ({ id: row.id, address: row.record.address })),
  });
}

/** Lists the endpoints that this box owns. */
export function listOwnedEndpoints(world: World): EndpointRow[] {
  return [...world.endpoints.values()].filter((row) => row.ownerId === world.self.boxId && row.listed);
}

/** Lists the loads of the endpoints that this box owns, as reported to its peers. */
export function listOwnedLoads(world: World): LoadEntry[] {
  if (world.settings.policy.type !== 'steward') return [];
  return listOwnedEndpoints(world).map((row) => {
    const load = row.inFlight + row.waiting + row.foreignLoad;
    return [row.id, isInService(world, row) ? load : TAKES_NO_WORK] as const;
  });
}

function applyLoad(row: EndpointRow, load: number): void {
  row.ownerReportedLoad = load;
  row.placedSinceReport = 0;
}

/**
 * Applies the loads in a peer's report. Entries for endpoints that the peer does not own in this box's view are
 * ignored.
 */
export function applyReportedLoads(world: World, from: BoxId, loads: readonly LoadEntry[]): void {
  for (const [endpointId, load] of loads) {
    const row = world.endpoints.get(endpointId);
    if (row === undefined || row.ownerId !== from) continue;
    applyLoad(row, load);
  }
}

/** Applies loads that were sent along with an assignment; they are newer than those of the last heartbeat. */
export function applyObservedLoads(world: World, loads: readonly LoadEntry[]): void {
  for (const [endpointId, load] of loads) {
    const row = world.endpoints.get(endpointId);
    if (row === undefined || row.ownerId === world.self.boxId) continue;
    applyLoad(row, load);
  }
}

/** Applies an endpoint's own report: its load beyond this box's calls, and whether it is leaving. */
export function handleEndpointReport(
  world: World,
  report: { readonly endpointId: string; readonly inFlight: number; readonly leaving: boolean },
): void {
  const row = world.endpoints.get(report.endpointId);
  if (row === undefined) return;
  row.reportedLeaving = report.leaving;
  row.reportedInFlight = report.inFlight;
  row.inFlightAtReport = row.inFlight;
  // The report is stale: only load above this box's recent maximum there is certain to come from others.
  row.foreignLoad = Math.max(0, report.inFlight - row.peakInFlight);
  row.peakInFlight = row.inFlight;
}
