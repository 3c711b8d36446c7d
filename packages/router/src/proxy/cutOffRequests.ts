/** Ends the requests that are still in progress as their box exits. */
import type { StopLog } from '../observability/stopLog.js';
import type { RunningRequest } from '../routerContext.js';

/**
 * Ends all requests with a final response each, and logs how far they had come.
 *
 * @param stoppedAtMs when the stop of the box was requested
 */
export function cutOffRequests(
  requests: Iterable<RunningRequest>,
  stopLog: StopLog,
  stoppedAtMs: number,
): void {
  for (const request of [...requests]) {
    const { stage, arrivedAtMs, earlierOnConnection } = request;
    const arrivedAfterStopMs = arrivedAtMs - stoppedAtMs;
    stopLog.logCutOff({ stage, arrivedAfterStopMs, earlierOnConnection, fields: request.createLogFields() });
    request.cutOff();
  }
}
