/**
 * Entry: the life cycle of a caller's request at its entry box, from its arrival to its response or refusal.
 */
import type {
  AcceptedFrame,
  AssignFrame,
  AttemptRef,
  PlaceFrame,
  RefusedFrame,
  RequestHead,
} from '../frames.js';
import type { RetryReason } from '../effects.js';
import type { BoxId, ServiceDeclaration } from '../records.js';
import type { Ran, ResultCode } from '../resultCodes.js';
import type { RequestRow } from '../tables/requests.js';
import type { World } from '../world.js';
import { count, emit } from '../world.js';
import { refuseAttempt, routeAssignment, sendToBox, spreadRetryAfter } from './admission.js';
import { parseIdempotencyKey } from '../idempotencyKey.js';
import { directoryKey, findHomeBox } from './chatDirectory.js';
import { isReady } from './configuration.js';
import { reportUncertainty } from './keyUncertainty.js';
import { findDecidingBox, completeKeyedCall, failKeyedCall } from './keys.js';
import { isReachable } from './membership.js';
import { buildAssignment } from './placement.js';
import { replenishRetryBudget, scheduleRetry } from './retry.js';
import { applyReportedLoads } from './endpointOwnership.js';

/** Refusals by the owner of a key that are final: a retry would get the same one. */
const FINAL_KEY_CODES: ReadonlySet<ResultCode> = new Set([
  'keyUnknown',
  'keyUnsure',
  'keyAnswerGone',
  'answerTooLarge',
]);

/** Ends a request with a final refusal. */
export function refuseRequest(
  world: World,
  requestId: string,
  code: ResultCode,
  ran: Ran,
  retryAfterMs: number,
): void {
  const row = world.requests.get(requestId);
  world.requests.delete(requestId);
  count(world, `refusal.${code}`);
  if (row?.isKeyOwner === true) failKeyedCall(world, row, code, ran);
  emit(world, { type: 'refuseCaller', requestId, refusal: { code, ran, retryAfterMs } });
}

function findRefusalCode(world: World, head: RequestHead): ResultCode | undefined {
  if (world.stop.type !== 'running') return 'stopping';
  if (!isReady(world) || world.declared === undefined) return 'notReady';
  if (!world.declared.teams.has(head.team)) return 'unknownTeam';
  if (world.declared.services.get(head.service)?.kind === head.kind) return undefined;
  return head.kind === 'model' ? 'unknownModel' : 'unknownService';
}

/** Accepts a caller's request, or refuses it immediately. */
export function handleCallerRequest(world: World, requestId: string, head: RequestHead): void {
  const code = findRefusalCode(world, head);
  const service = world.declared?.services.get(head.service);
  if (code !== undefined || service === undefined) {
    return refuseRequest(world, requestId, code ?? 'unknownService', 'no', spreadRetryAfter(world, 0));
  }
  startRequest(world, requestId, head, service, false);
}

/** Starts the request with which this box, as the owner of a key, runs the call. */
export function startKeyOwnerRequest(world: World, requestId: string, head: RequestHead): void {
  const service = world.declared?.services.get(head.service);
  if (service === undefined) return;
  startRequest(world, requestId, head, service, true);
}

function startRequest(
  world: World,
  requestId: string,
  head: RequestHead,
  service: ServiceDeclaration,
  isKeyOwner: boolean,
): void {
  const row: RequestRow = {
    id: requestId,
    head,
    service,
    attempt: 1,
    phase: 'placing',
    arrivedMs: world.nowMs,
    deadlineMs: world.nowMs + (head.remainingMs > 0 ? head.remainingMs : service.defaultDeadlineMs),
    placedMs: world.nowMs,
    retryAtMs: 0,
    targetBox: undefined,
    endpointId: undefined,
    responseStarted: false,
    isKeyOwner,
    bodyTaken: false,
  };
  world.requests.set(requestId, row);
  placeRequest(world, row);
}

/** Starts an attempt. The chat's home box chooses the engines of the first attempt, this box those of later ones. */
export function placeRequest(world: World, row: RequestRow): void {
  row.phase = 'placing';
  row.placedMs = world.nowMs;
  row.endpointId = undefined;
  const ref = { requestId: row.id, attempt: row.attempt };
  const head = { ...row.head, remainingMs: row.deadlineMs - world.nowMs };
  if (isDecidedByKeyOwner(row)) return sendToDecidingBox(world, row, head);
  const home = usesDirectory(world, row.service) ? findHomeBox(world, head.service, head.chat) : undefined;
  const isRemote = home !== undefined && home !== world.self.boxId && row.attempt === 1;
  if (!isRemote) return assignRequest(world, ref, world.self.boxId, home ?? '', head, row);
  row.targetBox = home;
  emit(world, { type: 'send', to: home, frame: { type: 'place', ...ref, entry: world.self.boxId, head } });
}

