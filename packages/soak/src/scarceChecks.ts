/** Checks of a service with too few slots for its callers. */
import type { CallerRecord, Ledger, ScarceRoute, SoakRoute } from './ledger.js';
import type { Violation } from './violation.js';
import { createViolation, isRejected, isServed, SETTLE_MS, TOLERANCE_MS } from './violation.js';

const URGENT_ROUTES: readonly ScarceRoute[] = ['scarceUrgent', 'scarceUrgentClaim'];
const LOW_ROUTE: ScarceRoute = 'scarceLow';
/** Target latency of the routes: what cannot start by then should have been rejected. */
const TARGET_MS = 200;
/** Requests of a route from which its share of served ones says something, and what it may fall short by. */
const MIN_COMPARED = 100;
const MAX_SHORTFALL = 0.05;

/**
 * Whether a route belongs to the service with few slots.
 *
 * @example isScarceRoute('safe') // false
 */
export function isScarceRoute(route: SoakRoute): boolean {
  return route === LOW_ROUTE || URGENT_ROUTES.some((urgent) => urgent === route);
}

/** Runs the checks; a run without such a service has no violations. */
export function checkScarceService(ledger: Ledger): Violation[] {
  const requests = ledger.requests.filter((request) => isScarceRoute(request.route));
  return [...checkRejectedInTime(ledger, requests), ...checkUrgentServed(requests)];
}

function checkRejectedInTime(ledger: Ledger, requests: readonly CallerRecord[]): Violation[] {
  return requests.flatMap((request) => {
    const waitedMs = request.endedAtMs - request.sentAtMs;
    if (!isRejected(request) || waitedMs <= TARGET_MS + TOLERANCE_MS) return [];
    if (!ledger.wasSiteUndisturbed(request.sentAtMs, request.endedAtMs, SETTLE_MS)) return [];
    return [createViolation('rejected in time', request, `rejected after ${waitedMs} ms`)];
  });
}

/** The urgent are served at least as often as the less urgent: requests of all routes go to the same boxes at the same time. */
function checkUrgentServed(requests: readonly CallerRecord[]): Violation[] {
  const low = summarize(requests, LOW_ROUTE);
  return URGENT_ROUTES.flatMap((route) => {
    const urgent = summarize(requests, route);
    if (Math.min(urgent.count, low.count) < MIN_COMPARED) return [];
    if (urgent.servedShare >= low.servedShare - MAX_SHORTFALL) return [];
    return [{ check: 'urgent first', detail: `${describe(urgent)}, but ${describe(low)}` }];
  });
}

interface RouteSummary {
  readonly route: ScarceRoute;
  readonly count: number;
  readonly servedShare: number;
}

function summarize(requests: readonly CallerRecord[], route: ScarceRoute): RouteSummary {
  const own = requests.filter((request) => request.route === route);
  return { route, count: own.length, servedShare: own.filter(isServed).length / own.length };
}

function describe({ route, count, servedShare }: RouteSummary): string {
  return `${route}: ${servedShare.toFixed(3)} of ${count} served`;
}
