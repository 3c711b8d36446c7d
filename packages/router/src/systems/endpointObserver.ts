/** Updates the recorded state of endpoints from request outcomes and response headers, and logs changes. */
import type { HealthLog } from '../observability/healthLog.js';
import type { ResponseMetadata } from '../records.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import type { HealthSignal, RoomConditions } from './endpointHealth.js';
import { recordHealthSignal } from './endpointHealth.js';
import { recordAnnouncements } from './endpointNotices.js';

export interface EndpointObserverOptions {
  readonly table: EndpointTable;
  readonly healthLog: HealthLog;
  readonly now: () => number;
  /** Checks the other endpoints of a hall when a connection to one of them has timed out. */
  readonly checkHall: (hall: string) => void;
  readonly roomConditions: RoomConditions;
}

/** Observes request outcomes and response headers of endpoints. */
export class EndpointObserver {
  constructor(private readonly options: EndpointObserverOptions) {}

  /**
   * Records the outcome of a request to an endpoint.
   *
   * @example observer.record(row, 'connectTimedOut') // also checks the other endpoints of its hall
   */
  record(row: EndpointRow, signal: HealthSignal): void {
    const { table, healthLog, now, checkHall, roomConditions } = this.options;
    const effect = recordHealthSignal(table, row, signal, now(), roomConditions);
    if (effect === 'unreachable' && signal === 'connectTimedOut') checkHall(row.listing.hall);
    if (effect === undefined) return;
    if (effect === 'ejectionWithheld') healthLog.logEjectionWithheld(row, signal);
    else healthLog.logEndpointHealth(row, effect, signal);
  }

  /**
   * Records the announcements in the headers of a response.
   *
   * @example observer.recordAnnouncements(row, dialect.readResponse(503, { 'retry-after': '3' }))
   */
  recordAnnouncements(row: EndpointRow, metadata: ResponseMetadata): void {
    const { now, healthLog } = this.options;
    for (const change of recordAnnouncements(row, metadata, now())) healthLog.logEndpointNotice(row, change);
  }
}
