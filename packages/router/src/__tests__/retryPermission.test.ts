import { RouterMetrics } from '../observability/metrics.js';
import type { RetryingRequest } from '../proxy/retryPermission.js';
import { takeRetry } from '../proxy/retryPermission.js';
import type { RetryReason } from '../proxy/exchangeLog.js';
import type { RouterContext } from '../routerContext.js';
import { RetryBudget } from '../systems/retryBudget.js';

const NOW_MS = 10_000;
const request = {
  assignment: { service: 's', route: {} },
  attempts: { mayOpenAnother: () => true, endsInTime: () => true },
  requestQuarantine: { readRemainingMs: () => 0 },
  createLogFields: () => ({}),
} as unknown as RetryingRequest;

function createContext(isFull: boolean): { context: RouterContext; lines: object[] } {
  const lines: object[] = [];
  const context = {
    metrics: new RouterMetrics(),
    budget: new RetryBudget({ ratio: 0.2, windowMs: 10_000, extra: 40 }, 0, () => 1),
    log: { write: (_level: string, _event: string, fields: object) => void lines.push(fields) },
    now: () => NOW_MS,
    isFull: () => isFull,
  } as unknown as RouterContext;
  return { context, lines };
}

/** Retries for this reason until they are denied. */
function countRetries(context: RouterContext, reason: RetryReason): number {
  let count = 0;
  while (takeRetry(context, request, reason)) count += 1;
  return count;
}

test('silent endpoints while the service is short of room: no hedge takes a second slot', async () => {
  const { context, lines } = createContext(true);
  expect(takeRetry(context, request, 'hedge')).toBe(false);
  expect(lines).toEqual([{ reason: 'hedge', because: 'shortOfRoom' }]);
  expect(await context.metrics.format()).toContain('hazelwalk_retries_denied_total{reason="shortOfRoom"} 1');
  expect(takeRetry(createContext(false).context, request, 'hedge')).toBe(true);
});

test.each(['serverError', 'broken', 'silent'] as const)(
  'endpoints fail (%s) while the service is short of room: repeats leave the budget to what did not run',
  (reason) => {
    const { context, lines } = createContext(true);
    const all = countRetries(createContext(false).context, reason);
    const repeats = countRetries(context, reason);
    expect(repeats).toBeGreaterThan(0);
    expect(repeats).toBeLessThanOrEqual(all / 2);
    expect(lines.at(-1)).toEqual({ reason, because: 'shortOfRoom' });
    expect(countRetries(context, 'notRun')).toBe(all - repeats);
    expect(lines.at(-1)).toEqual({ reason: 'notRun', because: 'budget' });
  },
);

test('endpoints break streams while the service is short of room: streams being read move before fresh repeats', () => {
  const { context } = createContext(true);
  const repeats = countRetries(context, 'broken');
  expect(takeRetry(context, request, 'resume')).toBe(true);
  expect(countRetries(createContext(true).context, 'resume')).toBeGreaterThan(repeats);
});
