/**
 * Retry: whether a request may be started again, and the retry budget of each service.
 */
import type { RetryReason } from '../effects.js';
import type { RepeatRule, ServiceName } from '../records.js';
import type { Ran } from '../resultCodes.js';
import type { RequestRow } from '../tables/requests.js';
import type { World } from '../world.js';
import { count } from '../world.js';

/** Methods that HTTP defines as safe. */
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * Whether a request can be started again without harm: its streamed body has not been read, no part of its response has
 * been sent, and either it did not run or its service allows it to run again.
 *
 * @example isRepeatable(row, 'unknown')
 */
export function isRepeatable(row: RequestRow, ran: Ran): boolean {
  if (row.responseStarted || row.bodyTaken) return false;
  if (ran === 'no') return true;
  const { service } = row;
  switch (service.kind) {
    case 'model':
      return true;
    case 'plain':
      return isPlainRepeatable(row, service.repeat);
  }
}

/** A call with an idempotency key is repeatable if the endpoint or the key's owner prevents a second run. */
function isPlainRepeatable(row: RequestRow, repeat: RepeatRule): boolean {
  const hasKey = row.head.key !== undefined;
  switch (repeat) {
    case 'safe':
      return true;
    case 'keyChecked':
      return hasKey || SAFE_METHODS.has(row.head.method);
    case 'never':
      return hasKey && !row.isKeyOwner;
  }
}

function readBudget(world: World, service: ServiceName): number {
  return world.retryBudgets.get(service) ?? world.settings.retryBurst;
}

/** Adds the share of a retry that a successful request earns to the budget of its service. */
export function replenishRetryBudget(world: World, service: ServiceName): void {
  const earned = readBudget(world, service) + world.settings.retryRatio;
  world.retryBudgets.set(service, Math.min(world.settings.retryBurst, earned));
}

/** Schedules the next attempt after a backoff. Returns false if the request must not be retried. */
export function scheduleRetry(world: World, row: RequestRow, reason: RetryReason, ran: Ran): boolean {
  if (!isRepeatable(row, ran) || row.attempt >= world.settings.maxAttempts) return false;
  const budget = readBudget(world, row.service.name);
  if (budget < 1) {
    count(world, 'refusal.retryBudget');
    return false;
  }
  const backoffMs = world.settings.retryBackoffMs * 2 ** (row.attempt - 1) * (0.5 + world.deps.random());
  if (world.nowMs + backoffMs >= row.deadlineMs) return false;
  world.retryBudgets.set(row.service.name, budget - 1);
  count(world, `retry.${reason}`);
  row.phase = 'backingOff';
  row.attempt += 1;
  row.retryAtMs = world.nowMs + backoffMs;
  row.targetBox = undefined;
  return true;
}
