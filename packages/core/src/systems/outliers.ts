/**
 * Outlier ejection: an endpoint with several consecutive failures gets no requests for a while. The share of endpoints
 * that may be unusable at the same time is limited.
 */
import type { CallEndedEvent } from '../events.js';
import type { CallRow } from '../tables/calls.js';
import { attemptKey } from '../tables/calls.js';
import type { EndpointRow } from '../tables/endpoints.js';
import type { World } from '../world.js';
import { count } from '../world.js';
import { rerouteUnsentCall, refuseAttempt, removeCall } from './admission.js';
import { isUsable } from './endpointOwnership.js';

const MAX_EJECT_DOUBLINGS = 4;
const MIN_SERVER_ERROR_STATUS = 500;
/** Weight of the latest call in the moving average of call durations. */
const SERVICE_TIME_WEIGHT = 0.1;

function recordSuccess(world: World, row: EndpointRow, call: CallRow): void {
  row.consecutiveFailures = 0;
  row.ejections = 0;
  const serviceMs = world.nowMs - call.startedMs;
  row.meanServiceMs += SERVICE_TIME_WEIGHT * (serviceMs - row.meanServiceMs);
}

/** A server error is a complete response for the caller, but counts as a failure of the endpoint. */
function recordResponse(world: World, row: EndpointRow, call: CallRow, status: number): void {
  if (status >= MIN_SERVER_ERROR_STATUS) recordFailure(world, row);
  else recordSuccess(world, row, call);
}

function mayEject(world: World, row: EndpointRow): boolean {
  return row.record.serves.every((service) => {
    const rows = world.endpointsByService.get(service) ?? [];
    const unusableCount = rows.filter((other) => other !== row && !isUsable(world, other)).length;
    return unusableCount + 1 <= Math.floor(rows.length * world.settings.maxEjectedShare);
  });
}

function recordFailure(world: World, row: EndpointRow): void {
  row.consecutiveFailures += 1;
  if (row.consecutiveFailures < world.settings.ejectAfter || !mayEject(world, row)) return;
  const doublings = Math.min(row.ejections, MAX_EJECT_DOUBLINGS);
  row.ejectedUntilMs = world.nowMs + world.settings.ejectMs * 2 ** doublings;
  row.ejections += 1;
  row.consecutiveFailures = 0;
  count(world, 'endpoint.ejected');
}

/** Records the outcome of a call; reroutes a call that was not sent, and refuses one that broke off. */
export function handleCallEnded(world: World, event: CallEndedEvent): void {
  const call = removeCall(world, attemptKey(event));
  if (call === undefined) return;
  const row = world.endpoints.get(call.endpointId);
  const { outcome } = event;
  switch (outcome.type) {
    case 'whole':
      if (row !== undefined) recordResponse(world, row, call, outcome.status);
      return;
    case 'notSent':
      if (row !== undefined) recordFailure(world, row);
      return rerouteUnsentCall(world, call);
    case 'broken':
      if (row !== undefined) recordFailure(world, row);
      return refuseAttempt(world, call.assign, outcome.code, 'unknown');
    case 'cancelled':
      return;
  }
}
