/** Decides whether a request may be sent to another endpoint: by its route, its quarantine and the fleet's retry budget. */
import type { RouterContext } from '../routerContext.js';
import type { Assignment } from './assignment.js';
import type { AttemptSet } from './attemptSet.js';
import type { ExchangeFacts, RetryReason } from './exchangeLog.js';
import { logRetryDenied } from './exchangeLog.js';
import type { RequestSuspicion } from './requestSuspicion.js';

/** The request that asks. */
export interface RetryingRequest {
  readonly assignment: Assignment | undefined;
  readonly attempts: AttemptSet;
  readonly suspicion: RequestSuspicion;
  readonly listFacts: () => ExchangeFacts;
}

/**
 * Takes a retry from the budget if the request may have one; counts the reason if it may not.
 *
 * @example if (takeRetry(context, request, 'serverError')) place();
 */
export function takeRetry(context: RouterContext, request: RetryingRequest, reason: RetryReason): boolean {
  const { assignment, attempts, suspicion } = request;
  if (assignment === undefined || !attempts.mayOpenAnother(assignment.route)) {
    context.metrics.retriesDenied.inc({ reason: 'attempts' });
    return false;
  }
  if (suspicion.readWaitMs() > 0) {
    context.metrics.retriesDenied.inc({ reason: 'quarantine' });
    return false;
  }
  if (context.budget.take(assignment.service, context.now())) return true;
  logRetryDenied(context, request.listFacts(), reason);
  return false;
}