/** Whether the owner of the request's key decides if the call may run. */
function isDecidedByKeyOwner(row: RequestRow): boolean {
  const isNever = row.service.kind === 'plain' && row.service.repeat === 'never';
  return isNever && row.head.key !== undefined && !row.isKeyOwner;
}

function sendToDecidingBox(world: World, row: RequestRow, head: RequestHead): void {
  const key = head.key ?? '';
  const retryAfterMs = spreadRetryAfter(world, 0);
  if (parseIdempotencyKey(key) === undefined)
    return refuseRequest(world, row.id, 'keyMalformed', 'no', retryAfterMs);
  const decidingBox = findDecidingBox(world, key);
  const isTicketOfUnknownBox =
    decidingBox !== undefined && decidingBox !== world.self.boxId && !world.boxes.has(decidingBox);
  if (decidingBox === undefined) {
    reportUncertainty(world, key, { type: 'otherOwner', owner: undefined });
    return refuseRequest(world, row.id, 'keyUnsure', 'unknown', retryAfterMs);
  }
  if (isTicketOfUnknownBox) return refuseRequest(world, row.id, 'keyUnknown', 'unknown', retryAfterMs);
  row.targetBox = decidingBox;
  const entry = world.self.boxId;
  sendToBox(world, decidingBox, { type: 'keyed', requestId: row.id, attempt: row.attempt, entry, head });
}

function usesDirectory(world: World, service: ServiceDeclaration): boolean {
  return service.kind === 'model' && world.settings.policy.type === 'steward';
}

function assignRequest(
  world: World,
  ref: AttemptRef,
  entry: BoxId,
  home: BoxId,
  head: RequestHead,
  row: RequestRow,
): void {
  const assign = buildAssignment(world, ref, entry, home, head, row.service);
  const [first] = assign.candidates;
  if (home === world.self.boxId) recordFirstChoice(world, assign);
  row.targetBox = first === undefined ? undefined : world.endpoints.get(first)?.ownerId;
  routeAssignment(world, assign);
}

/**
 * The home box records its first choice in advance; if another engine accepts the chat, that engine's owner reports it
 * with a `placed` frame.
 */
function recordFirstChoice(world: World, assign: AssignFrame): void {
  const [first] = assign.candidates;
  const { service, chat } = assign.head;
  if (first !== undefined) world.directory.recordEngine(directoryKey(service, chat), first);
}

/** As a chat's home box, chooses the candidate engines for another box's request. */
export function handlePlace(world: World, frame: PlaceFrame): void {
  const service = world.declared?.services.get(frame.head.service);
  const home = world.self.boxId;
  // The entry box has a newer declared file with the service; this box will receive it within seconds.
  if (service === undefined) return refuseAttempt(world, frame, 'noEndpoint', 'no');
  const assign = buildAssignment(world, frame, frame.entry, home, frame.head, service);
  recordFirstChoice(world, assign);
  routeAssignment(world, assign);
}

/** Finds the request whose current attempt a frame belongs to; frames of earlier attempts are late and dropped. */
function findAttempt(world: World, ref: AttemptRef): RequestRow | undefined {
  const row = world.requests.get(ref.requestId);
  return row?.attempt === ref.attempt && row.phase !== 'backingOff' ? row : undefined;
}

/** Handles the acceptance by an endpoint's owner. An attempt that is no longer current is cancelled. */
export function handleAccepted(world: World, from: BoxId, frame: AcceptedFrame): void {
  const row = findAttempt(world, frame);
  const { requestId, attempt } = frame;
  if (row === undefined) {
    count(world, 'frame.foreign');
    return sendToBox(world, from, { type: 'cancel', requestId, attempt });
  }
  applyReportedLoads(world, from, frame.loads);
  row.phase = 'accepted';
  row.targetBox = from;
  row.endpointId = frame.endpoint;
  emit(world, { type: 'bindRequest', requestId, attempt, ownerId: from, endpointId: frame.endpoint });
}

/** Handles the refusal of an attempt: retries the request where that is allowed, otherwise refuses it. */
export function handleRefused(world: World, frame: RefusedFrame): void {
  const row = findAttempt(world, frame);
  if (row === undefined) return count(world, 'frame.foreign');
  const reason = findRetryReason(row, frame);
  if (reason !== undefined && scheduleRetry(world, row, reason, frame.ran)) return;
  refuseRequest(world, row.id, frame.code, frame.ran, frame.retryAfterMs);
}

