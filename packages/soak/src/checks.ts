/**
 * The promises of the pages, judged by what callers and endpoints saw. Those about content hold always; those about
 * time only where nothing was done to the parts concerned for a while.
 */
import type { CallerRecord, Ledger, PlannedEvent, ProbeRequest, RunRecord, SoakRoute } from './ledger.js';

/** A broken promise. */
export interface Violation {
  readonly check: string;
  readonly detail: string;
}

/** A box is in touch again so long after a fault. */
const SETTLE_MS = 3_000;
/** Bounds of the deployment. */
const APPLY_BOUND_MS = 2_000;
const DRAIN_BOUND_MS = 2_000;
const RECOVER_MS = 12_000;
const BUDGET_RATIO = 0.2;
const BUDGET_EXTRA = 56;
const BUDGET_WINDOW_MS = 10_000;
/** Requests count in the window of the repeats, in the one before it or half a window before, wherever they are most. */
const BUDGET_SHIFTS = [0, -1, -0.5] as const;
/** The soak's processes share few processors: so much later than promised counts as in time. */
const SLACK_MS = 1_000;
/** A stopping box still takes new requests for this long; later ones may meet the end of their connection. */
const STOP_ACCEPTS_MS = 2_000;
/** Requests already in flight when an endpoint asks for a back-off may arrive within this time. */
const BACK_OFF_GRACE_MS = 500;
const MAX_REQUESTS_IN_BACK_OFF = 2;
const RECOVERED_SHARE = 0.9;
/** No endpoint holds over twice the mean of its service and three; so many requests of a calm window may meet more. */
const LOAD_FACTOR = 2;
const LOAD_ALLOWANCE = 3;
const LOAD_WINDOW_MS = 5_000;
const MOST_OVER_SHARE = 0.03;
const LEAST_OVER = 20;

const STATUS_OK = 200;
/** Statuses by which the router says that a request did not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Judges all promises. */
export function checkPromises(ledger: Ledger): Violation[] {
  return [
    ...checkRunsOnce(ledger),
    ...checkRefusals(ledger),
    ...checkWholeAnswers(ledger),
    ...checkAnsweredInTime(ledger),
    ...checkStops(ledger),
    ...checkDrains(ledger),
    ...checkAnnouncedDrains(ledger),
    ...checkBackOffs(ledger),
    ...checkConfiguration(ledger),
    ...checkBudget(ledger),
    ...checkLoadBound(ledger),
    ...checkRecovery(ledger),
  ];
}

function isOnce(route: SoakRoute): boolean {
  return route === 'claim' || route === 'streamOnce';
}

function isStream(route: SoakRoute): boolean {
  return route === 'streamOnce' || route === 'streamResumable';
}

function countRuns(ledger: Ledger): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { requestId } of ledger.runs) counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
  return counts;
}

function checkRunsOnce(ledger: Ledger): Violation[] {
  const counts = countRuns(ledger);
  return ledger.requests
    .filter((request) => isOnce(request.route) && (counts.get(request.requestId) ?? 0) > 1)
    .map((request) => describe('runs at most once', request, `${counts.get(request.requestId)} runs`));
}

function checkRefusals(ledger: Ledger): Violation[] {
  const counts = countRuns(ledger);
  return ledger.requests.flatMap((request) => {
    const { outcome } = request;
    if (outcome.type !== 'answer' || outcome.seal !== undefined || !NOT_RUN_STATUSES.has(outcome.status))
      return [];
    return counts.has(request.requestId)
      ? [describe('refusals are true', request, `${outcome.status}, yet it ran`)]
      : [];
  });
}

function checkWholeAnswers(ledger: Ledger): Violation[] {
  return ledger.requests.flatMap((request) => {
    const problem = isStream(request.route) ? findStreamProblem(request) : findBodyProblem(request);
    return problem === undefined ? [] : [describe('whole answers', request, problem)];
  });
}

function findBodyProblem({ outcome, requestId }: CallerRecord): string | undefined {
  if (outcome.type !== 'answer' || outcome.status !== STATUS_OK) return undefined;
  const [endpoint, sealedId] = (outcome.seal ?? '').split('|');
  if (sealedId !== requestId) return `sealed for ${sealedId}`;
  return outcome.body === `${requestId}|${endpoint}` ? undefined : `body ${outcome.body}`;
}

