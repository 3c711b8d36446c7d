/**
 * Retry: when a request may be started again, and how many such retries a service may cost.
 */
import type { RetryReason } from '../effects.js';
import type { RepeatRule, ServiceName } from '../records.js';
import type { Ran } from '../resultCodes.js';
import type { RequestRow } from '../tables/requests.js';
import type { World } from '../world.js';
import { count } from '../world.js';

/** Methods that HTTP itself declares repeatable. */
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS']);

/**
 * Tells whether starting the request again can do no harm: nothing of it is used up, and it did not run or its service
 * allows it to run again.
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

/** A key makes a call repeatable where somebody judges it: the endpoint itself, or the key's owner. */
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

/** A success earns its service a part of a retry. */
export function replenishRetryBudget(world: World, service: ServiceName): void {
  const earned = readBudget(world, service) + world.settings.retryRatio;
  world.retryBudgets.set(service, Math.min(world.settings.retryBurst, earned));
}

/** Backs off before the next attempt. Returns false if there may be none. */
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
