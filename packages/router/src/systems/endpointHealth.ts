/** Tracks the health of endpoints by the requests of this box alone: a link may be down for one hall only. */
import type { EjectionCandidate, EjectionDecision } from '../capacity/ejectionLimit.js';
import { hasRoomWithout, isWithinEjectionShare } from '../capacity/ejectionLimit.js';
import type { DialFailure } from '../tables/endpointPath.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import { assumeCold, readFleetLoad } from '../tables/endpointTable.js';
import { acceptsRequests } from './endpointNotices.js';

/** Outcome of a request as a signal of the endpoint's health. */
export type HealthSignal =
  /** A response with a status below 500. */
  | 'answered'
  /** An error of the endpoint itself. */
  | 'errored'
  /** The endpoint refused the request for lack of capacity. */
  | 'refused'
  /** The connection broke, or the response was invalid. */
  | 'broke'
  /** No response within the time in which the endpoint should have responded. */
  | 'silent'
  /** A connection was refused. */
  | 'connectRefused'
  /** A connection timed out. */
  | 'connectTimedOut'
  /** A connection failed in another way. */
  | 'connectBroken';

/** Weight of the newest signal in the moving average of failures. */
const FAILURE_WEIGHT = 0.15;
/** Failure rate at which an endpoint is ejected. */
const EJECT_RATE = 0.5;
/** Consecutive failures after which an endpoint is ejected. */
const EJECT_AFTER = 4;
/** Duration of the first ejection; doubles with each consecutive one. */
const EJECT_MS = 1_500;
const MAX_EJECT_DOUBLINGS = 3;
/** Interval of connection checks of an unreachable endpoint. */
export const UNREACHABLE_CHECK_INTERVAL_MS = 500;

/** A change of an endpoint's health. */
export type HealthChange = 'ejected' | 'unreachable' | 'restored';

/** What the outcome of a request led to: a change of health, or an ejection withheld as the service is short of room. */
export type HealthEffect = HealthChange | 'ejectionWithheld';

/** What the room of an endpoint depends on apart from its own state. */
export interface RoomConditions {
  /** Whether an ejection has to leave room for the requests in flight. */
  readonly isLimited: () => boolean;
  /** Whether a hall is evacuated: its endpoints get no new requests. */
  readonly isEvacuated: (hall: string) => boolean;
  /** Whether cold endpoints of a service sustain little; those of other services sustain full load from the start. */
  readonly isLimitedWhileCold: (service: string) => boolean;
}

const DEFAULT_CONDITIONS: RoomConditions = {
  isLimited: () => true,
  isEvacuated: () => false,
  isLimitedWhileCold: () => true,
};

/** Whether the health of an endpoint permits new requests from this box. */
export function isUsable(row: EndpointRow, nowMs: number): boolean {
  switch (row.health.type) {
    case 'good':
      return true;
    case 'ejected':
      return nowMs >= row.health.untilMs;
    case 'unreachable':
      return false;
  }
}

/** Records the outcome of a request; returns its effect on the health of the endpoint, if any. */
export function recordHealthSignal(
  table: EndpointTable,
  row: EndpointRow,
  signal: HealthSignal,
  nowMs: number,
  conditions = DEFAULT_CONDITIONS,
): HealthEffect | undefined {
  switch (signal) {
    case 'answered':
      return recordSuccess(row, nowMs);
    case 'refused':
      row.lastResponseAtMs = nowMs;
      return undefined;
    case 'errored':
    case 'broke':
    case 'silent':
      return recordFailure(table, row, nowMs, conditions);
    case 'connectRefused':
    case 'connectTimedOut':
    case 'connectBroken':
      return markUnreachable(row, nowMs, signal === 'connectRefused');
  }
}

/**
 * Takes an endpoint out of use until a connection to it succeeds.
 *
 * @param isRefused the host refused the connection: nothing listens there, so the process has exited
 */
export function markUnreachable(
  row: EndpointRow,
  nowMs: number,
  isRefused: boolean,
): HealthChange | undefined {
  const { health } = row;
  const isNew = health.type !== 'unreachable';
  const isProcessGone = isRefused || (health.type === 'unreachable' && health.isProcessGone);
  row.health = {
    type: 'unreachable',
    nextCheckMs: nowMs + UNREACHABLE_CHECK_INTERVAL_MS,
    isProcessGone,
  };
  return isNew ? 'unreachable' : undefined;
}

