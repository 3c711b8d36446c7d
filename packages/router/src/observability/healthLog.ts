/**
 * Logs and counts, as this box sees them, changes of the health of endpoints, their announcements, and changes of the
 * state of boxes.
 */
import type { HealthChange } from '../systems/endpointHealth.js';
import type { EndpointNoticeChange } from '../systems/endpointNotices.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import type { DecisionLog } from './decisionLog.js';
import type { RouterMetrics } from './metrics.js';

/** Writes these log lines and updates the counters. */
export class HealthLog {
  constructor(
    private readonly log: DecisionLog,
    private readonly metrics: RouterMetrics,
    private readonly now: () => number,
  ) {}

  /** Logs and counts that an endpoint no longer gets new requests, or gets them again. */
  logEndpointHealth(row: EndpointRow, change: HealthChange, reason: string): void {
    this.metrics.healthChanges.inc({ change });
    this.log.write('notable', 'endpointStanding', {
      endpoint: row.listing.id,
      service: row.listing.service,
      hall: row.listing.hall,
      change,
      because: reason,
      failureRate: Math.round(row.failureRate * 100) / 100,
      inFlight: row.inFlight,
      heardAgoMs: Math.round(this.now() - row.lastResponseAtMs),
    });
  }

  /** Logs and counts that a failing endpoint stays in use, since the others of its service have no room. */
  logEjectionWithheld(row: EndpointRow, reason: string): void {
    this.metrics.ejectionsWithheld.inc();
    this.log.write('notable', 'ejectionWithheld', {
      endpoint: row.listing.id,
      service: row.listing.service,
      hall: row.listing.hall,
      reason,
      failureRate: Math.round(row.failureRate * 100) / 100,
      inFlight: row.inFlight,
      inFlightAtPeers: row.peersInFlight,
      slots: row.listing.slots,
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

  /** Logs and counts that a box of the same hall is down or up again. */
  logBoxState(address: string, state: 'down' | 'up', reason: string, boxes: number): void {
    this.metrics.peerStateChanges.inc({ standing: state });
    this.log.write('notable', 'boxStanding', { address, standing: state, because: reason, boxes });
  }
}
