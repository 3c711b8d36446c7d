/**
 * Decides whether a request may be retried: by its route's attempt limit, its quarantine and the fleet's retry
 * budget.
 */
import type { RouterContext } from '../routerContext.js';
import type { Assignment } from './assignment.js';
import type { AttemptSet } from './attemptSet.js';
import type { ExchangeLogFields, RetryReason } from './exchangeLog.js';
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
  if (requestQuarantine.readRemainingMs() > 0) {
    context.metrics.retriesDenied.inc({ reason: 'quarantine' });
    return false;
  }
  if (context.budget.take(assignment.service, context.now())) return true;
  logRetryDenied(context, request.createLogFields(), reason);
  return false;
}
