/**
 * Load: what an endpoint carries, the mean over its service, and how much one endpoint may carry.
 */
import type { ModelDeclaration, ServiceDeclaration } from '../records.js';
import type { EndpointRow } from '../tables/endpoints.js';
import type { World } from '../world.js';
import { isUsable } from './endpointOwnership.js';

/**
 * Requests at an endpoint as far as this box knows: exact where it is the steward, otherwise the steward's last word
 * and what this box sent since.
 */
export function readLoad(world: World, row: EndpointRow): number {
  if (world.settings.policy.type !== 'steward') {
    return Math.max(row.inFlight, row.reportedInFlight + row.inFlight - row.inFlightAtReport) + row.waiting;
  }
  if (row.ownerId === world.self.boxId) return row.inFlight + row.waiting + row.foreignLoad;
  return Math.max(0, row.ownerReportedLoad) + row.placedSinceReport;
}

/** An endpoint's share relative to one in full service; less than 1 while it ramps up. */
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

/** Sums over some endpoints. */
export interface LoadSummary {
  readonly load: number;
  readonly count: number;
  /** Sum of ramp shares. */
  readonly shares: number;
}

/** Sums load and shares over some endpoints. */
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
 * An endpoint's share once all shares are raised, where ramping endpoints would otherwise leave too little room: the
 * caps of all together must exceed the load by half of the bound's slack.
 */
function raiseShare(share: number, bound: number, summary: LoadSummary): number {
  const { count, shares } = summary;
  if (shares >= count) return share;
  const neededShares = ((1 + bound) / 2) * (count / bound);
  const raise = Math.min(1, Math.max(0, (neededShares - shares) / (count - shares)));
  return share + raise * (1 - share);
}

/**
 * Most requests an engine may carry once one more is taken: its share of the mean times the bound, but never less than
 * its share of the mean rounded up, so that some engine always has room. The mean counts a ramping engine in full, as
 * an observer would. A stale summary narrows the mean to what this box knows; it never lifts the limit.
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
