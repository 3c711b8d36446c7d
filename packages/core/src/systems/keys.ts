/**
 * Keys: calls that may not be repeated run at most once. One box, the owner of the key or the issuer of the ticket,
 * decides on every request with that key.
 */
import type { KeyedFrame, KeysFrame } from '../frames.js';
import { parseIdempotencyKey } from '../idempotencyKey.js';
import type { IdempotencyKey, TicketKey, TimedKey } from '../idempotencyKey.js';
import type { BoxId } from '../records.js';
import type { Ran, ResultCode } from '../resultCodes.js';
import type { KeyRequester, KeyRow, KeyState } from '../tables/keys.js';
import type { RequestRow } from '../tables/requests.js';
import type { World } from '../world.js';
import { emit } from '../world.js';
import { refuseAttempt, sendToBox } from './admission.js';
import { startKeyOwnerRequest } from './entry.js';
import { holdKey, takeReleasedKeys } from './heldKeys.js';
import type { KeyUncertainty } from './keyUncertainty.js';
import { findListUncertainty, reportUncertainty } from './keyUncertainty.js';
import { findTimedKeyOwner, readOwnedSinceMs, readOwnershipMarginMs } from './keyOwnership.js';
import { listOwnedLoads } from './endpointOwnership.js';

/** The decision on a key that this box has no row for. */
export type KeyDecision =
  | { readonly type: 'run' }
  | { readonly type: 'refuse'; readonly code: ResultCode; readonly ran: Ran }
  /** This box cannot decide: another box may have run the call, or may run it. */
  | { readonly type: 'uncertain'; readonly uncertainty: KeyUncertainty };

const RUN: KeyDecision = { type: 'run' };

function refuse(code: ResultCode, ran: Ran): KeyDecision {
  return { type: 'refuse', code, ran };
}

/** Only the incarnation of the box that issued a ticket may run its call; this needs no list, lease or clock. */
function decideTicket(world: World, key: TicketKey): KeyDecision {
  const { boxId, incarnation } = world.self;
  if (key.boxId !== boxId || key.incarnation !== incarnation) return refuse('keyUnknown', 'unknown');
  if (key.serial <= world.evictedUpToSerial) return refuse('keyUnknown', 'unknown');
  return world.stop.type === 'running' ? RUN : refuse('stopping', 'no');
}

function decideTimed(world: World, text: string, key: TimedKey): KeyDecision {
  const { keySkewMs, clockErrorMs, keyRetentionMs } = world.settings;
  const aheadMs = key.timeMs - world.nowMs;
  // No box can have run the call yet, not even one whose clock is ahead of this box's.
  if (aheadMs > keySkewMs + 2 * clockErrorMs) return refuse('keyAhead', 'no');
  const uncertainty = findUncertainty(world, text, aheadMs);
  if (uncertainty !== undefined) return { type: 'uncertain', uncertainty };
  const isForgotten = key.timeMs <= Math.max(world.evictedUpToTimeMs, world.nowMs - keyRetentionMs);
  const isOlder = key.timeMs <= readOwnedSinceMs(world, text) + readOwnershipMarginMs(world);
  if (isForgotten || isOlder) return refuse('keyUnknown', 'unknown');
  return world.stop.type === 'running' ? RUN : refuse('stopping', 'no');
}

function findUncertainty(world: World, text: string, aheadMs: number): KeyUncertainty | undefined {
  if (aheadMs > world.settings.keySkewMs) return { type: 'keyAhead', aheadMs };
  // After the handover, another box may run calls with these keys.
  if (world.stop.type === 'stopped') return { type: 'ceded' };
  const owner = findTimedKeyOwner(world, text);
  return owner === world.self.boxId ? findListUncertainty(world) : { type: 'otherOwner', owner };
}

/**
 * Decides on a key that this box has no row for.
 *
 * @example decideKey(world, 'ticket.box-01.k3.7', { type: 'ticket', boxId: 'box-01', incarnation: 'k3', serial: 7 })
 */
