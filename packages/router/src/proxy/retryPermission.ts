/**
 * Decides whether a request may be retried: by its route's attempt limit, its quarantine, the room of its service and the
 * fleet's retry budget.
 */
import type { RouterContext } from '../routerContext.js';
import type { RetryPurpose } from '../systems/retryBudget.js';
import type { Assignment } from './assignment.js';
import type { AttemptSet } from './attemptSet.js';
import type { ExchangeLogFields, RetryDenial, RetryReason } from './exchangeLog.js';
import { logRetryDenied } from './exchangeLog.js';
import type { RequestQuarantine } from './requestQuarantine.js';

/** A request that is about to be retried. */
export interface RetryingRequest {
  readonly assignment: Assignment | undefined;
  readonly attempts: AttemptSet;
  readonly requestQuarantine: RequestQuarantine;
  readonly createLogFields: () => ExchangeLogFields;
}

/**
 * Takes a retry from the budget if the request may be retried; otherwise counts the reason for the denial.
 *
 * @example if (takeRetry(context, request, 'serverError')) openAttempt();
 */
export function takeRetry(context: RouterContext, request: RetryingRequest, reason: RetryReason): boolean {
  const { assignment, attempts, requestQuarantine } = request;
  if (assignment === undefined || !attempts.mayOpenAnother(assignment.route)) {
    context.metrics.retriesDenied.inc({ reason: 'attempts' });
    return false;
  }
  if (!attempts.endsInTime(assignment)) {
    context.metrics.retriesDenied.inc({ reason: 'stopping' });
    return false;
  }
  if (requestQuarantine.readRemainingMs() > 0) {
    context.metrics.retriesDenied.inc({ reason: 'quarantine' });
    return false;
  }
  const denial = takeFromBudget(context, assignment.service, reason);
  if (denial === undefined) return true;
  logRetryDenied(context, request.createLogFields(), reason, denial);
  return false;
}

/** Takes a retry from the budget, or returns why it is denied. */
function takeFromBudget(
  context: RouterContext,
  service: string,
  reason: RetryReason,
): RetryDenial | undefined {
  const purpose = findPurpose(reason);
  const isFull = context.isFull(service);
  // A hedge takes a second slot while the first is still held.
  if (isFull && reason === 'hedge') return 'shortOfRoom';
  if (context.budget.take({ service, purpose, isFull }, context.now())) return undefined;
  return isFull && purpose !== 'notRun' ? 'shortOfRoom' : 'budget';
}

function findPurpose(reason: RetryReason): RetryPurpose {
  switch (reason) {
    case 'unsent':
    case 'notRun':
      return 'notRun';
    case 'serverError':
    case 'broken':
    case 'silent':
    case 'hedge':
      return 'repeat';
    case 'resume':
      return 'resume';
  }
}