function findStreamProblem({ outcome, requestId }: CallerRecord): string | undefined {
  if (outcome.type !== 'answer' && outcome.type !== 'cut') return undefined;
  if (outcome.status !== STATUS_OK) return undefined;
  const events = [...outcome.body.matchAll(/id: (\d+)\ndata: (\S+) (\d+)\/(\d+)\n\n/g)];
  for (const [at, event] of events.entries()) {
    if (event[2] !== requestId) return `an event of ${event[2]}`;
    if (Number(event[1]) !== at + 1) return `event ${event[1]} in place ${at + 1}`;
  }
  if (outcome.type === 'cut') return undefined;
  return events.length > 0 && events.length === Number(events[0]?.[4])
    ? undefined
    : `${events.length} events`;
}

function checkAnsweredInTime(ledger: Ledger): Violation[] {
  return ledger.requests.flatMap((request) => {
    const tookMs = request.endedAtMs - request.sentAtMs;
    const isLate = request.outcome.type === 'unanswered' || tookMs > request.deadlineMs + SLACK_MS;
    if (!isLate || !ledger.wasCalm(request.box, request.sentAtMs, request.endedAtMs, SETTLE_MS)) return [];
    return [describe('answered in time', request, `${tookMs} ms, ${request.outcome.type}`)];
  });
}

function checkStops(ledger: Ledger): Violation[] {
  return listEvents(ledger, 'boxStop').flatMap(({ box, atMs }) =>
    ledger.requests
      .filter((request) => request.box === box && request.outcome.type === 'cut')
      .filter((request) => request.sentAtMs <= atMs + STOP_ACCEPTS_MS && request.endedAtMs >= atMs)
      .filter((request) => ledger.wasAllCalm(request.sentAtMs, request.endedAtMs, SETTLE_MS))
      .map((request) => describe('a planned stop cuts nothing off', request, `stopped at ${atMs}`)),
  );
}

function checkDrains(ledger: Ledger): Violation[] {
  const boxOf = new Map(listSent(ledger).map((request) => [request.requestId, request.box]));
  return listEvents(ledger, 'endpointLeaves').flatMap(({ endpoint, atMs }) => {
    const boundMs = atMs + DRAIN_BOUND_MS + SLACK_MS;
    if (!ledger.wasCalm('store', atMs, atMs, SETTLE_MS)) return [];
    return ledger.runs
      .filter((run) => run.endpoint === endpoint && run.atMs > boundMs)
      .filter((run) => isInTouchAgain(ledger, boxOf.get(run.requestId) ?? '', run.atMs))
      .map((run) => ({ check: 'no new work for a leaving endpoint', detail: JSON.stringify(run) }));
  });
}

/**
 * After a box has passed on a response with a leave announcement, requests that callers send to that box after the drain bound must
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

/** Leave announcements that callers received, with the box that passed each on and the end of the response. */
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
    const isOverdue = probe.sentAtMs > atMs + APPLY_BOUND_MS + SLACK_MS;
    if (isOverdue && isInTouch(ledger, probe.box, atMs, probe.sentAtMs)) {
      return [{ check: 'configuration in force', detail: JSON.stringify(probe) }];
    }
    const hadIt = ledger.probes.some(
      (other) =>
        other.box === probe.box &&
        other.life === probe.life &&
        other.isInForce &&
        other.version === probe.version &&
        other.sentAtMs < probe.sentAtMs,
    );
    return hadIt ? [{ check: 'configuration never goes back', detail: JSON.stringify(probe) }] : [];
  });
}

/** Whether nothing was done to a box or to the store for the whole span. */
function isInTouch(ledger: Ledger, box: string, fromMs: number, toMs: number): boolean {
  const begunMs = fromMs - SETTLE_MS;
  return ledger.wasCalm(box, begunMs, toMs, SETTLE_MS) && ledger.wasCalm('store', begunMs, toMs, SETTLE_MS);
}

/** Whether a box has been in touch for long enough by then, whatever was before: nothing excuses what it did not learn. */
function isInTouchAgain(ledger: Ledger, box: string, atMs: number): boolean {
  const settleMs = SETTLE_MS + SLACK_MS;
  return ledger.wasCalm(box, atMs, atMs, settleMs) && ledger.wasCalm('store', atMs, atMs, settleMs);
}

function checkBudget(ledger: Ledger): Violation[] {
  const firstSeen = new Set<string>();
  const repeats = ledger.runs.filter(({ requestId }) => {
    if (!firstSeen.has(requestId)) return void firstSeen.add(requestId);
    return true;
  });
  const sent = listSent(ledger);
  return repeats.flatMap(({ atMs }) => {
    const again = repeats.filter((run) => isWithin(run.atMs, atMs, BUDGET_WINDOW_MS)).length;
    const asked = Math.max(
      ...BUDGET_SHIFTS.map((shift) => countAsked(sent, atMs + shift * BUDGET_WINDOW_MS)),
    );
    if (again <= BUDGET_RATIO * asked + BUDGET_EXTRA) return [];
    return [{ check: 'retry budget', detail: `${again} sent again for ${asked} from ${atMs}` }];
  });
}

