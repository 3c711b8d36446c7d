/** Room of a service: its slots and the requests in flight there, as far as a box knows. */
import { isUsable } from '../systems/endpointHealth.js';
import { acceptsRequests } from '../systems/endpointNotices.js';
import { readFleetLoad } from '../tables/endpointTable.js';
import type { EndpointRow } from '../tables/endpointTable.js';

/** How complete and how old a box's knowledge of the load of other boxes is. */
export interface RoomView {
  /** `missing`: the loads of other boxes are not known and count as zero. */
  readonly extent: 'whole' | 'partial' | 'missing';
  readonly ageMs: number;
}

/** Room of a service in the view of one box. */
export interface ServiceRoom {
  /** Requests that its usable endpoints process concurrently; fewer than their slots where endpoints are slow. */
  readonly slotsInEffect: number;
  /** Requests in flight there from all boxes. */
  readonly inFlight: number;
  readonly view: RoomView;
}

/**
 * Share of the slots that is in use; above 1 if requests wait at the endpoints, infinite without a slot.
 *
 * @example readUse({ slotsInEffect: 18, inFlight: 9, view }) // 0.5
 */
export function readUse({ slotsInEffect, inFlight }: ServiceRoom): number {
  return slotsInEffect > 0 ? inFlight / slotsInEffect : Infinity;
}

/**
 * Slots of an endpoint that are in effect.
 *
 * @example readSlotsInEffect(row) // 8 for 8 slots
 */
export function readSlotsInEffect({ listing }: EndpointRow): number {
  return listing.slots;
}

/**
 * Room of a service: of its endpoints that this box may send requests to. Requests at other endpoints do not count.
 *
 * @example readServiceRoom(table.listService('llm'), view, nowMs).slotsInEffect // 24
 */
export function readServiceRoom(rows: readonly EndpointRow[], view: RoomView, nowMs: number): ServiceRoom {
  let slotsInEffect = 0;
  let inFlight = 0;
  for (const row of rows) {
    if (!acceptsRequests(row, nowMs) || !isUsable(row, nowMs)) continue;
    slotsInEffect += readSlotsInEffect(row);
    inFlight += readFleetLoad(row);
  }
  return { slotsInEffect, inFlight, view };
}
