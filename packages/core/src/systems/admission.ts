/**
 * Admission: how an endpoint's owner handles an assignment. It starts the call, queues it for a short time, forwards
 * the assignment to the next candidate, or refuses it immediately.
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

/** Upper end of the Retry-After jitter, as a multiple of its smallest value. */
const RETRY_AFTER_SPREAD = 2;

/** A queued call is refused this long before its deadline, so that the refusal reaches the entry box in time. */
const REFUSAL_LEAD_MS = 50;

/** Adds jitter to Retry-After, so that refused callers do not return at the same time. */
export function spreadRetryAfter(world: World, leastMs: number): number {
  const baseMs = Math.max(leastMs, world.settings.retryAfterMs);
  return Math.round(baseMs * (1 + world.deps.random() * (RETRY_AFTER_SPREAD - 1)));
}

/** Sends a frame, or handles it directly if this box is the receiver. */
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

/** An attempt and its entry box. */
interface PlacedAttempt extends AttemptRef {
  readonly entry: BoxId;
}

/** Sends the refusal of an attempt to its entry box. */
export function refuseAttempt(
  world: World,
  attempt: PlacedAttempt,
  code: ResultCode,
  ran: Ran,
  waitMs = 0,
): void {
  const frame: RefusedFrame = {
    type: 'refused',
    requestId: attempt.requestId,
    attempt: attempt.attempt,
    code,
    ran,
    retryAfterMs: spreadRetryAfter(world, waitMs),
  };
  sendToBox(world, attempt.entry, frame);
}

/** Sends an assignment to the owner of its first candidate, or refuses it if no candidate is left. */
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
  const ownerId = row.ownerId ?? world.self.boxId;
  if (ownerId !== world.self.boxId) row.placedSinceReport += 1;
  sendToBox(world, ownerId, { ...assign, hops: assign.hops + 1 });
}

function tryNextCandidate(world: World, assign: AssignFrame, reason: ResultCode): void {
  const rest = assign.candidates.slice(1);
  const isLast = rest.length === 0 && reason === 'overBound';
  const candidates = isLast ? pickLeastOverBound(assign) : rest;
  if (assign.hops >= world.settings.maxHops) return refuseAttempt(world, assign, reason, 'no');
  count(world, 'placement.spilled');
  routeAssignment(world, { ...assign, candidates, reason, isLast: assign.isLast || isLast });
}

function listOverBoundLoads(assign: AssignFrame): readonly LoadEntry[] {
  return assign.observed.filter(([id]) => assign.passed.includes(id));
}

function pickLeastOverBound(assign: AssignFrame): EndpointId[] {
  const [first, ...others] = listOverBoundLoads(assign);
  if (first === undefined) return [];
  const least = others.reduce((best, entry) => (entry[1] < best[1] ? entry : best), first);
  return [least[0]];
}

/** Returns why an endpoint cannot accept a call, not even in its queue; undefined if it can. */
function findRefusalReason(world: World, row: EndpointRow, assign: AssignFrame): ResultCode | undefined {
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
  const rows = assign.isLast ? listOverBoundRows(world, assign) : listUsable(world, service);
  const summary = summariseLoad(world, rows);
  return readLoad(world, row) + 1 > computeBoundCap(world, service, row, summary);
}

function listOverBoundRows(world: World, assign: AssignFrame): EndpointRow[] {
  return listOverBoundLoads(assign).flatMap(([id]) => world.endpoints.get(id) ?? []);
}

/** Estimates how long a call would wait if it were queued now. */
function estimateWaitMs(row: EndpointRow, service: ServiceDeclaration): number {
  return ((row.waiting + 1) * row.meanServiceMs) / service.maxInFlightPerEndpoint;
}

/** Handles an assignment as the owner of its first candidate. */
export function handleAssign(world: World, assign: AssignFrame): void {
  const [first] = assign.candidates;
  const row = first === undefined ? undefined : world.endpoints.get(first);
  if (row === undefined) return tryNextCandidate(world, assign, 'noEndpoint');
  if (row.ownerId !== world.self.boxId) return forwardAssignment(world, row, assign);
  applyObservedLoads(world, assign.observed);
  const reason = findRefusalReason(world, row, assign);
  if (reason === 'overBound') return tryNextCandidate(world, addObservedLoad(world, row, assign), reason);
  if (reason !== undefined) return tryNextCandidate(world, assign, reason);
  acceptOrForwardCall(world, row, assign);
}

