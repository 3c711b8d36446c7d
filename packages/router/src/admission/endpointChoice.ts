/** Choice of the endpoint whose slot a request gets. */
import { drawOne } from '../systems/drawEndpoint.js';
import type { HoldTimes } from './holdTimes.js';
import type { EndpointUse } from './slotLedger.js';
import type { SlotRequest } from './slotMessages.js';

/** What the choice depends on. */
export interface EndpointChoiceContext {
  readonly holds: HoldTimes;
  readonly random: () => number;
  readonly nowMs: number;
}

/**
 * Whether a request can use an endpoint: one without a slot in effect gets nothing.
 *
 * @example canUseEndpoint(request, use) // false if the request excludes the endpoint
 */
export function canUseEndpoint(request: SlotRequest, { endpoint }: EndpointUse): boolean {
  return endpoint.slotsInEffect > 0 && !request.excluded.includes(endpoint.tag);
}

/**
 * Whether one of the endpoints has room for a request.
 *
 * @example canUseAny(request, free) // false if the request excludes all free endpoints
 */
export function canUseAny(request: SlotRequest, free: readonly EndpointUse[]): boolean {
  return free.some((use) => canUseEndpoint(request, use));
}

/**
 * Picks the endpoint for a request: a preferred one with a slot that is really free, else the one that is expected to
 * end the request first.
 *
 * @example pickEndpoint(request, free, context) // 3
 */
export function pickEndpoint(
  request: SlotRequest,
  free: readonly EndpointUse[],
  context: EndpointChoiceContext,
): number | undefined {
  const usable = free.filter((use) => canUseEndpoint(request, use));
  const hasFreeSlot = (tag: number): boolean =>
    usable.some(({ endpoint, inUse }) => endpoint.tag === tag && inUse < endpoint.slotsInEffect);
  return request.preferred.find(hasFreeSlot) ?? pickSoonest(usable, context);
}

function pickSoonest(usable: readonly EndpointUse[], context: EndpointChoiceContext): number | undefined {
  const { holds, nowMs, random } = context;
  const timed = usable.map(({ endpoint, inUse }) => ({
    tag: endpoint.tag,
    endsInMs: ((inUse + 1) / endpoint.slotsInEffect) * holds.readMs(endpoint.tag, nowMs),
  }));
  const soonestMs = Math.min(...timed.map(({ endsInMs }) => endsInMs));
  const soonest = timed.filter(({ endsInMs }) => endsInMs === soonestMs);
  return drawOne(soonest, random)?.tag;
}
