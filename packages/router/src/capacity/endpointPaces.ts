/**
 * Estimates the pace of endpoints that report one: the processing time of a request relative to that at the others of the
 * service. Endpoints differ in speed, and other load on their machines slows some of them down for a while; a box that
 * only counts requests sends a slow endpoint as many as the others.
 *
 * Each box observes the reports in responses. The observations of all boxes are pooled (`peers/paceRelay.ts`), so that
 * all boxes have the same estimates.
 */
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import type { PaceList } from './paceSums.js';
import { PaceSums, readPaceList } from './paceSums.js';
import type { ObservedPace } from './servicePaces.js';
import { estimatePaces, limitPace } from './servicePaces.js';

/** Pace from which an endpoint is reported to operators as slow, and below which it is as usual again. */
const SLOW_PACE = 1.3;
const USUAL_PACE = 1.05;
/** Time after which observations count 1/e. Several slow periods of half a second fit in it. */
const AGING_MS = 16_000;
/** An endpoint without observations for this long counts as usual: it may have recovered. */
const MAX_SILENCE_MS = 10_000;

/** A change that operators are told about; `removed`: the endpoint was slow and is no longer listed. */
export type PaceChange = 'slow' | 'usual' | 'removed';

/** Dependencies of the estimation. */
export interface EndpointPacesOptions {
  readonly table: EndpointTable;
  /** Whether paces are estimated at all; otherwise each endpoint has the pace 1. */
  readonly isEnabled: () => boolean;
  /** Called when an endpoint becomes slow or ceases to be, with the number of slow endpoints. */
  readonly onChange: (row: EndpointRow, change: PaceChange, slowCount: number) => void;
  /** Called when all estimates are dropped because estimation was turned off. */
  readonly onClear: () => void;
}

interface Evidence {
  /** Sums of the observations, aged to the time of the last refresh. */
  sum: number;
  weight: number;
  /** When the first and the last observations arrived. */
  readonly firstAtMs: number;
  observedAtMs: number;
  isSlow: boolean;
}

/** Observes paces for one box and keeps the estimates of all endpoints in the table. */
export class EndpointPaces {
  private readonly observed = new PaceSums();
  private readonly evidence = new Map<EndpointRow, Evidence>();
  private refreshedAtMs = 0;
  private slow = 0;

  constructor(private readonly options: EndpointPacesOptions) {}

  /** Number of slow endpoints. */
  get slowCount(): number {
    return this.slow;
  }

  /**
   * Records the pace that an endpoint reported in a response.
   *
   * @example paces.observe(row, 2.5)
   */
  observe({ tag }: EndpointRow, pace: number): void {
    if (this.options.isEnabled()) this.observed.add(tag, { sum: limitPace(pace), weight: 1 });
  }

  /** Returns this box's observations since the last call. */
  takeObserved(): number[] {
    return this.observed.take();
  }

  /**
   * Adds observations of several boxes to the estimates.
   *
   * @example paces.apply([row.tag, 250, 1], nowMs) // one report of the pace 2.5
   */
  apply(list: PaceList, nowMs: number): void {
    if (!this.options.isEnabled()) return this.clear();
    this.age(nowMs);
    for (const [tag, { sum, weight }] of readPaceList(list)) {
      const row = this.options.table.findByTag(tag);
      if (row === undefined) continue;
      const evidence = this.evidence.get(row) ?? createEvidence(nowMs);
      evidence.sum += weight * limitPace(sum / weight);
      evidence.weight += weight;
      evidence.observedAtMs = nowMs;
      this.evidence.set(row, evidence);
    }
    this.updateRows();
  }

  /** Ages the estimates; call it a few times a second. */
  refresh(nowMs: number): void {
    if (!this.options.isEnabled()) return this.clear();
    if (this.evidence.size === 0) return;
    this.age(nowMs);
    this.updateRows();
  }

  private age(nowMs: number): void {
    const factor = Math.exp((this.refreshedAtMs - nowMs) / AGING_MS);
    this.refreshedAtMs = nowMs;
    for (const evidence of this.evidence.values()) {
      evidence.sum *= factor;
      evidence.weight *= factor;
    }
  }

  private updateRows(): void {
    const services = new Set([...this.evidence.keys()].map(({ listing }) => listing.service));
    for (const [row, evidence] of this.evidence)
      if (this.isForgotten(row, evidence)) this.forget(row, evidence);
    for (const service of services) this.updateService(service);
    for (const [row, evidence] of this.evidence) this.updateSlow(row, evidence);
  }

  private updateService(service: string): void {
    const rows = this.options.table.listService(service);
    const paces = estimatePaces(rows.map((row) => this.readObserved(row)));
    rows.forEach((row, at) => (row.pace = paces[at] ?? 1));
  }

  private readObserved(row: EndpointRow): ObservedPace | undefined {
    const evidence = this.evidence.get(row);
    if (evidence === undefined) return undefined;
    const { sum, weight, firstAtMs } = evidence;
    return { sum, weight, forMs: this.refreshedAtMs - firstAtMs };
  }

  private isForgotten(row: EndpointRow, { observedAtMs }: Evidence): boolean {
    return this.refreshedAtMs - observedAtMs > MAX_SILENCE_MS || !this.isListed(row);
  }

  private forget(row: EndpointRow, evidence: Evidence): void {
    this.evidence.delete(row);
    row.pace = 1;
    if (!evidence.isSlow) return;
    this.slow -= 1;
    this.options.onChange(row, this.isListed(row) ? 'usual' : 'removed', this.slow);
  }

  private updateSlow(row: EndpointRow, evidence: Evidence): void {
    const isSlow = row.pace >= (evidence.isSlow ? USUAL_PACE : SLOW_PACE);
    if (isSlow === evidence.isSlow) return;
    evidence.isSlow = isSlow;
    this.slow += isSlow ? 1 : -1;
    this.options.onChange(row, isSlow ? 'slow' : 'usual', this.slow);
  }

  private isListed(row: EndpointRow): boolean {
    return this.options.table.findByTag(row.tag) === row;
  }

  private clear(): void {
    this.observed.take();
    if (this.evidence.size === 0) return;
    for (const row of this.options.table.byId.values()) row.pace = 1;
    this.evidence.clear();
    this.slow = 0;
    this.options.onClear();
  }
}

function createEvidence(nowMs: number): Evidence {
  return { sum: 0, weight: 0, firstAtMs: nowMs, observedAtMs: nowMs, isSlow: false };
}
