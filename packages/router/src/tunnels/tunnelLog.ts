/** Logs and counts the tunnels that a box opens through others and serves for others. */
import type { DecisionLog } from '../observability/decisionLog.js';
import type { RouterMetrics } from '../observability/metrics.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import type { TunnelPeer } from './tunnelCandidates.js';

/** What passed through a served tunnel. */
export interface TunnelUse {
  readonly receivedBytes: number;
  readonly sentBytes: number;
  readonly ageMs: number;
}

/** Writes these log lines and updates the counters. */
export class TunnelLog {
  constructor(
    private readonly log: Pick<DecisionLog, 'write'>,
    private readonly metrics: Pick<RouterMetrics, 'tunnelsRequested' | 'tunnelsServed' | 'tunnelBytes'>,
  ) {}

  /** Records what came of a request for a tunnel through another box. */
  recordOpened(tunnel: string, row: EndpointRow, peer: TunnelPeer, result: string): void {
    this.metrics.tunnelsRequested.inc({ result });
    const { address, hall } = peer;
    this.log.write('notable', 'tunnelRequested', {
      tunnel,
      ...describe(row),
      via: address,
      viaHall: hall,
      result,
    });
  }

  /** Records that a tunnel of another box was extended to an endpoint. */
  recordServed(tunnel: string, row: EndpointRow, open: number): void {
    this.metrics.tunnelsServed.set(open);
    this.log.write('notable', 'tunnelServed', { tunnel, ...describe(row), open });
  }

  /** Records the end of a served tunnel. */
  recordServedEnd(tunnel: string, row: EndpointRow, open: number, use: TunnelUse): void {
    const { receivedBytes, sentBytes, ageMs } = use;
    this.metrics.tunnelsServed.set(open);
    this.metrics.tunnelBytes.inc({ direction: 'toEndpoint' }, receivedBytes);
    this.metrics.tunnelBytes.inc({ direction: 'fromEndpoint' }, sentBytes);
    const fields = { tunnel, ...describe(row), receivedBytes, sentBytes, ageMs: Math.round(ageMs) };
    this.log.write('routine', 'tunnelClosed', fields);
  }
}

function describe({ listing }: EndpointRow): { endpoint: string; service: string; hall: string } {
  return { endpoint: listing.id, service: listing.service, hall: listing.hall };
}
