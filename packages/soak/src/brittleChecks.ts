/** Checks of the service whose endpoints do not survive many rejections. */
import { readRoomPerS } from './brittleLoad.js';
import type { Ledger } from './ledger.js';
import type { Violation } from './violation.js';
import { isServed } from './violation.js';

/** Time from the first response on after which falls count, as a deployment allows. */
const ANNOUNCED_MS = 3_000;
/** Falls that are allowed, and a share of the endpoints besides. */
const FALLS_ALLOWED = 2;
const FALLS_ALLOWED_SHARE = 0.1;
/** Least load from which on the room has to be used, and the share of it. */
const FULL_LOAD = 1.5;
const MIN_USED_SHARE = 0.85;
/** Time after a change of the load from which on the use counts, and the least time that says something. */
const SETTLE_MS = 500;
const MIN_SPAN_MS = 1_000;
const MS_PER_S = 1_000;

/** Runs the checks; a run without such a service has no violations. */
export function checkBrittleService(ledger: Ledger): Violation[] {
  const runs = ledger.runs.filter(({ service }) => service === 'brittle');
  const [first] = runs;
  if (first === undefined) return [];
  const endpoints = new Set(runs.map(({ endpoint }) => endpoint)).size;
  return [...checkFalls(ledger, first.atMs + ANNOUNCED_MS, endpoints), ...checkUse(ledger, endpoints)];
}

function checkFalls(ledger: Ledger, fromMs: number, endpoints: number): Violation[] {
  const falls = ledger.falls.filter(({ atMs }) => atMs >= fromMs);
  const allowed = FALLS_ALLOWED + FALLS_ALLOWED_SHARE * endpoints;
  if (falls.length <= allowed) return [];
  const times = falls.map(({ endpoint, atMs }) => `${endpoint} at ${Math.round(atMs)}`).join(', ');
  return [{ check: 'brittle endpoints', detail: `${falls.length} falls of ${allowed} allowed: ${times}` }];
}

/** While nothing is wrong and more is asked for than there is room, the room is used. */
function checkUse(ledger: Ledger, endpoints: number): Violation[] {
  return ledger.brittleLoads.flatMap(({ atMs, load }, at) => {
    const fromMs = atMs + SETTLE_MS;
    const toMs = ledger.brittleLoads[at + 1]?.atMs ?? atMs;
    const isDisturbed = !ledger.wasFreeOfFaults(fromMs, toMs, ANNOUNCED_MS);
    const hasFallen = ledger.falls.some((fall) => fall.atMs < toMs && fall.atMs > fromMs - ANNOUNCED_MS);
    if (load < FULL_LOAD || toMs - fromMs < MIN_SPAN_MS || isDisturbed || hasFallen) return [];
    const served = ledger.requests.filter(
      (request) =>
        request.route === 'brittle' &&
        isServed(request) &&
        request.endedAtMs >= fromMs &&
        request.endedAtMs < toMs,
    ).length;
    const room = (readRoomPerS(endpoints) * (toMs - fromMs)) / MS_PER_S;
    if (served >= MIN_USED_SHARE * room) return [];
    const detail = `load ${load}: ${served} of ${Math.round(room)} served from ${Math.round(fromMs)} on`;
    return [{ check: 'room of brittle endpoints is used', detail }];
  });
}
