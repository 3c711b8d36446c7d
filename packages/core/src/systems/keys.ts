/**
 * Keys: calls that may not be repeated run at most once. The owner of a key judges every ask under it.
 */
import type { KeyedFrame, KeysFrame } from '../frames.js';
import { parseCallKey } from '../callKey.js';
import type { CallKey, TicketKey, TimedKey } from '../callKey.js';
import type { BoxId } from '../records.js';
import type { Ran, ResultCode } from '../resultCodes.js';
import type { KeyAsker, KeyRow, KeyState } from '../tables/keys.js';
import type { RequestRow } from '../tables/requests.js';
import type { World } from '../world.js';
import { emit } from '../world.js';
import { refuseAttempt, sendToBox } from './admission.js';
import { startOwnedRequest } from './entry.js';
import { holdKey, takeReleasedKeys } from './heldKeys.js';
import type { KeyDoubt } from './keyDoubt.js';
import { findListDoubt, noteDoubt } from './keyDoubt.js';
import { findOwner, readOwnedSinceMs, readOwnershipMarginMs } from './ownership.js';
import { listOwnLoads } from './stewardship.js';

/** What an owner does with a key that it has no row for. */
export type KeyVerdict =
  | { readonly type: 'run' }
  | { readonly type: 'refuse'; readonly code: ResultCode; readonly ran: Ran }
  /** This box cannot tell: another may have run it, or may yet. */
  | { readonly type: 'doubt'; readonly doubt: KeyDoubt };

const RUN: KeyVerdict = { type: 'run' };

function refuse(code: ResultCode, ran: Ran): KeyVerdict {
  return { type: 'refuse', code, ran };
}

/** Only the run of the box that issued a ticket may run it; needs no list, lease or clock. */
function judgeTicket(world: World, key: TicketKey): KeyVerdict {
  const { boxId, incarnation } = world.self;
  if (key.boxId !== boxId || key.incarnation !== incarnation) return refuse('keyUnknown', 'unknown');
  if (key.serial <= world.forgottenSerial) return refuse('keyUnknown', 'unknown');
  return world.stop.type === 'running' ? RUN : refuse('stopping', 'no');
}

function judgeTimed(world: World, text: string, key: TimedKey): KeyVerdict {
  const { keySkewMs, clockErrorMs, keyRetentionMs } = world.settings;
  const aheadMs = key.timeMs - world.nowMs;
  // No box can have run it yet, even one whose clock is ahead of this one's.
  if (aheadMs > keySkewMs + 2 * clockErrorMs) return refuse('keyAhead', 'no');
  const doubt = findDoubt(world, text, aheadMs);
  if (doubt !== undefined) return { type: 'doubt', doubt };
  const isForgotten = key.timeMs <= Math.max(world.forgottenTimeMs, world.nowMs - keyRetentionMs);
  const isOlder = key.timeMs <= readOwnedSinceMs(world, text) + readOwnershipMarginMs(world);
  if (isForgotten || isOlder) return refuse('keyUnknown', 'unknown');
  return world.stop.type === 'running' ? RUN : refuse('stopping', 'no');
}

function findDoubt(world: World, text: string, aheadMs: number): KeyDoubt | undefined {
  if (aheadMs > world.settings.keySkewMs) return { type: 'keyAhead', aheadMs };
  // Once the keys are ceded a successor may run them.
  if (world.stop.type === 'stopped') return { type: 'ceded' };
  const owner = findOwner(world, text);
  return owner === world.self.boxId ? findListDoubt(world) : { type: 'otherOwner', owner };
}

/**
 * Judges a key that this box has no row for.
 *
 * @example judgeKey(world, 'ticket.box-01.k3.7', { type: 'ticket', boxId: 'box-01', incarnation: 'k3', serial: 7 })
 */
export function judgeKey(world: World, text: string, key: CallKey): KeyVerdict {
  switch (key.type) {
    case 'ticket':
      return judgeTicket(world, key);
    case 'timed':
      return judgeTimed(world, text, key);
  }
}

/** The box that judges a key, in this box's view. */
export function findJudge(world: World, text: string): BoxId | undefined {
  const key = parseCallKey(text);
  if (key === undefined) return undefined;
  return key.type === 'ticket' ? key.boxId : findOwner(world, text);
}

