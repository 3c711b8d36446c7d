/**
 * Admission: what a steward does with an assignment. It takes it, lets it wait a little, passes it on to the next
 * candidate, or refuses it at once.
 */
import type { AssignFrame, AttemptRef, ControlFrame, LoadEntry, RefusedFrame } from '../frames.js';
import type { BoxId, EndpointId, ServiceDeclaration } from '../records.js';
import type { Ran, ResultCode } from '../resultCodes.js';
import type { CallRow } from '../tables/calls.js';
import { attemptKey } from '../tables/calls.js';
import type { EndpointRow } from '../tables/endpoints.js';
import type { World } from '../world.js';
import { count, emit } from '../world.js';
import { addRunning, canStart, dequeueCall, enqueueCall, isAtTeamLimit, pickNextCall } from './fairness.js';
import { computeBoundCap, listUsable, readLoad, summariseLoad } from './load.js';
import { handleAccepted, handleRefused } from './entry.js';
import { handlePlaced } from './chatDirectory.js';
import { handleKeyed } from './keys.js';
import { isInService, listOwnedLoads, applyObservedLoads } from './endpointOwnership.js';

/** Retry-After is spread over this multiple of its smallest value. */
const RETRY_AFTER_SPREAD = 2;

/** A waiting call is refused this long before its deadline, so that the word reaches the entry box in time. */
const REFUSAL_LEAD_MS = 50;

/** Spreads the time to come back, so that refused callers do not return together. */
export function spreadRetryAfter(world: World, leastMs: number): number {
  const baseMs = Math.max(leastMs, world.settings.retryAfterMs);
  return Math.round(baseMs * (1 + world.deps.random() * (RETRY_AFTER_SPREAD - 1)));
}

/** Sends a frame, or hands it straight to this box's own role if it is the addressee. */
export function sendToBox(world: World, to: BoxId, frame: ControlFrame): void {
  if (to !== world.self.boxId) return emit(world, { type: 'send', to, frame });
  switch (frame.type) {
    case 'assign':
      return handleAssign(world, frame);
    case 'accepted':
      return handleAccepted(world, to, frame);
    case 'refused':
      return handleRefused(world, frame);
    case 'placed':
      return handlePlaced(world, frame);
    case 'cancel':
      return cancelCall(world, attemptKey(frame));
    case 'keyed':
      return handleKeyed(world, frame);
    case 'keys':
    case 'place':
    case 'heartbeat':
    case 'valueRequest':
    case 'value':
    case 'directory':
      return;
  }
}

/** An attempt and the box where its caller waits. */
interface PlacedAttempt extends AttemptRef {
  readonly entry: BoxId;
}

/** Tells the entry box that an attempt is over. */
export function refuseAttempt(
  world: World,
  placed: PlacedAttempt,
  code: ResultCode,
  ran: Ran,
  waitMs = 0,
): void {
  const frame: RefusedFrame = {
    type: 'refused',
    requestId: placed.requestId,
    attempt: placed.attempt,
    code,
    ran,
    retryAfterMs: spreadRetryAfter(world, waitMs),
  };
  sendToBox(world, placed.entry, frame);
}

/** Sends an assignment to the steward of its first candidate, or refuses it when none is left. */
export function routeAssignment(world: World, assign: AssignFrame): void {
  let candidates = assign.candidates;
  while (candidates.length > 0) {
    const [first] = candidates;
    const row = first === undefined ? undefined : world.endpoints.get(first);
    if (row?.ownerId !== undefined) return sendAssignment(world, row, { ...assign, candidates });
    candidates = candidates.slice(1);
  }
  refuseAttempt(world, assign, assign.reason, 'no');
}

function sendAssignment(world: World, row: EndpointRow, assign: AssignFrame): void {
  const steward = row.ownerId ?? world.self.boxId;
  if (steward !== world.self.boxId) row.placedSinceReport += 1;
  sendToBox(world, steward, { ...assign, hops: assign.hops + 1 });
}

function passOn(world: World, assign: AssignFrame, reason: ResultCode): void {
  const rest = assign.candidates.slice(1);
  const isLast = rest.length === 0 && reason === 'overBound';
  const candidates = isLast ? pickLeastPassed(assign) : rest;
  if (assign.hops >= world.settings.maxHops) return refuseAttempt(world, assign, reason, 'no');
  count(world, 'placement.spilled');
  routeAssignment(world, { ...assign, candidates, reason, isLast: assign.isLast || isLast });
}

