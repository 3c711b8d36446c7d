/**
 * Checks the documented guarantees against the records of callers and endpoints. Guarantees about content always apply; time
 * bounds apply only while the parts concerned have been free of injected faults for a while.
 */
import type { CallerRecord, Ledger, PlannedEvent, ProbeRequest, RunRecord, SoakRoute } from './ledger.js';
import { checkBrittleService } from './brittleChecks.js';
import { checkCutOffBoxes } from './cutChecks.js';
import { checkHarmfulParts } from './harmfulChecks.js';
import { checkStoppedBoxes } from './stopChecks.js';
import { checkScarceService, isScarceRoute } from './scarceChecks.js';
import { checkStreams, parseEvents } from './streamChecks.js';
import type { Violation } from './violation.js';
import { createViolation, isRejected, isServed, isStream, SETTLE_MS, TOLERANCE_MS } from './violation.js';

/** Time bounds and retry budget that the deployment guarantees. */
const APPLY_BOUND_MS = 2_000;
const DRAIN_BOUND_MS = 2_000;
const RECOVERY_BOUND_MS = 12_000;
const BUDGET_RATIO = 0.2;
const BUDGET_EXTRA = 56;
const BUDGET_WINDOW_MS = 10_000;
/**
 * Offsets, in windows, at which requests are counted for the repeats of a window: in the same window, one window earlier and half
 * a window earlier. The highest count is the one that applies.
 */
const BUDGET_SHIFTS = [0, -1, -0.5] as const;
/** How long a stopping box accepts new requests; the connections of later ones may be closed. */
const ACCEPT_AFTER_STOP_MS = 2_000;
/** Requests that were already in flight when an endpoint asked for a back-off may arrive within this time. */
const BACK_OFF_GRACE_MS = 500;
const MAX_REQUESTS_IN_BACK_OFF = 2;
const MIN_RECOVERED_SHARE = 0.9;
/**
 * Load bound: an endpoint has at most `LOAD_FACTOR` times the mean number of requests in flight of its service, plus
 * `LOAD_ALLOWANCE`. The check fails only if, in an undisturbed window, at least `MIN_OVER_BOUND_COUNT` requests and more than a
 * share of `MAX_OVER_BOUND_SHARE` of all requests reached an endpoint over the bound.
 */
const LOAD_FACTOR = 2;
const LOAD_ALLOWANCE = 3;
const LOAD_WINDOW_MS = 5_000;
const MAX_OVER_BOUND_SHARE = 0.03;
const MIN_OVER_BOUND_COUNT = 20;

const STATUS_OK = 200;
/** Runs all checks and returns the violations. */
export function checkGuarantees(ledger: Ledger): Violation[] {
  return [
    ...checkRunsAtMostOnce(ledger),
    ...checkRefusedDidNotRun(ledger),
    ...checkCompleteResponses(ledger),
    ...checkResponseTimes(ledger),
    ...checkPlannedStops(ledger),
    ...checkDrains(ledger),
    ...checkAnnouncedDrains(ledger),
    ...checkBackOffs(ledger),
    ...checkConfiguration(ledger),
    ...checkRetryBudget(ledger),
    ...checkLoadBound(ledger),
    ...checkRecovery(ledger),
    ...checkScarceService(ledger),
    ...checkBrittleService(ledger),
    ...checkCutOffBoxes(ledger),
    ...checkStreams(ledger),
    ...checkHarmfulParts(ledger),
    ...checkStoppedBoxes(ledger),
  ];
}

function runsAtMostOnce(route: SoakRoute): boolean {
  return ['claim', 'streamOnce', 'streamLong', 'scarceUrgentClaim'].includes(route);
}

function countRuns(ledger: Ledger): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { requestId } of ledger.runs) counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
  return counts;
}

function checkRunsAtMostOnce(ledger: Ledger): Violation[] {
  const counts = countRuns(ledger);
  return ledger.requests
    .filter((request) => runsAtMostOnce(request.route) && (counts.get(request.requestId) ?? 0) > 1)
    .map((request) => createViolation('runs at most once', request, `${counts.get(request.requestId)} runs`));
}

function checkRefusedDidNotRun(ledger: Ledger): Violation[] {
  const counts = countRuns(ledger);
  return ledger.requests.flatMap((request) => {
    const { outcome } = request;
    if (outcome.type !== 'answer' || !isRejected(request) || !counts.has(request.requestId)) return [];
    return [
      createViolation('refusals are true', request, `status ${outcome.status}, but an endpoint ran it`),
    ];
  });
}

