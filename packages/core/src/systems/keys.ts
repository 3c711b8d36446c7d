/**
 * Keys: calls that may not be repeated run at most once. The owner of a key judges every ask under it.
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

/** What an owner does with a key that it has no row for. */
export type KeyDecision =
  | { readonly type: 'run' }
  | { readonly type: 'refuse'; readonly code: ResultCode; readonly ran: Ran }
  /** This box cannot tell: another may have run it, or may yet. */
  | { readonly type: 'doubt'; readonly doubt: KeyUncertainty };

const RUN: KeyDecision = { type: 'run' };

function refuse(code: ResultCode, ran: Ran): KeyDecision {
  return { type: 'refuse', code, ran };
}

/** Only the run of the box that issued a ticket may run it; needs no list, lease or clock. */
function judgeTicket(world: World, key: TicketKey): KeyDecision {
  const { boxId, incarnation } = world.self;
  if (key.boxId !== boxId || key.incarnation !== incarnation) return refuse('keyUnknown', 'unknown');
  if (key.serial <= world.evictedUpToSerial) return refuse('keyUnknown', 'unknown');
  return world.stop.type === 'running' ? RUN : refuse('stopping', 'no');
}

function judgeTimed(world: World, text: string, key: TimedKey): KeyDecision {
  const { keySkewMs, clockErrorMs, keyRetentionMs } = world.settings;
  const aheadMs = key.timeMs - world.nowMs;
  // No box can have run it yet, even one whose clock is ahead of this one's.
  if (aheadMs > keySkewMs + 2 * clockErrorMs) return refuse('keyAhead', 'no');
  const doubt = findDoubt(world, text, aheadMs);
  if (doubt !== undefined) return { type: 'doubt', doubt };
  const isForgotten = key.timeMs <= Math.max(world.evictedUpToTimeMs, world.nowMs - keyRetentionMs);
  const isOlder = key.timeMs <= readOwnedSinceMs(world, text) + readOwnershipMarginMs(world);
  if (isForgotten || isOlder) return refuse('keyUnknown', 'unknown');
  return world.stop.type === 'running' ? RUN : refuse('stopping', 'no');
}

function findDoubt(world: World, text: string, aheadMs: number): KeyUncertainty | undefined {
  if (aheadMs > world.settings.keySkewMs) return { type: 'keyAhead', aheadMs };
  // Once the keys are ceded a successor may run them.
  if (world.stop.type === 'stopped') return { type: 'ceded' };
  const owner = findTimedKeyOwner(world, text);
  return owner === world.self.boxId ? findListUncertainty(world) : { type: 'otherOwner', owner };
}

/**
 * Judges a key that this box has no row for.
 *
 * @example judgeKey(world, 'ticket.box-01.k3.7', { type: 'ticket', boxId: 'box-01', incarnation: 'k3', serial: 7 })
 */
export function decideKey(world: World, text: string, key: IdempotencyKey): KeyDecision {
  switch (key.type) {
    case 'ticket':
      return judgeTicket(world, key);
    case 'timed':
      return judgeTimed(world, text, key);
  }
}

/** The box that judges a key, in this box's view. */
export function findDecidingBox(world: World, text: string): BoxId | undefined {
  const key = parseIdempotencyKey(text);
  if (key === undefined) return undefined;
  return key.type === 'ticket' ? key.boxId : findTimedKeyOwner(world, text);
}

/** Acts as a key's owner on an ask for it. */
export function handleKeyed(world: World, frame: KeyedFrame): void {
  judgeAsk(world, frame, true);
}

function judgeAsk(world: World, frame: KeyedFrame, mayWait: boolean): void {
  const { requestId, attempt, entry, head } = frame;
  const asker: KeyRequester = { requestId, attempt, entry };
  const text = head.key ?? '';
  const row = world.keys.get(text);
  if (row !== undefined) return answerFromRow(world, row, asker, head.service);
  const key = parseIdempotencyKey(text);
  if (key === undefined) return refuseAttempt(world, asker, 'keyMalformed', 'no');
  const verdict = decideKey(world, text, key);
  switch (verdict.type) {
    case 'run':
      return runKeyedCall(world, frame, asker, text);
    case 'refuse':
      return refuseAttempt(world, asker, verdict.code, verdict.ran);
    case 'doubt':
      if (mayWait && holdKey(world, frame, verdict.doubt)) return;
      reportUncertainty(world, text, verdict.doubt);
      return refuseAttempt(world, asker, 'keyUnsure', 'unknown');
  }
}

function runKeyedCall(world: World, frame: KeyedFrame, asker: KeyRequester, key: string): void {
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
  attach(world, row, asker);
  emit(world, { type: 'openKeyed', requestId });
  startKeyOwnerRequest(world, requestId, frame.head);
}

