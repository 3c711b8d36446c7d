/** Logs for operators which requests are suspected of crashing endpoints, and which boxes reported the crashes. */
import { readLastCrashMs } from '../quarantine/crashedRuns.js';
import type { OnQuarantineChange } from '../quarantine/quarantine.js';
import type { CrashReportDelays } from '../quarantine/quarantineRelay.js';
import type { DecisionLog } from './decisionLog.js';
import type { RouterMetrics } from './metrics.js';

/** Fewer crashes are not logged: the first one concerns every request that was in flight at the endpoint. */
const MIN_LOGGED_CRASHES = 2;

/** Dependencies of the log. */
export interface QuarantineLogOptions {
  readonly log: DecisionLog;
  readonly metrics: RouterMetrics;
  readonly now: () => number;
  /** Returns the number of requests that are in quarantine. */
  readonly readCount: () => number;
}

/** Creates the handler that logs and counts the changes of a quarantine. */
export function createQuarantineLog(options: QuarantineLogOptions): OnQuarantineChange {
  const { log, metrics, now, readCount } = options;
  return (fingerprint, change, { runs, crashes, state }) => {
    metrics.quarantineChanges.inc({ change });
    metrics.quarantined.set(readCount());
    if (crashes < MIN_LOGGED_CRASHES) return;
    log.write('notable', 'quarantine', {
      content: fingerprint,
      change,
      crashes,
      endpointTags: runs.map((run) => run.endpointTag).join(),
      witnesses: runs.map((run) => run.reporter).join(),
      endedAgoMs: runs.map((run) => Math.round(now() - run.localEndAtMs)).join(),
      lastCrashAgoMs: Math.round(now() - readLastCrashMs(runs)),
      ...(state.type === 'quarantined' && {
        together: state.scope.together.join(),
        callers: state.scope.callers?.join() ?? 'all',
      }),
      waitMs: state.type === 'quarantined' ? Math.round(state.untilMs - now()) : undefined,
    });
  };
}

/** Creates the handler that logs how late crash reports arrived, and where the time was spent. */
export function createCrashReportLog(log: DecisionLog): (delays: CrashReportDelays) => void {
  return ({ fingerprint, reporter, hops, heldMs, delayMs, loopMs }) =>
    log.write('notable', 'crashNews', {
      content: fingerprint,
      witness: reporter,
      hops,
      heldMs: Math.round(heldMs),
      delayMs: Math.round(delayMs),
      loopMs: Math.round(loopMs),
    });
}