function checkCompleteResponses(ledger: Ledger): Violation[] {
  return ledger.requests.flatMap((request) => {
    const problem = isStream(request.route) ? findStreamProblem(request) : findBodyProblem(request);
    return problem === undefined ? [] : [createViolation('whole answers', request, problem)];
  });
}

function findBodyProblem({ outcome, requestId }: CallerRecord): string | undefined {
  if (outcome.type !== 'answer' || outcome.status !== STATUS_OK) return undefined;
  const [endpoint, sealedId] = (outcome.seal ?? '').split('|');
  if (sealedId !== requestId) return `response seal names request ${sealedId}`;
  return outcome.body === `${requestId}|${endpoint}` ? undefined : `unexpected body ${outcome.body}`;
}

function findStreamProblem({ outcome, requestId, takesUp }: CallerRecord): string | undefined {
  if (outcome.type !== 'answer' && outcome.type !== 'cut') return undefined;
  if (outcome.status !== STATUS_OK) return undefined;
  const events = parseEvents(outcome.body);
  const before = takesUp?.lastEventId ?? 0;
  for (const [index, event] of events.entries()) {
    if (event.requestId !== requestId) return `event of request ${event.requestId}`;
    if (event.id !== before + index + 1) return `event ${event.id} at position ${before + index + 1}`;
  }
  if (outcome.type === 'cut') return undefined;
  // A stream that was taken up after its last event ends without another one.
  if (takesUp !== undefined && events.length === 0) return undefined;
  return events.length > 0 && before + events.length === events[0]?.total
    ? undefined
    : `stream ended after ${before + events.length} events`;
}

function checkResponseTimes(ledger: Ledger): Violation[] {
  return ledger.requests.flatMap((request) => {
    const durationMs = request.endedAtMs - request.sentAtMs;
    const isLate = request.outcome.type === 'unanswered' || durationMs > request.deadlineMs + TOLERANCE_MS;
    if (!isLate || !ledger.wasUndisturbed(request.box, request.sentAtMs, request.endedAtMs, SETTLE_MS))
      return [];
    return [createViolation('answered in time', request, `${durationMs} ms, ${request.outcome.type}`)];
  });
}

function checkPlannedStops(ledger: Ledger): Violation[] {
  return listEvents(ledger, 'boxStop').flatMap(({ box, atMs }) =>
    ledger.requests
      .filter((request) => request.box === box && request.outcome.type === 'cut')
      // Long ones may outlast the stop; what applies to them is in `stopChecks`.
      .filter(({ route }) => route !== 'streamLong')
      .filter((request) => request.sentAtMs <= atMs + ACCEPT_AFTER_STOP_MS && request.endedAtMs >= atMs)
      .filter((request) => ledger.wasSiteUndisturbed(request.sentAtMs, request.endedAtMs, SETTLE_MS))
      .map((request) => createViolation('a planned stop cuts nothing off', request, `stopped at ${atMs}`)),
  );
}

function checkDrains(ledger: Ledger): Violation[] {
  const boxOf = new Map(listSent(ledger).map((request) => [request.requestId, request.box]));
  return listEvents(ledger, 'endpointLeaves').flatMap(({ endpoint, atMs }) => {
    const boundMs = atMs + DRAIN_BOUND_MS + TOLERANCE_MS;
    if (!ledger.wasUndisturbed('store', atMs, atMs, SETTLE_MS)) return [];
    return ledger.runs
      .filter((run) => run.endpoint === endpoint && run.atMs > boundMs)
      .filter((run) => hadReconnected(ledger, boxOf.get(run.requestId) ?? '', run.atMs))
      .map((run) => ({ check: 'no new work for a leaving endpoint', detail: JSON.stringify(run) }));
  });
}

/**
 * After a box has relayed a response with a leave announcement, requests that callers send to that box after the drain bound must
 * not reach the endpoint, even while the box cannot reach the store.
 */
function checkAnnouncedDrains(ledger: Ledger): Violation[] {
  const requests = new Map(listSent(ledger).map((request) => [request.requestId, request]));
  const announcements = listAnnouncements(ledger);
  return ledger.runs.flatMap((run) => {
    const request = requests.get(run.requestId);
    if (request === undefined) return [];
    const isLate = announcements.some(
      ({ endpoint, box, atMs }) =>
        endpoint === run.endpoint &&
        box === request.box &&
        request.sentAtMs > atMs + DRAIN_BOUND_MS &&
        ledger.ranUninterrupted(box, atMs, run.atMs),
    );
    return isLate ? [{ check: 'no new work after an announced leave', detail: JSON.stringify(run) }] : [];
  });
}

