import { createHasher } from '@hazelwalk/core';
import { createColdEndpointLimiter, createTable } from '../__fixtures__/createEndpoints.js';
import type { LoadPath } from '../systems/loadCap.js';
import { Evacuations } from '../published/evacuations.js';
import { Placement } from '../systems/placement.js';
import { PromptDemand } from '../systems/promptDemand.js';
import { PromptHolders } from '../systems/promptHolders.js';
import type { EndpointRow } from '../tables/endpointTable.js';

const ENDPOINTS = 62;
const STEP_MS = 10;
const RUN_MS = 12_000;
/** Length of the windows in which the share of requests over the bound is computed. */
const WINDOW_MS = 5_000;
const SERVICE_MS = 800;
const BACKGROUND_PER_STEP = 3;
const HOT_EVERY_STEPS = 5;
const PROMPTS = 400;
/** The deployment's load bound: twice the mean load plus three. At most 3% of the requests may arrive at a higher load. */
const BOUND_FACTOR = 2;
const BOUND_ALLOWANCE = 3;
const BOUND_SHARE = 0.03;

/** Returns a generator of evenly distributed numbers from 0 to 1, the same in every run. */
function createSequence(): () => number {
  let last = 0;
  return () => (last = (last + (Math.sqrt(5) - 1) / 2) % 1);
}

/**
 * Simulates a large fleet in which one prompt gets a fifteenth of the requests. A single placement stands for all boxes: each
 * box has hardly any requests of its own at an endpoint, so all of them rely on the same delayed load reports. Returns the
 * highest share, in any window, of requests that arrived at an endpoint over the bound.
 */
async function findWorstOverBoundShare(reportIntervalMs: number, path: LoadPath): Promise<number> {
  const hasher = await createHasher();
  const { table, rows } = createTable(ENDPOINTS);
  const random = createSequence();
  const placement = new Placement({
    filterKnown: (_service, rows) => rows,
    evacuations: new Evacuations(),
    cold: createColdEndpointLimiter(hasher),
    findRegion: () => undefined,
    table,
    hasher,
    hall: 'a',
    random,
    promptHolders: new PromptHolders(),
    demand: new PromptDemand(),
    readLoadPath: () => path,
    readLoadAgeMs: () => reportIntervalMs,
  });
  const inFlight = new Map<EndpointRow, number>(rows.map((row) => [row, 0]));
  const pending: { readonly endsAtMs: number; readonly row: EndpointRow }[] = [];
  const arrivals: { readonly atMs: number; readonly isOverBound: boolean }[] = [];
  const send = (prompt: string, nowMs: number): void => {
    const promptParts = [
      { id: prompt, tokens: 900 },
      { id: 'own', tokens: 10 },
    ];
    const row = placement.choose({ service: 'llm', promptParts, excluded: new Set() }, 100_000)?.row;
    if (row === undefined) return;
    const mean = pending.length / ENDPOINTS;
    const load = inFlight.get(row) ?? 0;
    arrivals.push({ atMs: nowMs, isOverBound: load > BOUND_FACTOR * mean + BOUND_ALLOWANCE });
    inFlight.set(row, load + 1);
    pending.push({ endsAtMs: nowMs + SERVICE_MS, row });
  };
  for (let nowMs = 0; nowMs < RUN_MS; nowMs += STEP_MS) {
    while (pending[0] !== undefined && pending[0].endsAtMs <= nowMs) {
      const { row } = pending.shift()!;
      inFlight.set(row, (inFlight.get(row) ?? 0) - 1);
    }
    if (nowMs % reportIntervalMs === 0) for (const row of rows) row.peersInFlight = inFlight.get(row) ?? 0;
    for (let count = 0; count < BACKGROUND_PER_STEP; count += 1) {
      send(`p${Math.floor(random() * PROMPTS)}`, nowMs);
    }
    if (nowMs > WINDOW_MS / 2 && (nowMs / STEP_MS) % HOT_EVERY_STEPS === 0) send('hot', nowMs);
  }
  const shares = arrivals.map(({ atMs }) => {
    const window = arrivals.filter((other) => other.atMs >= atMs && other.atMs < atMs + WINDOW_MS);
    return window.filter((other) => other.isOverBound).length / window.length;
  });
  return Math.max(...shares.slice(0, shares.length / 2));
}

test('a prompt that becomes hot stays within the load bound if load reports arrive within a second', async () => {
  expect(await findWorstOverBoundShare(600, 'relayed')).toBeLessThanOrEqual(BOUND_SHARE);
});

test('load reports as rare as direct ones among 80 boxes exceed the bound', async () => {
  expect(await findWorstOverBoundShare(2_400, 'relayed')).toBeGreaterThan(BOUND_SHARE);
});

test('direct load reports are recent enough for a cap closer to the bound', async () => {
  expect(await findWorstOverBoundShare(300, 'direct')).toBeLessThanOrEqual(BOUND_SHARE);
});
