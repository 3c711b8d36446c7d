/**
 * Attributes the processor time of a box to kinds of work, in counters and in one log line for each second in which
 * the process was busy. The time that is not attributed is spent on requests: parsing, connections and copying in
 * libraries.
 */
import { PerformanceObserver } from 'node:perf_hooks';
import type { DecisionLog } from './decisionLog.js';
import type { RouterMetrics } from './metrics.js';

/** Interval of the reports. */
const REPORT_MS = 1_000;
/** Share of a core from which a second is logged as busy. */
const BUSY_SHARE = 0.15;
const US_PER_MS = 1_000;

const WORK_KINDS = [
  /** Decoding frames from peers. */
  'frameDecoding',
  /** Sending heartbeats and probes, handling received heartbeats, and maintaining links. */
  'membership',
  /** Sending and receiving loads and prompts. */
  'loads',
  /** Applying lists of endpoints from the platform and from peers. */
  'lists',
  /** Applying configurations from the platform and from peers. */
  'configuration',
  /** Sending and receiving reports of endpoint crashes, and deciding about quarantines. */
  'crashNews',
  /** Requesting, relaying and scheduling slots. */
  'slots',
  /** Reporting and looking up the versions that began streams. */
  'streams',
  /** Checking requests in progress and endpoints for timeouts and silence. */
  'timeouts',
] as const;

/** A kind of work to which processor time is attributed. */
export type WorkKind = (typeof WORK_KINDS)[number];

/** Processor time of this process since its start, in milliseconds. */
export function readProcessorMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / US_PER_MS;
}

/** Dependencies of the meter. */
export interface WorkMeterOptions {
  readonly log: DecisionLog;
  readonly metrics: RouterMetrics;
  readonly now: () => number;
}

interface WorkTotal {
  spentMs: number;
  count: number;
}

type WorkTotals = Readonly<Record<WorkKind, WorkTotal>>;

function createTotals(): WorkTotals {
  return Object.fromEntries(WORK_KINDS.map((kind) => [kind, { spentMs: 0, count: 0 }])) as WorkTotals;
}

/** Measures the work of one box. */
export class WorkMeter {
  /** Totals since the last report. */
  private totals = createTotals();
  private current: WorkKind | undefined;
  private switchedAtMs = 0;
  private gcMs = 0;
  private reportedAtMs: number;
  private reportedProcessorMs = readProcessorMs();
  private readonly gcObserver = new PerformanceObserver((list) => {
    for (const entry of list.getEntries()) this.gcMs += entry.duration;
  });

  constructor(private readonly options: WorkMeterOptions) {
    this.reportedAtMs = options.now();
    this.gcObserver.observe({ entryTypes: ['gc'] });
  }

  /**
   * Runs a function and attributes its time to a kind of work. A nested call for another kind counts for that kind
   * only; a nested call for the same kind is part of the outer one.
   *
   * @example meter.measure('loads', () => relay.tick());
   */
  measure<T>(kind: WorkKind, work: () => T): T {
    const outer = this.current;
    if (outer === kind) return work();
    this.switchTo(kind);
    try {
      return work();
    } finally {
      this.switchTo(outer);
      this.totals[kind].count += 1;
    }
  }

  /** Runs once a tick; reports once a second. */
  tick(nowMs: number): void {
    if (nowMs - this.reportedAtMs >= REPORT_MS) this.report(nowMs);
  }

  /** Stops measuring. */
  close(): void {
    this.gcObserver.disconnect();
  }

  private switchTo(kind: WorkKind | undefined): void {
    const nowMs = this.options.now();
    if (this.current !== undefined) this.totals[this.current].spentMs += nowMs - this.switchedAtMs;
    this.current = kind;
    this.switchedAtMs = nowMs;
  }

  private report(nowMs: number): void {
    const spanMs = nowMs - this.reportedAtMs;
    this.reportedAtMs = nowMs;
    const processorMs = readProcessorMs();
    const usedMs = processorMs - this.reportedProcessorMs;
    this.reportedProcessorMs = processorMs;
    const { totals } = this;
    this.totals = createTotals();
    const { log, metrics } = this.options;
    metrics.processorMs.inc(usedMs);
    for (const kind of WORK_KINDS) metrics.workMs.inc({ kind }, totals[kind].spentMs);
    metrics.workMs.inc({ kind: 'garbageCollection' }, this.gcMs);
    if (usedMs >= BUSY_SHARE * spanMs)
      log.write('notable', 'busySecond', this.describe(spanMs, usedMs, totals));
    this.gcMs = 0;
  }

  private describe(spanMs: number, usedMs: number, totals: WorkTotals): Record<string, number> {
    const fields: Record<string, number> = {
      spanMs: Math.round(spanMs),
      usedMs: roundToTenth(usedMs),
      gcMs: roundToTenth(this.gcMs),
    };
    for (const kind of WORK_KINDS) {
      fields[`${kind}Ms`] = roundToTenth(totals[kind].spentMs);
      fields[`${kind}Count`] = totals[kind].count;
    }
    return fields;
  }
}

function roundToTenth(ms: number): number {
  return Math.round(ms * 10) / 10;
}