/** Records that a connection to an endpoint succeeded. */
export function markReachable(row: EndpointRow, nowMs: number): HealthChange | undefined {
  row.lastResponseAtMs = nowMs;
  if (row.health.type !== 'unreachable') return undefined;
  // The process that listens now has just started, and its entry may not show that yet.
  if (row.health.isProcessGone) assumeCold(row, nowMs);
  row.health = { type: 'good' };
  row.consecutiveFailures = 0;
  return 'restored';
}

/**
 * Records that a direct connection to an endpoint failed while another box reached it: the fault is on the path of this box, and
 * so were its last failures.
 */
export function markTunnelled(
  row: EndpointRow,
  reason: DialFailure,
  nowMs: number,
): HealthChange | undefined {
  row.path = { type: 'tunnel', reason, nextCheckMs: nowMs + UNREACHABLE_CHECK_INTERVAL_MS };
  row.failureRate = 0;
  row.consecutiveFailures = 0;
  if (row.health.type === 'ejected') row.health = { type: 'good' };
  return markReachable(row, nowMs);
}

function recordSuccess(row: EndpointRow, nowMs: number): HealthChange | undefined {
  row.lastResponseAtMs = nowMs;
  row.consecutiveFailures = 0;
  row.failureRate *= 1 - FAILURE_WEIGHT;
  if (row.health.type !== 'ejected' || nowMs < row.health.untilMs) return undefined;
  row.health = { type: 'good' };
  return 'restored';
}

function recordFailure(
  table: EndpointTable,
  row: EndpointRow,
  nowMs: number,
  conditions: RoomConditions,
): HealthEffect | undefined {
  row.consecutiveFailures += 1;
  row.failureRate += FAILURE_WEIGHT * (1 - row.failureRate);
  const isFailing = row.consecutiveFailures >= EJECT_AFTER || row.failureRate >= EJECT_RATE;
  const isBackOnTrial = row.health.type === 'ejected' && nowMs >= row.health.untilMs;
  if (row.health.type === 'ejected' && !isBackOnTrial) return undefined;
  if (!isFailing && !isBackOnTrial) return undefined;
  switch (decideEjection(table, row, nowMs, conditions)) {
    case 'permitted':
      return eject(row, nowMs);
    case 'overShare':
      return undefined;
    case 'shortOfRoom':
      return 'ejectionWithheld';
  }
}

function eject(row: EndpointRow, nowMs: number): HealthChange {
  const priorEjections = row.health.type === 'ejected' ? row.health.priorEjections + 1 : 0;
  const untilMs = nowMs + EJECT_MS * 2 ** Math.min(priorEjections, MAX_EJECT_DOUBLINGS);
  row.health = { type: 'ejected', untilMs, priorEjections };
  row.consecutiveFailures = 0;
  return 'ejected';
}

function decideEjection(
  table: EndpointTable,
  failing: EndpointRow,
  nowMs: number,
  conditions: RoomConditions,
): EjectionDecision {
  const { service } = failing.listing;
  const rows = table.listService(service);
  const countUnusable = (sum: number, row: EndpointRow): number =>
    row === failing || !isUsable(row, nowMs) ? sum + 1 : sum;
  if (!isWithinEjectionShare(rows.reduce(countUnusable, 0), rows.length)) return 'overShare';
  if (!conditions.isLimited()) return 'permitted';
  const isLimitedWhileCold = conditions.isLimitedWhileCold(service);
  const describe = (row: EndpointRow): EjectionCandidate => ({
    slots: row.listing.slots,
    ownInFlight: row.inFlight,
    inFlight: readFleetLoad(row),
    failureRate: row.failureRate,
    isInUse: isUsable(row, nowMs) && acceptsRequests(row, nowMs) && !conditions.isEvacuated(row.listing.hall),
    isCold: isLimitedWhileCold && nowMs < row.coldUntilMs,
  });
  const others = rows.filter((row) => row !== failing).map(describe);
  return hasRoomWithout(describe(failing), others) ? 'permitted' : 'shortOfRoom';
}
