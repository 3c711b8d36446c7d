/**
 * Stewardship: which box speaks to which endpoint, and whether an endpoint may get work.
 */
import type { LoadEntry } from '../frames.js';
import { pickByRendezvous } from '../hasher.js';
import type { BoxId, EndpointId, EndpointList, EndpointRecord, ServiceName } from '../records.js';
import type { EndpointRow } from '../tables/endpoints.js';
import { createEndpointRow } from '../tables/endpoints.js';
import type { World } from '../world.js';
import { emit } from '../world.js';

/** Load that a steward reports for an endpoint that takes no work. */
export const TAKES_NO_WORK = -1;

function admitNewRow(world: World, record: EndpointRecord, isFirstList: boolean): void {
  const row = createEndpointRow(record);
  // Everything on the first list was there before this box: it neither ramps nor has to prove itself.
  if (!isFirstList) row.rampFromMs = world.nowMs;
  world.endpoints.set(record.id, row);
}

/** An endpoint that comes back soon has flapped: it must stay up before it is trusted again. */
function readmitRow(world: World, row: EndpointRow): void {
  const awayMs = world.nowMs - row.absentSinceMs;
  row.flaps = awayMs > world.settings.flapMemoryMs ? 0 : row.flaps + 1;
  row.trustedFromMs = world.nowMs + row.flaps * world.settings.flapHoldMs;
  row.rampFromMs = row.trustedFromMs;
  row.reportedLeaving = false;
  row.foreignLoad = 0;
}

/** Takes over a newly accepted endpoint list. */
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
      admitNewRow(world, record, isFirstList);
      continue;
    }
    if (!row.listed) readmitRow(world, row);
    row.listed = true;
    row.record = record;
  }
  world.topologyChanged = true;
}

/** Tells whether an endpoint may get new work as far as its listing and record go. */
export function isInService(world: World, row: EndpointRow): boolean {
  if (!row.listed || row.record.state === 'leaving' || row.reportedLeaving) return false;
  return world.nowMs >= row.trustedFromMs && world.nowMs >= row.ejectedUntilMs;
}

/** Tells whether this box may send work towards an endpoint: in service, and its steward says so too. */
export function isUsable(world: World, row: EndpointRow): boolean {
  if (!isInService(world, row) || row.ownerId === undefined) return false;
  if (row.ownerId === world.self.boxId) return true;
  return row.ownerReportedLoad >= 0;
}

function pickSteward(world: World, row: EndpointRow): BoxId | undefined {
  if (world.settings.policy.type !== 'steward') return world.self.boxId;
  const { hasher } = world.deps;
  const hallBoxes = world.live.byHall.get(row.record.hall) ?? [];
  // With no box of its hall left, any box may speak to it, if it can reach it.
  const candidates = hallBoxes.length > 0 ? hallBoxes : world.live.all;
  return pickByRendezvous(hasher, row.id, candidates);
}

/** Starts afresh what is known of an endpoint that this box has come to speak to or has ceased to. */
function changeSteward(world: World, row: EndpointRow, steward: BoxId | undefined): void {
  row.ownerId = steward;
  row.ownerReportedLoad = 0;
  row.placedSinceReport = 0;
  if (steward === world.self.boxId) row.peakInFlight = row.inFlight;
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

/** Endpoints that the list says are live; boxes with one list agree on these, whatever else they know. */
function listLiveIds(world: World): Map<ServiceName, EndpointId[]> {
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

function forgetUnlisted(world: World): void {
  for (const row of world.endpoints.values()) {
    const idle = row.inFlight === 0 && row.waiting === 0;
    const longGone = world.nowMs - row.absentSinceMs > world.settings.flapMemoryMs;
    if (!row.listed && idle && longGone) world.endpoints.delete(row.id);
  }
}

/** Recomputes stewards and the index by service after a change of boxes or endpoints. */
export function runEndpointOwnership(world: World): void {
  if (!world.topologyChanged) return;
  world.topologyChanged = false;
  forgetUnlisted(world);
  for (const row of world.endpoints.values()) {
    const steward = row.listed ? pickSteward(world, row) : undefined;
    if (steward !== row.ownerId) changeSteward(world, row, steward);
  }
  world.endpointsByService = indexByService(world);
  world.liveEndpointIds = listLiveIds(world);
  world.directoryHandoverPending = true;
  const own = listOwnedEndpoints(world);
  emit(world, {
    type: 'watchEndpoints',
    endpoints: own.map((row) => ({ id: row.id, address: row.record.address })),
  });
}

/** Lists the endpoints this box speaks to. */
export function listOwnedEndpoints(world: World): EndpointRow[] {
  return [...world.endpoints.values()].filter((row) => row.ownerId === world.self.boxId && row.listed);
}

/** The loads this box vouches for, as it tells its peers. */
export function listOwnedLoads(world: World): LoadEntry[] {
  if (world.settings.policy.type !== 'steward') return [];
  return listOwnedEndpoints(world).map((row) => {
    const load = row.inFlight + row.waiting + row.foreignLoad;
    return [row.id, isInService(world, row) ? load : TAKES_NO_WORK] as const;
  });
}

function noteLoad(row: EndpointRow, load: number): void {
  row.ownerReportedLoad = load;
  row.placedSinceReport = 0;
}

/** Takes over the loads a steward vouches for. A box that this box does not hold for the steward is not believed. */
export function applyReportedLoads(world: World, from: BoxId, loads: readonly LoadEntry[]): void {
  for (const [endpointId, load] of loads) {
    const row = world.endpoints.get(endpointId);
    if (row === undefined || row.ownerId !== from) continue;
    noteLoad(row, load);
  }
}

/** Takes over loads that travelled with an assignment; they are fresher than any heartbeat. */
export function applyObservedLoads(world: World, loads: readonly LoadEntry[]): void {
  for (const [endpointId, load] of loads) {
    const row = world.endpoints.get(endpointId);
    if (row === undefined || row.ownerId === world.self.boxId) continue;
    noteLoad(row, load);
  }
}

/** Takes over an endpoint's own report: what it runs beyond this box's calls, and whether it is leaving. */
export function handleEndpointReport(
  world: World,
  report: { readonly endpointId: string; readonly inFlight: number; readonly leaving: boolean },
): void {
  const row = world.endpoints.get(report.endpointId);
  if (row === undefined) return;
  row.reportedLeaving = report.leaving;
  row.reportedInFlight = report.inFlight;
  row.inFlightAtReport = row.inFlight;
  // The report is late: what it shows beyond the most this box had there lately must be another's.
  row.foreignLoad = Math.max(0, report.inFlight - row.peakInFlight);
  row.peakInFlight = row.inFlight;
}
