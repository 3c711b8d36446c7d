/** Logs and counts which endpoints are slow, and load reports that cannot be read. */
import type { PaceChange } from '../capacity/endpointPaces.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import { readFleetLoad } from '../tables/endpointTable.js';
import type { DecisionLog } from './decisionLog.js';
import type { RouterMetrics } from './metrics.js';

const HUNDREDTHS = 100;

/** Writes these log lines and updates the metrics. */
export class PaceLog {
  constructor(
    private readonly log: DecisionLog,
    private readonly metrics: RouterMetrics,
  ) {}

  /** Logs that an endpoint is slow, or as usual again. */
  readonly logChange = (row: EndpointRow, change: PaceChange, slowCount: number): void => {
    this.metrics.slowEndpoints.set(slowCount);
    this.log.write('routine', 'endpointPace', {
      ...describeEndpoint(row),
      change,
      pace: Math.round(row.pace * HUNDREDTHS) / HUNDREDTHS,
      load: readFleetLoad(row),
      slowEndpoints: slowCount,
    });
  };

  /** Resets the metric when estimation is turned off; the change of the switch is logged where it is made. */
  readonly recordClear = (): void => {
    this.metrics.slowEndpoints.set(0);
  };

  /** Logs and counts a load report that cannot be read. */
  logMalformedReport(row: EndpointRow): void {
    this.metrics.malformedLoadReports.inc({ service: row.listing.service });
    this.log.write('routine', 'loadReportMalformed', describeEndpoint(row));
  }
}

function describeEndpoint({ listing }: EndpointRow): Record<'endpoint' | 'service' | 'hall', string> {
  return { endpoint: listing.id, service: listing.service, hall: listing.hall };
}