export function decideKey(world: World, text: string, key: IdempotencyKey): KeyDecision {
  switch (key.type) {
    case 'ticket':
      return decideTicket(world, key);
    case 'timed':
      return decideTimed(world, text, key);
  }
}

/** Returns the box that decides on a key, in this box's view: the issuer of a ticket, the owner of a timed key. */
export function findDecidingBox(world: World, text: string): BoxId | undefined {
  const key = parseIdempotencyKey(text);
  if (key === undefined) return undefined;
  return key.type === 'ticket' ? key.boxId : findTimedKeyOwner(world, text);
}

/** Handles a request with a key that this box decides on. */
export function handleKeyed(world: World, frame: KeyedFrame): void {
  decideRequest(world, frame, true);
}

function decideRequest(world: World, frame: KeyedFrame, mayWait: boolean): void {
  const { requestId, attempt, entry, head } = frame;
  const requester: KeyRequester = { requestId, attempt, entry };
  const text = head.key ?? '';
  const row = world.keys.get(text);
  if (row !== undefined) return respondFromRow(world, row, requester, head.service);
  const key = parseIdempotencyKey(text);
  if (key === undefined) return refuseAttempt(world, requester, 'keyMalformed', 'no');
  const decision = decideKey(world, text, key);
  switch (decision.type) {
    case 'run':
      return runKeyedCall(world, frame, requester, text);
    case 'refuse':
      return refuseAttempt(world, requester, decision.code, decision.ran);
    case 'uncertain':
      if (mayWait && holdKey(world, frame, decision.uncertainty)) return;
      reportUncertainty(world, text, decision.uncertainty);
      return refuseAttempt(world, requester, 'keyUnsure', 'unknown');
  }
}

function runKeyedCall(world: World, frame: KeyedFrame, requester: KeyRequester, key: string): void {
  world.keyedCallCount += 1;
  const { boxId, incarnation } = world.self;
  const requestId = `${boxId}.${incarnation}.k${world.keyedCallCount}`;
  const { service } = frame.head;
  const row: KeyRow = {
    key,
    service,
    requestId,
    state: { type: 'running' },
    requesters: [],
    createdMs: world.nowMs,
  };
  world.keys.set(key, row);
  attachRequester(world, row, requester);
  emit(world, { type: 'openKeyed', requestId });
  startKeyOwnerRequest(world, requestId, frame.head);
}

/** Reports the request as accepted to its entry box; the response is sent when the call is complete. */
function attachRequester(world: World, row: KeyRow, requester: KeyRequester): void {
  const { requestId, attempt, entry } = requester;
  row.requesters.push(requester);
  const loads = listOwnedLoads(world);
  sendToBox(world, entry, { type: 'accepted', requestId, attempt, endpoint: world.self.boxId, loads });
}

function respondFromRow(world: World, row: KeyRow, requester: KeyRequester, service: string): void {
  if (row.service !== service) return refuseAttempt(world, requester, 'keyReused', 'no');
  switch (row.state.type) {
    case 'running':
      return attachRequester(world, row, requester);
    case 'done':
      attachRequester(world, row, requester);
      return deliverResponse(world, row);
    case 'answerGone':
      return refuseAttempt(world, requester, 'keyAnswerGone', 'unknown');
    case 'unknown':
      return refuseAttempt(world, requester, 'keyUnknown', 'unknown');
  }
}

function deliverResponse(world: World, row: KeyRow): void {
  for (const requester of row.requesters)
    emit(world, { type: 'deliverKeyed', keyedRequestId: row.requestId, requester });
  row.requesters = [];
}

function findRow(world: World, request: RequestRow): KeyRow | undefined {
  const row = world.keys.get(request.head.key ?? '');
  return row?.requestId === request.id ? row : undefined;
}

