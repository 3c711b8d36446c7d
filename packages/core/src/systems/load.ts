/**
 * Load: the load of an endpoint, sums over a service, and the largest load that one endpoint may have.
 */
import type { ModelDeclaration, ServiceDeclaration } from '../records.js';
import type { EndpointRow } from '../tables/endpoints.js';
import type { World } from '../world.js';
import { isUsable } from './endpointOwnership.js';

/**
 * Returns the load of an endpoint: exact if this box owns it, otherwise the load that its owner last reported plus the
 * requests that this box has assigned to it since. The baseline policies have no owners and use the endpoint's own last
 * report, corrected by the calls that this box has started or ended since.
 */
export function readLoad(world: World, row: EndpointRow): number {
  if (world.settings.policy.type !== 'steward') {
    return Math.max(row.inFlight, row.reportedInFlight + row.inFlight - row.inFlightAtReport) + row.waiting;
  }
  if (row.ownerId === world.self.boxId) return row.inFlight + row.waiting + row.foreignLoad;
  return Math.max(0, row.ownerReportedLoad) + row.placedSinceReport;
}

/** Returns an endpoint's share relative to one with a full share; less than 1 during its slow start. */
export function readRampShare(world: World, row: EndpointRow): number {
  const { rampMs, rampFloor } = world.settings;
  const ageMs = world.nowMs - row.rampFromMs;
  if (ageMs >= rampMs) return 1;
  return rampFloor + (1 - rampFloor) * Math.max(0, ageMs / rampMs);
}

/** Lists the usable endpoints of a service. */
export function listUsable(world: World, service: ServiceDeclaration): EndpointRow[] {
  const rows = world.endpointsByService.get(service.name) ?? [];
  return rows.filter((row) => isUsable(world, row));
}

/** Sums over a set of endpoints. */
export interface LoadSummary {
  readonly load: number;
  readonly count: number;
  /** Sum of ramp shares. */
  readonly shares: number;
}

/** Sums load and ramp shares over a set of endpoints. */
export function summariseLoad(world: World, rows: readonly EndpointRow[]): LoadSummary {
  let load = 0;
  let shares = 0;
  for (const row of rows) {
    load += readLoad(world, row);
    shares += readRampShare(world, row);
  }
  return { load, count: rows.length, shares };
}

/**
 * Raises an endpoint's share where endpoints in slow start would otherwise leave too little total capacity: the sum of
 * all caps must exceed the load by half of the bound's slack.
 */
function raiseShare(share: number, bound: number, summary: LoadSummary): number {
  const { count, shares } = summary;
  if (shares >= count) return share;
  const neededShares = ((1 + bound) / 2) * (count / bound);
  const raise = Math.min(1, Math.max(0, (neededShares - shares) / (count - shares)));
  return share + raise * (1 - share);
}

/**
 * Computes the largest load of an engine after accepting one more request: its share of the mean times the bound, but
 * at least its share of the mean rounded up, so that some engine always has capacity. The mean counts an engine in slow
 * start in full, as an outside observer would. With a stale summary the mean covers only the loads known to this box; the
 * limit still applies.
 *
 * @example computeBoundCap(world, model, row, { load: 23, count: 12, shares: 12 }) // ceil(24 / 12) = 2
 */
export function computeBoundCap(
  world: World,
  model: ModelDeclaration,
  row: EndpointRow,
  summary: LoadSummary,
): number {
  const bound = 1 + (model.loadBound - 1) * world.settings.boundUse;
  const share = raiseShare(readRampShare(world, row), bound, summary);
  const mean = (share * (summary.load + 1)) / Math.max(1, summary.count);
  return Math.max(1, Math.ceil(mean), Math.floor(bound * mean));
}