/** Leave announcements that callers received, with the box that relayed each and the time at which the response ended. */
function listAnnouncements(ledger: Ledger): { endpoint: string; box: string; atMs: number }[] {
  const leaving = new Map(
    ledger.runs.filter((run) => run.isLeaving).map((run) => [run.requestId, run.endpoint]),
  );
  return ledger.requests.flatMap(({ requestId, box, endedAtMs, outcome }) => {
    const endpoint = leaving.get(requestId);
    const isDelivered = outcome.type === 'answer' && outcome.seal?.split('|')[0] === endpoint;
    return endpoint !== undefined && isDelivered ? [{ endpoint, box, atMs: endedAtMs }] : [];
  });
}

/**
 * After an endpoint has rejected a request of a box with a back-off, at most two requests of that box may reach the endpoint between
 * the end of the grace period and the end of the back-off.
 */
function checkBackOffs(ledger: Ledger): Violation[] {
  const boxOf = new Map(listSent(ledger).map((request) => [request.requestId, request.box]));
  const arrivals = [...ledger.runs, ...ledger.rejections];
  return ledger.rejections.flatMap((rejection) => {
    const { requestId, endpoint, atMs, backOffMs } = rejection;
    const box = boxOf.get(requestId);
    const untilMs = atMs + backOffMs;
    if (box === undefined || !ledger.ranUninterrupted(box, atMs, untilMs)) return [];
    const count = arrivals.filter(
      (arrival) =>
        arrival.endpoint === endpoint &&
        boxOf.get(arrival.requestId) === box &&
        arrival.atMs > atMs + BACK_OFF_GRACE_MS &&
        arrival.atMs < untilMs,
    ).length;
    if (count <= MAX_REQUESTS_IN_BACK_OFF) return [];
    return [{ check: 'back-offs are kept', detail: `${box}, ${count} after ${JSON.stringify(rejection)}` }];
  });
}

function checkConfiguration(ledger: Ledger): Violation[] {
  const published = listEvents(ledger, 'configurationPublished');
  return ledger.probes.flatMap((probe) => {
    if (probe.isInForce) return [];
    const atMs = published.find((event) => event.version === probe.version)?.atMs ?? Infinity;
    const isOverdue = probe.sentAtMs > atMs + APPLY_BOUND_MS + TOLERANCE_MS;
    if (isOverdue && wasConnected(ledger, probe.box, atMs, probe.sentAtMs)) {
      return [{ check: 'configuration in force', detail: JSON.stringify(probe) }];
    }
    const wasInForceBefore = ledger.probes.some(
      (other) =>
        other.box === probe.box &&
        other.life === probe.life &&
        other.isInForce &&
        other.version === probe.version &&
        other.sentAtMs < probe.sentAtMs,
    );
    return wasInForceBefore
      ? [{ check: 'configuration never goes back', detail: JSON.stringify(probe) }]
      : [];
  });
}

/** Whether neither the box nor the store had a fault during the span or within two settle times before it. */
function wasConnected(ledger: Ledger, box: string, fromMs: number, toMs: number): boolean {
  const earliestMs = fromMs - SETTLE_MS;
  return (
    ledger.wasUndisturbed(box, earliestMs, toMs, SETTLE_MS) &&
    ledger.wasUndisturbed('store', earliestMs, toMs, SETTLE_MS)
  );
}

/**
 * Whether the box and the store had been free of faults for the settle time plus the tolerance by then. Earlier faults do not
 * matter: once reconnected, the box must have caught up on every change that it missed.
 */
function hadReconnected(ledger: Ledger, box: string, atMs: number): boolean {
  const settleMs = SETTLE_MS + TOLERANCE_MS;
  return (
    ledger.wasUndisturbed(box, atMs, atMs, settleMs) && ledger.wasUndisturbed('store', atMs, atMs, settleMs)
  );
}

function checkRetryBudget(ledger: Ledger): Violation[] {
  const seenIds = new Set<string>();
  const repeats = ledger.runs.filter(({ requestId }) => {
    if (!seenIds.has(requestId)) return void seenIds.add(requestId);
    return true;
  });
  const sent = listSent(ledger);
  return repeats.flatMap(({ atMs }) => {
    const repeatCount = repeats.filter((run) => isWithin(run.atMs, atMs, BUDGET_WINDOW_MS)).length;
    const sentCount = Math.max(
      ...BUDGET_SHIFTS.map((shift) => countSentInWindow(sent, atMs + shift * BUDGET_WINDOW_MS)),
    );
    if (repeatCount <= BUDGET_RATIO * sentCount + BUDGET_EXTRA) return [];
    return [
      { check: 'retry budget', detail: `${repeatCount} repeats for ${sentCount} requests from ${atMs}` },
    ];
  });
}

function isWithin(atMs: number, fromMs: number, spanMs: number): boolean {
  return atMs >= fromMs && atMs < fromMs + spanMs;
}