/** Handles the complete response of a request that this box runs as a key's owner. */
export function completeKeyedCall(world: World, request: RequestRow): void {
  const row = findRow(world, request);
  if (row === undefined) return;
  row.state = { type: 'done' };
  deliverResponse(world, row);
}

/**
 * Handles the refusal of a request that this box runs as a key's owner. The key may be used again only if the call did
 * not run.
 */
export function failKeyedCall(world: World, request: RequestRow, code: ResultCode, ran: Ran): void {
  const row = findRow(world, request);
  if (row === undefined) return;
  const { requesters } = row;
  row.requesters = [];
  if (ran === 'no') world.keys.delete(row.key);
  else row.state = { type: 'unknown' };
  for (const requester of requesters) refuseAttempt(world, requester, code, ran);
}

/** Decides on held requests that need not wait any longer, and evicts rows past their retention. */
export function sweepKeys(world: World): void {
  for (const frame of takeReleasedKeys(world)) decideReleased(world, frame);
  evictOldRows(world);
}

/**
 * A caller whose deadline passed while its request was held has been sent a refusal: the call must not run after that.
 */
function decideReleased(world: World, frame: KeyedFrame): void {
  if (frame.head.remainingMs <= 0) return refuseAttempt(world, frame, 'deadlineTooShort', 'no');
  decideRequest(world, frame, false);
}

/** Evicts rows past their retention, and records up to which serial and time rows were evicted. */
function evictOldRows(world: World): void {
  const { keyRetentionMs } = world.settings;
  for (const row of world.keys.values()) {
    // The map keeps rows in the order of their creation.
    if (world.nowMs - row.createdMs <= 2 * keyRetentionMs) return;
    if (row.state.type !== 'running') evictKey(world, row);
  }
}

function evictKey(world: World, row: KeyRow): void {
  world.keys.delete(row.key);
  emit(world, { type: 'forgetKeyed', keyedRequestId: row.requestId });
  const key = parseIdempotencyKey(row.key);
  if (key?.type === 'ticket') world.evictedUpToSerial = Math.max(world.evictedUpToSerial, key.serial);
  if (key?.type === 'timed') world.evictedUpToTimeMs = Math.max(world.evictedUpToTimeMs, key.timeMs);
}

/** State that is handed over: the call ran, or it may have run. Stored responses are not handed over. */
function toHandedOverState(state: KeyState): 'answerGone' | 'unknown' {
  return state.type === 'done' || state.type === 'answerGone' ? 'answerGone' : 'unknown';
}

/**
 * Notifies all live boxes that this box runs no more keyed calls, and hands its table over to the boxes of its hall.
 */
export function handOverKeys(world: World): void {
  const successors = world.keyOwnershipEpochs.at(-1)?.members.get(world.self.hall) ?? [];
  const sinceMs = world.keyOwnershipEpochs.at(-1)?.atMs ?? world.nowMs;
  const entries = [...world.keys.values()].map(
    (row) => [row.key, row.service, toHandedOverState(row.state)] as const,
  );
  const { incarnation } = world.self;
  const listVersion = world.values.boxes.stamp[0];
  const handover = { type: 'keys', incarnation, atMs: world.nowMs, sinceMs, listVersion } as const;
  for (const to of world.live.all) {
    const frame: KeysFrame = { ...handover, entries: successors.includes(to) ? entries : [] };
    emit(world, { type: 'send', to, frame });
  }
}

/** Applies the key handover of a stopping box. */
export function handleKeys(world: World, from: BoxId, frame: KeysFrame): void {
  for (const [key, service, state] of frame.entries) {
    if (world.keys.has(key)) continue;
    const row = {
      key,
      service,
      requestId: '',
      state: { type: state },
      requesters: [],
      createdMs: world.nowMs,
    };
    world.keys.set(key, row);
  }
  const { incarnation, atMs, sinceMs, listVersion } = frame;
  world.keyOwnershipChanged = true;
  world.keyHandovers.set(from, { boxId: from, incarnation, atMs, sinceMs, listVersion });
}
