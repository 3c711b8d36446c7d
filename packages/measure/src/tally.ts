/** Collects the metrics of a run: skew and load bound per sample, cache reuse per turn, control bytes per box. */
import type { SimulatedEngine } from './simulatedEngine.js';
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { CHURN, CHURN_WINDOW_MS, SURGE } from './scenario.js';
import type { Scenario } from './scenario.js';

const RATIO_SCALE = 1_000;

/** Results of one policy. Quiet teams are all but the one that surges. */
export interface VariantResult {
  readonly policy: string;
  readonly deployment: string;
  readonly requests: number;
  readonly meanInFlight: number;
  readonly skewMedian: number;
  readonly skewP99: number;
  readonly skewMax: number;
  readonly samples: number;
  readonly boundViolations: number;
  readonly boundViolationsInChurn: number;
  readonly cacheReuse: number;
  readonly cacheReuseOracle: number;
  readonly controlBytesPerSecondPerBox: number;
  readonly requestBytesPerRequest: number;
  readonly hopsPerRequest: number;
  readonly quietWaitP99Ms: number;
  readonly quietWaitP99InSurgeMs: number;
  readonly refusals: Readonly<Record<string, number>>;
}

function isInChurn(nowMs: number): boolean {
  return CHURN.some((change) => nowMs >= change.atMs && nowMs < change.atMs + CHURN_WINDOW_MS);
}

function createHistogram(): Histogram {
  return build({ highestTrackableValue: 1_000_000, numberOfSignificantValueDigits: 3 });
}

/** Collects the metrics of a run. */
export class Tally {
  requests = 0;
  controlBytes = 0;
  requestBytes = 0;
  hops = 0;
  readonly refusals = new Map<string, number>();
  private readonly skews = createHistogram();
  private readonly quietWaits = createHistogram();
  private readonly quietWaitsInSurge = createHistogram();
  private loadSum = 0;
  private returning = 0;
  private warm = 0;
  private violations = 0;
  private violationsInChurn = 0;

  constructor(private readonly scenario: Scenario) {}

  /** Samples the loads of the engines in service. */
  sample(nowMs: number, engines: readonly SimulatedEngine[]): void {
    if (nowMs < this.scenario.warmUpMs || engines.length === 0) return;
    const loads = engines.map((engine) => engine.inFlight);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    const busiest = Math.max(...loads);
    this.loadSum += mean;
    this.skews.recordValue(Math.round((busiest / Math.max(mean, 1)) * RATIO_SCALE));
    if (busiest <= Math.ceil(this.scenario.loadBound * mean)) return;
    if (isInChurn(nowMs)) this.violationsInChurn += 1;
    else this.violations += 1;
  }

  /** Records a turn that reached an engine. `isQuiet` is true for all teams but the one that surges. */
  recordStart(nowMs: number, isReturning: boolean, wasWarm: boolean, isQuiet: boolean, waitMs: number): void {
    if (nowMs < this.scenario.warmUpMs) return;
    this.requests += 1;
    if (isReturning) this.returning += 1;
    if (isReturning && wasWarm) this.warm += 1;
    if (!isQuiet) return;
    const isSurge = nowMs >= SURGE.fromMs && nowMs < SURGE.untilMs;
    (isSurge ? this.quietWaitsInSurge : this.quietWaits).recordValue(Math.round(waitMs));
  }

  /** Counts a refusal by its code. */
  recordRefusal(code: string): void {
    this.refusals.set(code, (this.refusals.get(code) ?? 0) + 1);
  }

  /** Share of returning turns whose prefix was cached at their engine. */
  get reuse(): number {
    return this.warm / Math.max(1, this.returning);
  }

  /** Creates the results of the run. */
  summarise(policy: string, reuseOracle: number): VariantResult {
    const seconds = this.scenario.durationMs / 1_000;
    const round = (value: number): number => Math.round(value * 10_000) / 10_000;
    return {
      policy,
      deployment: this.scenario.deployment,
      requests: this.requests,
      meanInFlight: round(this.loadSum / Math.max(1, this.skews.totalCount)),
      skewMedian: this.skews.getValueAtPercentile(50) / RATIO_SCALE,
      skewP99: this.skews.getValueAtPercentile(99) / RATIO_SCALE,
      skewMax: this.skews.maxValue / RATIO_SCALE,
      samples: this.skews.totalCount,
      boundViolations: this.violations,
      boundViolationsInChurn: this.violationsInChurn,
      cacheReuse: round(this.reuse),
      cacheReuseOracle: round(reuseOracle),
      controlBytesPerSecondPerBox: Math.round(this.controlBytes / seconds / this.scenario.boxCount),
      requestBytesPerRequest: Math.round(this.requestBytes / Math.max(1, this.requests)),
      hopsPerRequest: round(this.hops / Math.max(1, this.requests)),
      quietWaitP99Ms: this.quietWaits.getValueAtPercentile(99),
      quietWaitP99InSurgeMs: this.quietWaitsInSurge.getValueAtPercentile(99),
      refusals: Object.fromEntries(this.refusals),
    };
  }
}
