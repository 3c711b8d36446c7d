/**
 * Outliers: an endpoint that fails several times in a row is left out for a while, but never too many at once.
 */
import type { CallEndedEvent } from '../events.js';
import type { CallRow } from '../tables/calls.js';
import { attemptKey } from '../tables/calls.js';
import type { EndpointRow } from '../tables/endpoints.js';
import type { World } from '../world.js';
import { count } from '../world.js';
import { passOnUnsentCall, refuseAttempt, removeCall } from './admission.js';
import { isUsable } from './endpointOwnership.js';

const MAX_EJECT_DOUBLINGS = 4;
const LEAST_SERVER_ERROR = 500;
/** Weight of the newest call in the moving average of call lengths. */
const SERVICE_TIME_WEIGHT = 0.1;

function noteSuccess(world: World, row: EndpointRow, call: CallRow): void {
  row.consecutiveFailures = 0;
  row.ejections = 0;
  const serviceMs = world.nowMs - call.startedMs;
  row.meanServiceMs += SERVICE_TIME_WEIGHT * (serviceMs - row.meanServiceMs);
}

/** An error of the endpoint's own is a whole answer for the caller, and a failure of the endpoint. */
function noteAnswer(world: World, row: EndpointRow, call: CallRow, status: number): void {
  if (status >= LEAST_SERVER_ERROR) noteFailure(world, row);
  else noteSuccess(world, row, call);
}

function mayEject(world: World, row: EndpointRow): boolean {
  return row.record.serves.every((service) => {
    const rows = world.endpointsByService.get(service) ?? [];
    const out = rows.filter((other) => other !== row && !isUsable(world, other)).length;
    return out + 1 <= Math.floor(rows.length * world.settings.maxEjectedShare);
  });
}

function noteFailure(world: World, row: EndpointRow): void {
  row.consecutiveFailures += 1;
  if (row.consecutiveFailures < world.settings.ejectAfter || !mayEject(world, row)) return;
  const doublings = Math.min(row.ejections, MAX_EJECT_DOUBLINGS);
  row.ejectedUntilMs = world.nowMs + world.settings.ejectMs * 2 ** doublings;
  row.ejections += 1;
  row.consecutiveFailures = 0;
  count(world, 'endpoint.ejected');
}

/** Takes note of how a call ended and tells the entry box unless the answer itself says it. */
export function handleCallEnded(world: World, event: CallEndedEvent): void {
  const call = removeCall(world, attemptKey(event));
  if (call === undefined) return;
  const row = world.endpoints.get(call.endpointId);
  const { outcome } = event;
  switch (outcome.type) {
    case 'whole':
      if (row !== undefined) noteAnswer(world, row, call, outcome.status);
      return;
    case 'notSent':
      if (row !== undefined) noteFailure(world, row);
      return passOnUnsentCall(world, call);
    case 'broken':
      if (row !== undefined) noteFailure(world, row);
      return refuseAttempt(world, call.assign, outcome.code, 'unknown');
    case 'cancelled':
      return;
  }
}
