/** What the checks share: how a violation is described, and the margins that all of them leave. */
import type { CallerRecord, SoakRoute } from './ledger.js';

/** A guarantee that did not hold. */
export interface Violation {
  readonly check: string;
  readonly detail: string;
}

/** Time after a fault within which a box is connected to its peers, the endpoints and the store again. */
export const SETTLE_MS = 3_000;
/** Delay beyond a bound that is still accepted, because all processes of the soak share a few processors. */
export const TOLERANCE_MS = 1_000;

const STATUS_OK = 200;
/** Statuses with which the router reports that no endpoint executed the request. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Whether responses of a route are event streams. */
export function isStream(route: SoakRoute): boolean {
  return route === 'streamOnce' || route === 'streamLong' || route === 'streamResumable';
}

/**
 * Whether a request was served.
 *
 * @example isServed({ ...request, outcome: { type: 'noConnection' } }) // false
 */
export function isServed({ outcome }: Pick<CallerRecord, 'outcome'>): boolean {
  return outcome.type === 'answer' && outcome.status === STATUS_OK;
}

/**
 * Whether a box rejected a request and stated that no endpoint ran it.
 *
 * @example isRejected({ outcome: { type: 'answer', status: 503, seal: undefined, body: '' } }) // true
 */
export function isRejected({ outcome }: Pick<CallerRecord, 'outcome'>): boolean {
  return outcome.type === 'answer' && outcome.seal === undefined && NOT_RUN_STATUSES.has(outcome.status);
}

/**
 * Creates the violation of a check by one request.
 *
 * @example createViolation('runs at most once', request, '2 runs')
 */
export function createViolation(check: string, request: CallerRecord, detail: string): Violation {
  return { check, detail: `${request.requestId} (${request.route}) at ${request.box}: ${detail}` };
}
