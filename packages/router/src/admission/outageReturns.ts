/**
 * Spreads the returns of callers whose service, or a whole hall, was away: they come back at about the rate at which this
 * box was asked before, not as one wave onto endpoints that have just returned. The spread is bounded by the time for which
 * the service has been away, so that a short absence costs them little, and by the time that a caller has left.
 */

/** A single caller returns after this time at the earliest, which still lets it be served in time. */
const MIN_RETURN_MS = 60;
/** Least spread: keeps callers that were rejected together apart. */
const MIN_SPREAD_MS = 60;
/** Largest spread: the service may be back much sooner than that. */
const MAX_SPREAD_MS = 1_500;
/** The spread is at most this multiple of the time for which the service has been away. */
const MAX_SPREAD_PER_AWAY = 2;
/**
 * Without a rejection for this long the service was back in between: longer than any retry time, as all callers may wait for
 * theirs.
 */
const BACK_AFTER_MS = 2_000;
/** A caller has time for two more tries after its retry. */
const MAX_SHARE_OF_REMAINING = 1 / 3;
/** As many returns per second and box are no wave for any service, and boxes that were not asked before know no rate. */
const MIN_RETURNS_PER_S = 20;
/** Rejected requests are counted in steps of this length, over the last second. */
const STEP_MS = 100;
const STEPS = 10;
const MS_PER_S = 1_000;

interface Step {
  readonly index: number;
  rejected: number;
}

/** Rejections since a service went away. */
interface Series {
  readonly firstAtMs: number;
  lastAtMs: number;
  /** Those of the last second. */
  steps: Step[];
}

/** Inputs of the spread. */
export interface OutageReturnsOptions {
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
  /** Requests of callers per second for a service that this box was asked lately. */
  readonly readRequestsPerS: (service: string, nowMs: number) => number;
}

/** Picks retry times by the requests rejected in the last second, by service. */
export class OutageReturns {
  private readonly seriesByService = new Map<string, Series>();

  constructor(private readonly options: OutageReturnsOptions) {}

  /**
   * Records a request that is rejected as its service is away, and picks the time after which its caller should retry.
   *
   * @param remainingMs how long the caller will still wait
   * @example returns.pickRetryAfterMs('rooms', performance.now(), 5_000) // 60 to 120 if it is the only one
   */
  pickRetryAfterMs(service: string, nowMs: number, remainingMs: number): number {
    const series = this.findSeries(service, nowMs);
    const others = recordRejected(series, nowMs);
    const returnsPerS = Math.max(MIN_RETURNS_PER_S, this.options.readRequestsPerS(service, nowMs));
    const wantedMs = (others / returnsPerS) * MS_PER_S;
    const longestMs = MAX_SHARE_OF_REMAINING * remainingMs;
    const boundMs = Math.min(
      MAX_SPREAD_MS,
      MAX_SPREAD_PER_AWAY * (nowMs - series.firstAtMs),
      longestMs - MIN_RETURN_MS,
    );
    return Math.min(longestMs, this.drawFrom(Math.max(MIN_SPREAD_MS, Math.min(wantedMs, boundMs))));
  }

  /** Each spread is wider than the one before it: drawn from their whole widths, most would return early. */
  private drawFrom(spreadMs: number): number {
    const earliestMs = (spreadMs - MIN_SPREAD_MS) / 2;
    return MIN_RETURN_MS + earliestMs + this.options.random() * (spreadMs - earliestMs);
  }

  /** The series of rejections that is in progress, or a new one. */
  private findSeries(service: string, nowMs: number): Series {
    const known = this.seriesByService.get(service);
    if (known !== undefined && nowMs - known.lastAtMs < BACK_AFTER_MS) return known;
    const series: Series = { firstAtMs: nowMs, lastAtMs: nowMs, steps: [] };
    this.seriesByService.set(service, series);
    return series;
  }
}

/** Records a rejected request; returns how many were rejected before it in the last second. */
function recordRejected(series: Series, nowMs: number): number {
  const index = Math.floor(nowMs / STEP_MS);
  series.lastAtMs = nowMs;
  series.steps = series.steps.filter((step) => step.index > index - STEPS);
  const rejected = series.steps.reduce((sum, step) => sum + step.rejected, 0);
  const last = series.steps.at(-1);
  if (last?.index === index) last.rejected += 1;
  else series.steps.push({ index, rejected: 1 });
  return rejected;
}
