/**
 * Load: what an endpoint carries, the mean over its service, and how much one endpoint may carry.
 */
import type { ModelDeclaration, ServiceDeclaration } from '../records.js';
import type { EndpointRow } from '../tables/endpoints.js';
import type { World } from '../world.js';
import { isUsable } from './stewardship.js';

/**
 * Requests at an endpoint as far as this box knows: exact where it is the steward, otherwise the steward's last word
 * and what this box sent since.
 */
export function readLoad(world: World, row: EndpointRow): number {
  if (world.settings.policy.type !== 'steward') {
    return Math.max(row.inFlight, row.reported + row.inFlight - row.inFlightAtReport) + row.waiting;
  }
  if (row.steward === world.self.boxId) return row.inFlight + row.waiting + row.foreign;
  return Math.max(0, row.knownLoad) + row.placedSince;
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

/** Sum of loads and of ramp shares over some endpoints. */
export interface LoadSummary {
  readonly load: number;
  readonly shares: number;
}

/** Sums load and shares over the usable endpoints of a service. */
export function summariseLoad(world: World, rows: readonly EndpointRow[]): LoadSummary {
  let load = 0;
  let shares = 0;
  for (const row of rows) {
    load += readLoad(world, row);
    shares += readRampShare(world, row);
  }
  return { load, shares };
}

/**
 * Most requests an engine may carry once one more is taken: its share of the mean times the bound, rounded up so that
 * some engine always has room. A stale summary narrows the mean to what this box knows; it never lifts the limit.
 *
 * @example computeBoundCap(world, model, row, { load: 23, shares: 12 }) // ceil(1.15 * 24 / 12) = 3
 */
export function computeBoundCap(
  world: World,
  model: ModelDeclaration,
  row: EndpointRow,
  summary: LoadSummary,
): number {
  const share = readRampShare(world, row) / Math.max(summary.shares, Number.EPSILON);
  const bound = 1 + (model.loadBound - 1) * world.settings.boundUse;
  return Math.max(1, Math.ceil(bound * (summary.load + 1) * share));
}
