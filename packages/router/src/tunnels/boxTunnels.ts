/** The tunnels of one box, both those that it opens and those that it serves, and how it reaches the endpoints as a whole. */
import type { FeatureSwitches } from '../featureSwitches.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import type { RouterMetrics } from '../observability/metrics.js';
import type { PeerMesh } from '../peers/peerMesh.js';
import type { EndpointDialer } from '../proxy/endpointDialer.js';
import type { StopPhase } from '../systems/gracefulShutdown.js';
import { isClosing } from '../systems/gracefulShutdown.js';
import type { EndpointAccess, EndpointCounts } from '../systems/endpointAccess.js';
import { findEndpointAccess } from '../systems/endpointAccess.js';
import type { PathChange } from '../systems/reachability.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import { TunnelClient } from './tunnelClient.js';
import { TunnelLog } from './tunnelLog.js';
import { TunnelServer } from './tunnelServer.js';

/** Dependencies and callbacks of the tunnels. */
export interface BoxTunnelsOptions {
  readonly hall: string;
  readonly mesh: Pick<PeerMesh, 'address' | 'listTunnelPeers'>;
  readonly table: EndpointTable;
  /** Tunnels that the box serves at a time. */
  readonly maxTunnels: number;
  readonly features: FeatureSwitches;
  readonly metrics: RouterMetrics;
  readonly log: DecisionLog;
  readonly now: () => number;
  readonly readStopPhase: () => StopPhase;
  /** Time until this box has to exit; infinite while no stop is in progress. */
  readonly readRemainingMs: () => number;
  /** Connects to an endpoint directly. */
  readonly dialSocket: EndpointDialer['dialSocket'];
  /** Called when a direct connection for another box failed. */
  readonly onDialFailed: (row: EndpointRow) => void;
  /** Called when this box begins or ceases to be able to serve tunnels. */
  readonly onAbilityChange: () => void;
}

/** Opens and serves tunnels. */
export class BoxTunnels {
  readonly client: TunnelClient;
  readonly server: TunnelServer;
  private access: EndpointAccess = 'direct';

  constructor(private readonly options: BoxTunnelsOptions) {
    const { hall, mesh, table, metrics, now, readStopPhase, readRemainingMs, dialSocket, onDialFailed } =
      options;
    const log = new TunnelLog(options.log, metrics);
    const isEnabled = (): boolean => options.features.isOn('endpointTunnels');
    this.client = new TunnelClient({
      hall,
      readAddress: () => mesh.address,
      listPeers: () => mesh.listTunnelPeers(),
      isEnabled,
      random: Math.random,
      now,
      log,
    });
    this.server = new TunnelServer({
      table,
      maxTunnels: options.maxTunnels,
      dial: dialSocket,
      listPeers: () => mesh.listTunnelPeers(),
      isEnabled,
      readStopPhase,
      readRemainingMs,
      onDialFailed,
      log,
      now,
    });
  }

  /** Whether other boxes may ask this one for tunnels. */
  get isAble(): boolean {
    const { features, readStopPhase } = this.options;
    const isOpen = features.isOn('endpointTunnels') && !isClosing(readStopPhase());
    return isOpen && hasDirectAccess(this.access);
  }

  /** Records how the endpoints are reached; logs a change of the access as a whole. */
  recordCounts(counts: EndpointCounts): void {
    const { metrics, log, onAbilityChange } = this.options;
    metrics.unreachableEndpoints.set(counts.unreachable);
    metrics.tunnelledEndpoints.set(counts.tunnelled);
    const before = this.access;
    this.access = findEndpointAccess(counts);
    if (this.access === before) return;
    log.write('lifecycle', 'endpointAccess', { access: this.access, before, ...counts });
    if (hasDirectAccess(this.access) !== hasDirectAccess(before)) onAbilityChange();
  }

  /** Logs and counts a change of the path to an endpoint. */
  recordPathChange({ listing, inFlight }: EndpointRow, change: PathChange, reason: string): void {
    const { metrics, log } = this.options;
    metrics.pathChanges.inc({ change });
    const { id, service, hall } = listing;
    log.write('notable', 'endpointPath', { endpoint: id, service, hall, change, reason, inFlight });
  }
}

/** Whether a box with this access reaches any endpoint directly. */
function hasDirectAccess(access: EndpointAccess): boolean {
  switch (access) {
    case 'direct':
    case 'partial':
      return true;
    case 'cutOff':
    case 'none':
      return false;
  }
}
