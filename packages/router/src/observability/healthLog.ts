/** Writes down what a box comes to believe of endpoints and of other boxes. */
import type { HealthChange } from '../systems/endpointHealth.js';
import type { EndpointNoticeChange } from '../systems/endpointNotices.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import type { DecisionLog } from './decisionLog.js';
import type { RouterMetrics } from './metrics.js';

/** Lines and counters of changed beliefs. */
export class HealthLog {
  constructor(
    private readonly log: DecisionLog,
    private readonly metrics: RouterMetrics,
    private readonly now: () => number,
  ) {}

  /** An endpoint gets new requests no more, or again. */
  logEndpointHealth(row: EndpointRow, change: HealthChange, because: string): void {
    this.metrics.healthChanges.inc({ change });
    this.log.write('notable', 'endpointStanding', {
      endpoint: row.listing.id,
      service: row.listing.service,
      hall: row.listing.hall,
      change,
      because,
      failureRate: Math.round(row.failureRate * 100) / 100,
      inFlight: row.inFlight,
      heardAgoMs: Math.round(this.now() - row.lastResponseAtMs),
    });
  }

  /** Logs and counts an announcement that changed the recorded state of an endpoint. */
  logEndpointNotice(row: EndpointRow, change: EndpointNoticeChange): void {
    this.metrics.endpointNotices.inc({ notice: change });
    this.log.write('notable', 'endpointNotice', {
      endpoint: row.listing.id,
      service: row.listing.service,
      hall: row.listing.hall,
      notice: change,
      listedAs: row.listing.state,
      backOffMs: Math.max(0, Math.round(row.notice.backOffUntilMs - this.now())),
      inFlight: row.inFlight,
    });
  }

  /** A box of the own hall was found to be down, or is back. */
  logBoxState(address: string, standing: 'down' | 'up', because: string, boxes: number): void {
    this.metrics.peerStateChanges.inc({ standing });
    this.log.write('notable', 'boxStanding', { address, standing, because, boxes });
  }
}