/** Loads change within milliseconds, so that a request refused as over the bound is retried, but only once. */
function findRetryReason(row: RequestRow, frame: RefusedFrame): RetryReason | undefined {
  if (FINAL_KEY_CODES.has(frame.code)) return undefined;
  if (frame.ran === 'unknown') return 'endpointBroke';
  return frame.code === 'overBound' && row.attempt === 1 ? 'overBound' : undefined;
}

/** Handles a caller's disconnection: cancels the request. */
export function handleCallerGone(world: World, requestId: string): void {
  const row = world.requests.get(requestId);
  if (row === undefined) return;
  world.requests.delete(requestId);
  count(world, 'refusal.callerGone');
  cancelAttempt(world, row);
}

/** Cancels the attempt at the box that accepted it. An attempt not yet accepted is cancelled on its acceptance. */
export function cancelAttempt(world: World, row: RequestRow): void {
  if (row.phase !== 'accepted' || row.targetBox === undefined) return;
  sendToBox(world, row.targetBox, { type: 'cancel', requestId: row.id, attempt: row.attempt });
}

/** Records that part of the response was sent to the caller. */
export function handleAnswerStarted(world: World, ref: AttemptRef): void {
  const row = findAttempt(world, ref);
  if (row !== undefined) row.responseStarted = true;
}

/** Completes a request whose caller has received the whole response. */
export function handleAnswerEnded(world: World, ref: AttemptRef): void {
  const row = findAttempt(world, ref);
  if (row === undefined) return;
  world.requests.delete(row.id);
  if (row.isKeyOwner) completeKeyedCall(world, row);
  replenishRetryBudget(world, row.service.name);
}

/**
 * Handles a response that is incomplete, does not match its announced length or is too large to be stored: the caller
 * must not take it for complete, and the call is cancelled.
 */
export function handleAnswerBroken(world: World, requestId: string, code: ResultCode): void {
  const row = world.requests.get(requestId);
  if (row === undefined) return;
  cancelAttempt(world, row);
  refuseRequest(world, requestId, code, 'unknown', spreadRetryAfter(world, 0));
}

/** Records that reading the caller's streamed body has started. */
export function handleBodyTaken(world: World, requestId: string): void {
  const row = world.requests.get(requestId);
  if (row !== undefined) row.bodyTaken = true;
}

/** Whether an attempt may have run if it is lost now: it was accepted, or sent to another box. */
function mayHaveRun(world: World, row: RequestRow): boolean {
  return row.targetBox !== undefined && (row.phase === 'accepted' || row.targetBox !== world.self.boxId);
}

/** Ends a request for which there is no time left, with the code for whether it ran. */
function endRequest(world: World, row: RequestRow, codes: Readonly<Record<Ran, ResultCode>>): void {
  const ran = row.phase !== 'backingOff' && mayHaveRun(world, row) ? 'unknown' : 'no';
  cancelAttempt(world, row);
  refuseRequest(world, row.id, codes[ran], ran, spreadRetryAfter(world, 0));
}

/** Ends the requests that are still in progress as the box exits. */
export function cutOffRequests(world: World): void {
  for (const row of [...world.requests.values()])
    endRequest(world, row, { unknown: 'boxStopped', no: 'stopping' });
}

function sweepRequest(world: World, row: RequestRow): void {
  if (world.nowMs >= row.deadlineMs) {
    return endRequest(world, row, { unknown: 'deadlineExceeded', no: 'deadlineExceeded' });
  }
  if (row.phase === 'backingOff') {
    if (world.nowMs >= row.retryAtMs) placeRequest(world, row);
    return;
  }
  const isLost = row.targetBox !== undefined && !isReachable(world, row.targetBox);
  const isSlow = row.phase === 'placing' && world.nowMs - row.placedMs > world.settings.placeTimeoutMs;
  if (isLost) return handleLostAttempt(world, row);
  if (isSlow) scheduleRetry(world, row, 'placeLost', 'unknown');
}

/** Handles the loss of the box that had the attempt: retries the request if allowed, otherwise refuses it. */
function handleLostAttempt(world: World, row: RequestRow): void {
  const reason = row.phase === 'accepted' ? 'stewardLost' : 'placeLost';
  if (scheduleRetry(world, row, reason, 'unknown')) return;
  refuseRequest(world, row.id, reason, 'unknown', spreadRetryAfter(world, 0));
}

/** Handles requests whose deadline has passed, whose box was lost, or whose backoff has elapsed. */
export function sweepRequests(world: World): void {
  for (const row of world.requests.values()) sweepRequest(world, row);
}