/** The entry box is told that its request is in hand; the answer follows when the call is done. */
function attach(world: World, row: KeyRow, asker: KeyRequester): void {
  const { requestId, attempt, entry } = asker;
  row.requesters.push(asker);
  const loads = listOwnedLoads(world);
  sendToBox(world, entry, { type: 'accepted', requestId, attempt, endpoint: world.self.boxId, loads });
}

function answerFromRow(world: World, row: KeyRow, asker: KeyRequester, service: string): void {
  if (row.service !== service) return refuseAttempt(world, asker, 'keyReused', 'no');
  switch (row.state.type) {
    case 'running':
      return attach(world, row, asker);
    case 'done':
      attach(world, row, asker);
      return deliver(world, row);
    case 'answerGone':
      return refuseAttempt(world, asker, 'keyAnswerGone', 'unknown');
    case 'unknown':
      return refuseAttempt(world, asker, 'keyUnknown', 'unknown');
  }
}

function deliver(world: World, row: KeyRow): void {
  for (const asker of row.requesters)
    emit(world, { type: 'deliverKeyed', keyedRequestId: row.requestId, requester: asker });
  row.requesters = [];
}

function findRow(world: World, request: RequestRow): KeyRow | undefined {
  const row = world.keys.get(request.head.key ?? '');
  return row?.requestId === request.id ? row : undefined;
}

/** The owner's own request has its whole answer. */
export function completeKeyedCall(world: World, request: RequestRow): void {
  const row = findRow(world, request);
  if (row === undefined) return;
  row.state = { type: 'done' };
  deliver(world, row);
}

/** The owner's own request ended in a refusal. Only a call that did not run frees its key. */
export function failKeyedCall(world: World, request: RequestRow, code: ResultCode, ran: Ran): void {
  const row = findRow(world, request);
  if (row === undefined) return;
  const { requesters: askers } = row;
  row.requesters = [];
  if (ran === 'no') world.keys.delete(row.key);
  else row.state = { type: 'unknown' };
  for (const asker of askers) refuseAttempt(world, asker, code, ran);
}

/** Judges what waited for the platform, and forgets rows past their retention. */
export function sweepKeys(world: World): void {
  for (const frame of takeReleasedKeys(world)) judgeReleased(world, frame);
  forgetOldRows(world);
}

/** A caller whose time passed meanwhile has its answer: the call must not run after it. */
function judgeReleased(world: World, frame: KeyedFrame): void {
  if (frame.head.remainingMs <= 0) return refuseAttempt(world, frame, 'deadlineTooShort', 'no');
  judgeAsk(world, frame, false);
}

/** Forgets rows past their retention, and remembers up to where it forgot. */
function forgetOldRows(world: World): void {
  const { keyRetentionMs } = world.settings;
  for (const row of world.keys.values()) {
    // Rows stand in the order in which they were made.
    if (world.nowMs - row.createdMs <= 2 * keyRetentionMs) return;
    if (row.state.type !== 'running') forgetKey(world, row);
  }
}

function forgetKey(world: World, row: KeyRow): void {
  world.keys.delete(row.key);
  emit(world, { type: 'forgetKeyed', keyedRequestId: row.requestId });
  const key = parseIdempotencyKey(row.key);
  if (key?.type === 'ticket') world.evictedUpToSerial = Math.max(world.evictedUpToSerial, key.serial);
  if (key?.type === 'timed') world.evictedUpToTimeMs = Math.max(world.evictedUpToTimeMs, key.timeMs);
}

/** What a successor may know of a row: that it ran, or that it may have. Answers stay behind. */
function toHandedState(state: KeyState): 'answerGone' | 'unknown' {
  return state.type === 'done' || state.type === 'answerGone' ? 'answerGone' : 'unknown';
}

/** Hands the table to the boxes of the own hall, with the word that this box runs no more keys. */
export function handOverKeys(world: World): void {
  const successors = world.keyOwnershipEpochs.at(-1)?.members.get(world.self.hall) ?? [];
  const sinceMs = world.keyOwnershipEpochs.at(-1)?.atMs ?? world.nowMs;
  const entries = [...world.keys.values()].map(
    (row) => [row.key, row.service, toHandedState(row.state)] as const,
  );
  const { incarnation } = world.self;
  const listVersion = world.values.boxes.stamp[0];
  const word = { type: 'keys', incarnation, atMs: world.nowMs, sinceMs, listVersion } as const;
  for (const to of world.live.all) {
    const frame: KeysFrame = { ...word, entries: successors.includes(to) ? entries : [] };
    emit(world, { type: 'send', to, frame });
  }
}

/** Takes over a stopping box's keys. */
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
