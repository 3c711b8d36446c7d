/**
 * Judges endpoints by their traffic, as this box sees it: a link may be broken for one hall only.
 */
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import { assumeCold } from '../tables/endpointTable.js';

/** How a request at an endpoint ended, as far as it tells about the endpoint. */
export type HealthSignal =
  /** A whole answer, whatever its status below 500. */
  | 'answered'
  /** An error of its own. */
  | 'errored'
  /** It refused for lack of room. */
  | 'refused'
  /** A connection that broke or an answer that was no answer. */
  | 'broke'
  /** No sign within the time in which it should have answered. */
  | 'silent'
  /** A connection was refused. */
  | 'connectRefused'
  /** A connection did not come up in time. */
  | 'connectTimedOut'
  /** A connection failed in another way. */
  | 'connectBroken';

/** Weight of the newest sign in the moving average of failures. */
const FAILURE_WEIGHT = 0.15;
/** Share of failures that ejects an endpoint. */
const EJECT_RATE = 0.5;
/** Failures in a row that eject an endpoint. */
const EJECT_AFTER = 4;
/** First ejection; doubles with each that follows. */
const EJECT_MS = 1_500;
const MAX_EJECT_DOUBLINGS = 3;
/** Largest share of a service's endpoints that may be ejected for failures. */
const MAX_EJECTED_SHARE = 0.34;
/** Pace of connection checks of an unreachable endpoint. */
export const UNREACHABLE_CHECK_INTERVAL_MS = 500;

/** What changed in the belief about an endpoint; undefined if nothing did. */
export type HealthChange = 'ejected' | 'unreachable' | 'restored';

/** Whether an endpoint may get new requests from this box. */
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

/** Takes note of how a request went; returns what changed. */
export function recordHealthSignal(
  table: EndpointTable,
  row: EndpointRow,
  sign: HealthSignal,
  nowMs: number,
): HealthChange | undefined {
  switch (sign) {
    case 'answered':
      return noteSuccess(row, nowMs);
    case 'refused':
      row.lastResponseAtMs = nowMs;
      return undefined;
    case 'errored':
    case 'broke':
    case 'silent':
      return noteFailure(table, row, nowMs);
    case 'connectRefused':
    case 'connectTimedOut':
    case 'connectBroken':
      return markUnreachable(row, nowMs, sign === 'connectRefused');
  }
}

/**
 * Takes an endpoint out until a connection to it comes up again.
 *
 * @param isRefused its machine said that nobody listens: the process is gone
 */
export function markUnreachable(
  row: EndpointRow,
  nowMs: number,
  isRefused: boolean,
): HealthChange | undefined {
  const { health: standing } = row;
  const isNew = standing.type !== 'unreachable';
  const hasEnded = isRefused || (standing.type === 'unreachable' && standing.isProcessGone);
  row.health = {
    type: 'unreachable',
    nextCheckMs: nowMs + UNREACHABLE_CHECK_INTERVAL_MS,
    isProcessGone: hasEnded,
  };
  return isNew ? 'unreachable' : undefined;
}

/** A connection came up: the endpoint is there again. */
export function markReachable(row: EndpointRow, nowMs: number): HealthChange | undefined {
  row.lastResponseAtMs = nowMs;
  if (row.health.type !== 'unreachable') return undefined;
  // What listens there now has started a moment ago, and its entry may not say so yet.
  if (row.health.isProcessGone) assumeCold(row, nowMs);
  row.health = { type: 'good' };
  row.consecutiveFailures = 0;
  return 'restored';
}

function noteSuccess(row: EndpointRow, nowMs: number): HealthChange | undefined {
  row.lastResponseAtMs = nowMs;
  row.consecutiveFailures = 0;
  row.failureRate *= 1 - FAILURE_WEIGHT;
  if (row.health.type !== 'ejected' || nowMs < row.health.untilMs) return undefined;
  row.health = { type: 'good' };
  return 'restored';
}

function noteFailure(table: EndpointTable, row: EndpointRow, nowMs: number): HealthChange | undefined {
  row.consecutiveFailures += 1;
  row.failureRate += FAILURE_WEIGHT * (1 - row.failureRate);
  const isFailing = row.consecutiveFailures >= EJECT_AFTER || row.failureRate >= EJECT_RATE;
  const isOnTrial = row.health.type === 'ejected' && nowMs >= row.health.untilMs;
  if (row.health.type === 'ejected' && !isOnTrial) return undefined;
  if ((!isFailing && !isOnTrial) || !mayEject(table, row, nowMs)) return undefined;
  const times = row.health.type === 'ejected' ? row.health.priorEjections + 1 : 0;
  const untilMs = nowMs + EJECT_MS * 2 ** Math.min(times, MAX_EJECT_DOUBLINGS);
  row.health = { type: 'ejected', untilMs, priorEjections: times };
  row.consecutiveFailures = 0;
  return 'ejected';
}

function mayEject(table: EndpointTable, row: EndpointRow, nowMs: number): boolean {
  const rows = table.listService(row.listing.service);
  const out = rows.filter((other) => other !== row && !isUsable(other, nowMs)).length;
  return out + 1 <= Math.floor(rows.length * MAX_EJECTED_SHARE);
}