/** Acts as a key's owner on an ask for it. */
export function handleKeyed(world: World, frame: KeyedFrame): void {
  judgeAsk(world, frame, true);
}

function judgeAsk(world: World, frame: KeyedFrame, mayWait: boolean): void {
  const { requestId, attempt, entry, head } = frame;
  const asker: KeyAsker = { requestId, attempt, entry };
  const text = head.key ?? '';
  const row = world.keys.get(text);
  if (row !== undefined) return answerFromRow(world, row, asker, head.service);
  const key = parseCallKey(text);
  if (key === undefined) return refuseAttempt(world, asker, 'keyMalformed', 'no');
  const verdict = judgeKey(world, text, key);
  switch (verdict.type) {
    case 'run':
      return runKeyedCall(world, frame, asker, text);
    case 'refuse':
      return refuseAttempt(world, asker, verdict.code, verdict.ran);
    case 'doubt':
      if (mayWait && holdKey(world, frame, verdict.doubt)) return;
      noteDoubt(world, text, verdict.doubt);
      return refuseAttempt(world, asker, 'keyUnsure', 'unknown');
  }
}

function runKeyedCall(world: World, frame: KeyedFrame, asker: KeyAsker, key: string): void {
  world.ownedRequests += 1;
  const { boxId, incarnation } = world.self;
  const requestId = `${boxId}.${incarnation}.k${world.ownedRequests}`;
  const { service } = frame.head;
  const row: KeyRow = {
    key,
    service,
    requestId,
    state: { type: 'running' },
    askers: [],
    createdMs: world.nowMs,
  };
  world.keys.set(key, row);
  attach(world, row, asker);
  emit(world, { type: 'openKeyed', requestId });
  startOwnedRequest(world, requestId, frame.head);
}

/** The entry box is told that its request is in hand; the answer follows when the call is done. */
function attach(world: World, row: KeyRow, asker: KeyAsker): void {
  const { requestId, attempt, entry } = asker;
  row.askers.push(asker);
  const loads = listOwnLoads(world);
  sendToBox(world, entry, { type: 'accepted', requestId, attempt, endpoint: world.self.boxId, loads });
}

function answerFromRow(world: World, row: KeyRow, asker: KeyAsker, service: string): void {
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
  for (const asker of row.askers) emit(world, { type: 'deliverKeyed', keyedRequestId: row.requestId, asker });
  row.askers = [];
}

function findRow(world: World, request: RequestRow): KeyRow | undefined {
  const row = world.keys.get(request.head.key ?? '');
  return row?.requestId === request.id ? row : undefined;
}

/** The owner's own request has its whole answer. */
export function settleAnswered(world: World, request: RequestRow): void {
  const row = findRow(world, request);
  if (row === undefined) return;
  row.state = { type: 'done' };
  deliver(world, row);
}

/** The owner's own request ended in a refusal. Only a call that did not run frees its key. */
export function settleRefused(world: World, request: RequestRow, code: ResultCode, ran: Ran): void {
  const row = findRow(world, request);
  if (row === undefined) return;
  const { askers } = row;
  row.askers = [];
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
  const key = parseCallKey(row.key);
  if (key?.type === 'ticket') world.forgottenSerial = Math.max(world.forgottenSerial, key.serial);
  if (key?.type === 'timed') world.forgottenTimeMs = Math.max(world.forgottenTimeMs, key.timeMs);
}

/** What a successor may know of a row: that it ran, or that it may have. Answers stay behind. */
function toHandedState(state: KeyState): 'answerGone' | 'unknown' {
  return state.type === 'done' || state.type === 'answerGone' ? 'answerGone' : 'unknown';
}

/** Hands the table to the boxes of the own hall, with the word that this box runs no more keys. */
export function cedeKeys(world: World): void {
  const successors = world.epochs.at(-1)?.members.get(world.self.hall) ?? [];
  const sinceMs = world.epochs.at(-1)?.atMs ?? world.nowMs;
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
    const row = { key, service, requestId: '', state: { type: state }, askers: [], createdMs: world.nowMs };
    world.keys.set(key, row);
  }
  const { incarnation, atMs, sinceMs, listVersion } = frame;
  world.ownershipChanged = true;
  world.cessions.set(from, { boxId: from, incarnation, atMs, sinceMs, listVersion });
}