function isWithin(atMs: number, fromMs: number, spanMs: number): boolean {
  return atMs >= fromMs && atMs < fromMs + spanMs;
}

/** All that was sent to boxes. */
function listSent(ledger: Ledger): ProbeRequest[] {
  return [...ledger.requests, ...ledger.probeRequests];
}

function countAsked(sent: readonly ProbeRequest[], fromMs: number): number {
  return sent.filter(({ sentAtMs }) => isWithin(sentAtMs, fromMs, BUDGET_WINDOW_MS)).length;
}

function checkLoadBound(ledger: Ledger): Violation[] {
  const services = new Set(ledger.runs.map((run) => run.service));
  return [...services].flatMap((service) => {
    const runs = judgeLoads(ledger.runs.filter((run) => run.service === service));
    const worst = runs
      .filter(({ atMs }) => ledger.wasAllCalm(atMs, atMs + LOAD_WINDOW_MS, SETTLE_MS))
      .map(({ atMs }) => runs.filter((run) => run.atMs >= atMs && run.atMs < atMs + LOAD_WINDOW_MS))
      .map((window) => ({ all: window.length, over: window.filter((run) => run.isOver).length, window }))
      .filter(({ all, over }) => over >= LEAST_OVER && over > MOST_OVER_SHARE * all)
      .sort((a, b) => b.over / b.all - a.over / a.all)[0];
    if (worst === undefined) return [];
    const { all, over, window } = worst;
    const detail = `${service}: ${over} of ${all} from ${window[0]?.atMs}; ${describeFullest(window)}`;
    return [{ check: 'load bound', detail }];
  });
}

/** A run and what its endpoint and its service held as it came. */
interface JudgedRun {
  readonly atMs: number;
  readonly endpoint: string;
  readonly held: number;
  readonly heldByService: number;
  readonly isOver: boolean;
}

function describeFullest(window: readonly JudgedRun[]): string {
  const over = window.filter((run) => run.isOver);
  const endpoints = [...new Set(over.map(({ endpoint }) => endpoint))].join();
  const fullest = over.reduce((most, run) => (run.held > most.held ? run : most));
  const spanMs = (over.at(-1)?.atMs ?? 0) - (over[0]?.atMs ?? 0);
  return `at ${endpoints} within ${spanMs} ms, ${fullest.held} of ${fullest.heldByService} at the most`;
}

/** Which runs of a service met an endpoint over the bound, by what endpoints said of beginnings and ends. */
function judgeLoads(runs: readonly RunRecord[]): JudgedRun[] {
  const ends = runs.filter((run) => run.endedAtMs < Infinity).sort((a, b) => a.endedAtMs - b.endedAtMs);
  const held = new Map<string, number>();
  let total = 0;
  let ended = 0;
  return [...runs]
    .sort((a, b) => a.atMs - b.atMs)
    .map((run) => {
      for (let end = ends[ended]; end !== undefined && end.endedAtMs <= run.atMs; end = ends[++ended]) {
        held.set(end.endpoint, (held.get(end.endpoint) ?? 0) - 1);
        total -= 1;
      }
      const here = held.get(run.endpoint) ?? 0;
      const bound = LOAD_FACTOR * (total / Math.max(1, run.listed)) + LOAD_ALLOWANCE;
      const judged = { atMs: run.atMs, endpoint: run.endpoint, held: here, heldByService: total };
      held.set(run.endpoint, here + 1);
      total += 1;
      return { ...judged, isOver: here > bound };
    });
}

function checkRecovery(ledger: Ledger): Violation[] {
  const over = listEvents(ledger, 'faultsOver').at(-1);
  if (over === undefined) return [];
  const late = ledger.requests.filter((request) => request.sentAtMs > over.atMs + RECOVER_MS);
  const served = late.filter(({ outcome }) => outcome.type === 'answer' && outcome.status === STATUS_OK);
  if (late.length > 0 && served.length >= RECOVERED_SHARE * late.length) return [];
  return [{ check: 'recovery', detail: `${served.length} of ${late.length} served` }];
}

function listEvents<T extends PlannedEvent['type']>(
  ledger: Ledger,
  type: T,
): Extract<PlannedEvent, { type: T }>[] {
  return ledger.events.filter((event): event is Extract<PlannedEvent, { type: T }> => event.type === type);
}

function describe(check: string, request: CallerRecord, detail: string): Violation {
  return { check, detail: `${request.requestId} (${request.route}) at ${request.box}: ${detail}` };
}
