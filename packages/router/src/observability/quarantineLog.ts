/** Tells operators which requests are held against crashes, and by whose report. */
import { readLastCrashMs } from '../quarantine/crashedRuns.js';
import type { OnQuarantineChange } from '../quarantine/quarantine.js';
import type { CrashReportDelays } from '../quarantine/quarantineRelay.js';
import type { DecisionLog } from './decisionLog.js';
import type { RouterMetrics } from './metrics.js';

/** Crashes of which a request's first is no news: every request under way at the endpoint has it. */
const LEAST_TOLD_CRASHES = 2;

/** What the log works with. */
export interface QuarantineLogOptions {
  readonly log: DecisionLog;
  readonly metrics: RouterMetrics;
  readonly now: () => number;
  /** Requests that are not sent to endpoints now. */
  readonly readCount: () => number;
}

/** Creates what writes the changes of a quarantine down. */
export function createQuarantineLog(options: QuarantineLogOptions): OnQuarantineChange {
  const { log, metrics, now, readCount } = options;
  return (content, change, { runs, crashes, state: verdict }) => {
    metrics.quarantineChanges.inc({ change });
    metrics.quarantined.set(readCount());
    if (crashes < LEAST_TOLD_CRASHES) return;
    log.write('notable', 'quarantine', {
      content,
      change,
      crashes,
      endpointTags: runs.map((run) => run.endpointTag).join(),
      witnesses: runs.map((run) => run.reporter).join(),
      endedAgoMs: runs.map((run) => Math.round(now() - run.localEndAtMs)).join(),
      lastCrashAgoMs: Math.round(now() - readLastCrashMs(runs)),
      waitMs: verdict.type === 'quarantined' ? Math.round(verdict.untilMs - now()) : undefined,
    });
  };
}

/** Creates what writes down how late the news of crashes came, and where the time went. */
export function createCrashReportLog(log: DecisionLog): (delays: CrashReportDelays) => void {
  return ({ fingerprint: content, reporter: witness, hops, heldMs, delayMs, loopMs }) =>
    log.write('notable', 'crashNews', {
      content,
      witness,
      hops,
      heldMs: Math.round(heldMs),
      delayMs: Math.round(delayMs),
      loopMs: Math.round(loopMs),
    });
}