/** Adds this engine's exact load to the loads sent along to the owners of the next candidates. */
function addObservedLoad(world: World, row: EndpointRow, assign: AssignFrame): AssignFrame {
  const others = assign.observed.filter(([id]) => id !== row.id);
  const passed = [...assign.passed.filter((id) => id !== row.id), row.id];
  return { ...assign, passed, observed: [...others, [row.id, readLoad(world, row)]] };
}

/** Forwards an assignment for an endpoint that another box owns in this box's view, as happens while lists differ. */
function forwardAssignment(world: World, row: EndpointRow, assign: AssignFrame): void {
  if (row.ownerId === undefined || assign.hops >= world.settings.maxHops) {
    return tryNextCandidate(world, assign, 'noEndpoint');
  }
  count(world, 'placement.forwarded');
  sendAssignment(world, row, assign);
}

function acceptOrForwardCall(world: World, row: EndpointRow, assign: AssignFrame): void {
  const service = world.declared?.services.get(assign.head.service);
  if (service === undefined) return tryNextCandidate(world, assign, 'noEndpoint');
  const startsNow = row.waiting === 0 && canStart(world, row, service, assign.head.team);
  const waitMs = startsNow ? 0 : estimateWaitMs(row, service);
  if (waitMs > 0 && assign.candidates.length > 1) return tryNextCandidate(world, assign, 'overloaded');
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
  reportAcceptance(world, row, assign);
  if (startsNow) return startCall(world, row, call);
  enqueueCall(row, call);
  world.dirtyEndpoints.add(row);
}

function reportAcceptance(world: World, row: EndpointRow, assign: AssignFrame): void {
  const { requestId, attempt, entry, home, head } = assign;
  const loads = listOwnedLoads(world);
  sendToBox(world, entry, { type: 'accepted', requestId, attempt, endpoint: row.id, loads });
  // The home box has already recorded its first choice.
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

/** Removes a call from the tables; the endpoint may then be able to start another. */
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

/** Removes a call that its entry box no longer needs; one that is running is also cancelled at the endpoint. */
export function cancelCall(world: World, key: string): void {
  const call = removeCall(world, key);
  if (call === undefined || call.phase === 'waiting') return;
  const { requestId, attempt } = call.assign;
  emit(world, { type: 'cancelCall', requestId, attempt });
}

/** Forwards a call that was never sent to its endpoint to the next candidate. */
export function rerouteUnsentCall(world: World, call: CallRow): void {
  const remainingMs = call.deadlineMs - world.nowMs;
  const assign = { ...call.assign, head: { ...call.assign.head, remainingMs } };
  if (remainingMs <= 0) return refuseAttempt(world, assign, 'deadlineTooShort', 'no');
  tryNextCandidate(world, assign, 'connectFailed');
}

function startWaitingCalls(world: World, row: EndpointRow): void {
  let call = pickNextCall(world, row);
  while (call !== undefined) {
    dequeueCall(row, call);
    startCall(world, row, call);
    call = pickNextCall(world, row);
  }
}

/** Starts queued calls at endpoints whose capacity or queue has changed. */
export function runAdmission(world: World): void {
  for (const row of world.dirtyEndpoints) {
    if (row.waiting > 0) startWaitingCalls(world, row);
  }
  world.dirtyEndpoints.clear();
}

/** Refuses or reroutes queued calls that can no longer start, and cancels calls whose entry box is gone. */
export function sweepCalls(world: World, isEntryGone: (entry: BoxId) => boolean): void {
  for (const [key, call] of world.calls) {
    if (isEntryGone(call.assign.entry)) cancelOrphan(world, key, call);
    else if (call.phase === 'waiting') sweepWaiting(world, key, call);
  }
}

/** A running call of a plain service is left to complete, since a cancellation would not undo its effects. */
function cancelOrphan(world: World, key: string, call: CallRow): void {
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
  rerouteUnsentCall(world, call);
}