/** All requests that were sent to boxes, probes included. */
function listSent(ledger: Ledger): ProbeRequest[] {
  return [...ledger.requests, ...ledger.probeRequests];
}

function countSentInWindow(sent: readonly ProbeRequest[], fromMs: number): number {
  return sent.filter(({ sentAtMs }) => isWithin(sentAtMs, fromMs, BUDGET_WINDOW_MS)).length;
}

function checkLoadBound(ledger: Ledger): Violation[] {
  const services = new Set(ledger.runs.map((run) => run.service));
  return [...services].flatMap((service) => {
    const runs = computeRunLoads(ledger.runs.filter((run) => run.service === service));
    const worst = runs
      .filter(({ atMs }) => ledger.wasSiteUndisturbed(atMs, atMs + LOAD_WINDOW_MS, SETTLE_MS))
      .map(({ atMs }) => runs.filter((run) => run.atMs >= atMs && run.atMs < atMs + LOAD_WINDOW_MS))
      .map((window) => ({ all: window.length, over: window.filter((run) => run.isOverBound).length, window }))
      .filter(({ all, over }) => over >= MIN_OVER_BOUND_COUNT && over > MAX_OVER_BOUND_SHARE * all)
      .sort((a, b) => b.over / b.all - a.over / a.all)[0];
    if (worst === undefined) return [];
    const { all, over, window } = worst;
    const detail = `${service}: ${over} of ${all} runs over the bound from ${window[0]?.atMs}; ${describeOverBoundRuns(window)}`;
    return [{ check: 'load bound', detail }];
  });
}

/** A run, and the requests in flight at its endpoint and in its service when it started. */
interface RunLoad {
  readonly atMs: number;
  readonly endpoint: string;
  readonly endpointInFlight: number;
  readonly serviceInFlight: number;
  readonly isOverBound: boolean;
}

function describeOverBoundRuns(window: readonly RunLoad[]): string {
  const over = window.filter((run) => run.isOverBound);
  const endpoints = [...new Set(over.map(({ endpoint }) => endpoint))].join();
  const highest = over.reduce((max, run) => (run.endpointInFlight > max.endpointInFlight ? run : max));
  const spanMs = (over.at(-1)?.atMs ?? 0) - (over[0]?.atMs ?? 0);
  return `at ${endpoints} within ${spanMs} ms, at most ${highest.endpointInFlight} of ${highest.serviceInFlight} in flight`;
}

/** Computes from the reported starts and ends of a service's runs which of them reached an endpoint over the load bound. */
function computeRunLoads(runs: readonly RunRecord[]): RunLoad[] {
  const ends = runs.filter((run) => run.endedAtMs < Infinity).sort((a, b) => a.endedAtMs - b.endedAtMs);
  const inFlightByEndpoint = new Map<string, number>();
  let serviceInFlight = 0;
  let ended = 0;
  return [...runs]
    .sort((a, b) => a.atMs - b.atMs)
    .map((run) => {
      for (let end = ends[ended]; end !== undefined && end.endedAtMs <= run.atMs; end = ends[++ended]) {
        inFlightByEndpoint.set(end.endpoint, (inFlightByEndpoint.get(end.endpoint) ?? 0) - 1);
        serviceInFlight -= 1;
      }
      const endpointInFlight = inFlightByEndpoint.get(run.endpoint) ?? 0;
      const bound = LOAD_FACTOR * (serviceInFlight / Math.max(1, run.listed)) + LOAD_ALLOWANCE;
      const load = { atMs: run.atMs, endpoint: run.endpoint, endpointInFlight, serviceInFlight };
      inFlightByEndpoint.set(run.endpoint, endpointInFlight + 1);
      serviceInFlight += 1;
      return { ...load, isOverBound: endpointInFlight > bound };
    });
}

function checkRecovery(ledger: Ledger): Violation[] {
  const over = listEvents(ledger, 'faultsOver').at(-1);
  if (over === undefined) return [];
  const late = ledger.requests
    .filter((request) => request.sentAtMs > over.atMs + RECOVERY_BOUND_MS)
    .filter(({ route }) => !isScarceRoute(route) && route !== 'brittle');
  const served = late.filter(isServed);
  if (late.length > 0 && served.length >= MIN_RECOVERED_SHARE * late.length) return [];
  return [{ check: 'recovery', detail: `${served.length} of ${late.length} served` }];
}

function listEvents<T extends PlannedEvent['type']>(
  ledger: Ledger,
  type: T,
): Extract<PlannedEvent, { type: T }>[] {
  return ledger.events.filter((event): event is Extract<PlannedEvent, { type: T }> => event.type === type);
}
