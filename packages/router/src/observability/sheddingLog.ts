/** Logs and counts requests that are rejected because their service is short of room. */
import type { SheddableRequest } from '../admission/loadShedding.js';
import type { DecisionLog } from './decisionLog.js';
import type { RouterMetrics } from './metrics.js';

/** How a request was rejected. */
export type SheddingReason =
  /** On arrival. */
  | 'atOnce'
  /** After a wait in the box. */
  | 'afterWait';

/** A request that is rejected. */
export interface ShedRequest {
  readonly request: SheddableRequest;
  readonly reason: SheddingReason;
  readonly nowMs: number;
  readonly retryAfterMs: number;
}

/** Writes a line when shedding of a service begins or ends, and a few lines a second about what is rejected. */
export class SheddingLog {
  private readonly sheddingServices = new Set<string>();

  constructor(
    private readonly log: DecisionLog,
    private readonly metrics: RouterMetrics,
  ) {}

  /** Records the admitted share of a service, after each view of its room. */
  recordShare(service: string, share: number, use: number): void {
    this.metrics.admittedShare.set({ service }, share);
    const isShedding = share < 1;
    if (isShedding === this.sheddingServices.has(service)) return;
    if (isShedding) this.sheddingServices.add(service);
    else this.sheddingServices.delete(service);
    this.log.write('notable', 'loadShedding', {
      service,
      change: isShedding ? 'begins' : 'ends',
      share: roundShare(share),
      use: roundShare(use),
    });
  }

  /** Records a rejected request. */
  recordRejected({ request, reason, nowMs, retryAfterMs }: ShedRequest): void {
    const { service, rank, team, isOnce } = request;
    this.metrics.shedRequests.inc({ service, reason });
    this.log.write('routine', 'requestShed', {
      service,
      rank,
      team,
      isOnce,
      reason,
      waitedMs: Math.round(nowMs - request.arrivedAtMs),
      retryAfterMs: Math.round(retryAfterMs),
    });
  }
}

function roundShare(share: number): number {
  return Math.round(share * 100) / 100;
}