function listPassed(assign: AssignFrame): readonly LoadEntry[] {
  return assign.observed.filter(([id]) => assign.passed.includes(id));
}

function pickLeastPassed(assign: AssignFrame): EndpointId[] {
  const [first, ...others] = listPassed(assign);
  if (first === undefined) return [];
  const least = others.reduce((best, entry) => (entry[1] < best[1] ? entry : best), first);
  return [least[0]];
}

/** Why an endpoint does not take a call at all, if so. */
function findObstacle(world: World, row: EndpointRow, assign: AssignFrame): ResultCode | undefined {
  const service = world.declared?.services.get(assign.head.service);
  if (service === undefined || !isInService(world, row)) return 'noEndpoint';
  if (isAtTeamLimit(world, row, service, assign.head.team)) return 'teamLimit';
  if (isOverBound(world, row, service, assign)) return 'overBound';
  return undefined;
}

function isOverBound(
  world: World,
  row: EndpointRow,
  service: ServiceDeclaration,
  assign: AssignFrame,
): boolean {
  const { type } = world.settings.policy;
  if (service.kind !== 'model' || type === 'leastLoaded' || type === 'roundRobin') return false;
  const rows = assign.isLast ? listPassedRows(world, assign) : listUsable(world, service);
  const summary = summariseLoad(world, rows);
  return readLoad(world, row) + 1 > computeBoundCap(world, service, row, summary);
}

function listPassedRows(world: World, assign: AssignFrame): EndpointRow[] {
  return listPassed(assign).flatMap(([id]) => world.endpoints.get(id) ?? []);
}

/** How long a call that starts to wait now would wait. */
function estimateWaitMs(row: EndpointRow, service: ServiceDeclaration): number {
  return ((row.waiting + 1) * row.meanServiceMs) / service.maxInFlightPerEndpoint;
}

/** Acts on an assignment as the steward of its first candidate. */
export function handleAssign(world: World, assign: AssignFrame): void {
  const [first] = assign.candidates;
  const row = first === undefined ? undefined : world.endpoints.get(first);
  if (row === undefined) return passOn(world, assign, 'noEndpoint');
  if (row.ownerId !== world.self.boxId) return forwardAssignment(world, row, assign);
  applyObservedLoads(world, assign.observed);
  const obstacle = findObstacle(world, row, assign);
  if (obstacle === 'overBound') return passOn(world, observe(world, row, assign), obstacle);
  if (obstacle !== undefined) return passOn(world, assign, obstacle);
  takeCall(world, row, assign);
}

/** Adds this engine's exact load to what the next candidates learn. */
function observe(world: World, row: EndpointRow, assign: AssignFrame): AssignFrame {
  const others = assign.observed.filter(([id]) => id !== row.id);
  const passed = [...assign.passed.filter((id) => id !== row.id), row.id];
  return { ...assign, passed, observed: [...others, [row.id, readLoad(world, row)]] };
}

/** Lists disagree: another box is the steward in this box's view. */
function forwardAssignment(world: World, row: EndpointRow, assign: AssignFrame): void {
  if (row.ownerId === undefined || assign.hops >= world.settings.maxHops) {
    return passOn(world, assign, 'noEndpoint');
  }
  count(world, 'placement.forwarded');
  sendAssignment(world, row, assign);
}

function takeCall(world: World, row: EndpointRow, assign: AssignFrame): void {
  const service = world.declared?.services.get(assign.head.service);
  if (service === undefined) return passOn(world, assign, 'noEndpoint');
  const startsNow = row.waiting === 0 && canStart(world, row, service, assign.head.team);
  const waitMs = startsNow ? 0 : estimateWaitMs(row, service);
  if (waitMs > 0 && assign.candidates.length > 1) return passOn(world, assign, 'overloaded');
  if (waitMs > service.maxQueueMs) return refuseAttempt(world, assign, 'overloaded', 'no', waitMs);
  if (waitMs > assign.head.remainingMs) return refuseAttempt(world, assign, 'deadlineTooShort', 'no', waitMs);
  admitCall(world, row, assign, startsNow);
}

function admitCall(world: World, row: EndpointRow, assign: AssignFrame, startsNow: boolean): void {
  const call: CallRow = {
    assign,
    endpointId: row.id,
    phase: 'waiting',
    arrivedMs: world.nowMs,
    startedMs: world.nowMs,
    deadlineMs: world.nowMs + assign.head.remainingMs,
  };
  world.calls.set(attemptKey(assign), call);
  announceCall(world, row, assign);
  if (startsNow) return startCall(world, row, call);
  enqueueCall(row, call);
  world.dirtyEndpoints.add(row);
}

function announceCall(world: World, row: EndpointRow, assign: AssignFrame): void {
  const { requestId, attempt, entry, home, head } = assign;
  const loads = listOwnedLoads(world);
  sendToBox(world, entry, { type: 'accepted', requestId, attempt, endpoint: row.id, loads });
  // The home box took its own first choice for granted.
  const isFirstChoice = assign.hops <= 1;
  if (home !== '' && !isFirstChoice)
    sendToBox(world, home, { type: 'placed', service: head.service, chat: head.chat, endpoint: row.id });
}

function startCall(world: World, row: EndpointRow, call: CallRow): void {
  const { assign } = call;
  call.phase = 'running';
  call.startedMs = world.nowMs;
  addRunning(row, assign.head.team, 1);
  emit(world, {
    type: 'dispatch',
    requestId: assign.requestId,
    attempt: assign.attempt,
    entry: assign.entry,
    endpointId: row.id,
    address: row.record.address,
    head: assign.head,
    remainingMs: call.deadlineMs - world.nowMs,
  });
}

/** Takes a call off the tables; the endpoint may then start another. */
export function removeCall(world: World, key: string): CallRow | undefined {
  const call = world.calls.get(key);
  if (call === undefined) return undefined;
  world.calls.delete(key);
  const row = world.endpoints.get(call.endpointId);
  if (row === undefined) return call;
  if (call.phase === 'waiting') dequeueCall(row, call);
  else addRunning(row, call.assign.head.team, -1);
  world.dirtyEndpoints.add(row);
  return call;
}

/** Stops a call that its entry box no longer wants. */
export function cancelCall(world: World, key: string): void {
  const call = removeCall(world, key);
  if (call === undefined || call.phase === 'waiting') return;
  const { requestId, attempt } = call.assign;
  emit(world, { type: 'cancelCall', requestId, attempt });
}

/** Gives a call that never reached its endpoint to the next candidate. */
export function passOnUnsentCall(world: World, call: CallRow): void {
  const remainingMs = call.deadlineMs - world.nowMs;
  const assign = { ...call.assign, head: { ...call.assign.head, remainingMs } };
  if (remainingMs <= 0) return refuseAttempt(world, assign, 'deadlineTooShort', 'no');
  passOn(world, assign, 'connectFailed');
}

function startWaiting(world: World, row: EndpointRow): void {
  let call = pickNextCall(world, row);
  while (call !== undefined) {
    dequeueCall(row, call);
    startCall(world, row, call);
    call = pickNextCall(world, row);
  }
}

/** Starts waiting calls wherever room was made. */
export function runAdmission(world: World): void {
  for (const row of world.dirtyEndpoints) {
    if (row.waiting > 0) startWaiting(world, row);
  }
  world.dirtyEndpoints.clear();
}

/** Refuses waiting calls whose turn can no longer come, and drops the calls of entry boxes that are gone. */
export function sweepCalls(world: World, isEntryGone: (entry: BoxId) => boolean): void {
  for (const [key, call] of world.calls) {
    if (isEntryGone(call.assign.entry)) dropOrphan(world, key, call);
    else if (call.phase === 'waiting') sweepWaiting(world, key, call);
  }
}

/** An orphan whose effects cannot be taken back is left to end by itself. */
function dropOrphan(world: World, key: string, call: CallRow): void {
  const service = world.declared?.services.get(call.assign.head.service);
  const mayStop = call.phase === 'waiting' || service?.kind === 'model';
  if (mayStop) cancelCall(world, key);
}

function sweepWaiting(world: World, key: string, call: CallRow): void {
  const endpoint: EndpointId = call.endpointId;
  const row = world.endpoints.get(endpoint);
  const isServed = row !== undefined && isInService(world, row) && row.ownerId === world.self.boxId;
  const isLate = call.deadlineMs - REFUSAL_LEAD_MS <= world.nowMs;
  if (!isLate && isServed) return;
  removeCall(world, key);
  if (isLate) return refuseAttempt(world, call.assign, 'deadlineTooShort', 'no');
  passOnUnsentCall(world, call);
}
