/** Platform connectivity of one box, with a log line for each change. */
import type { DecisionLog } from '../observability/decisionLog.js';
import type { ConnectivitySource, PlatformReport } from './platformConnectivity.js';
import { PlatformConnectivity } from './platformConnectivity.js';

/** Dependencies of the connectivity. */
export interface LoggedConnectivityOptions {
  readonly log: DecisionLog;
  readonly now: () => number;
  /** Interval at which endpoints write their entries, if the deployment states it. */
  readonly entryHeartbeatMs?: number | undefined;
  /** Returns the revision of the list of endpoints. */
  readonly readRevision: () => number;
}

/** Records what shows whether the platform can be read, and logs how the box learns what it publishes. */
export class LoggedConnectivity {
  readonly connectivity: PlatformConnectivity;
  private loggedSource: ConnectivitySource = 'none';

  constructor(private readonly options: LoggedConnectivityOptions) {
    this.connectivity = new PlatformConnectivity(options.entryHeartbeatMs);
  }

  /** How this box learns what the platform publishes, as last logged. */
  get source(): ConnectivitySource {
    return this.loggedSource;
  }

  /** Records that the platform responded to a call of this box, and the time for which the response holds. */
  recordResponse(provenAtMs: number): void {
    const { log, now, readRevision } = this.options;
    const wasReading = this.connectivity.readSource(now()) === 'own';
    this.connectivity.recordResponse(now(), provenAtMs);
    if (!wasReading) log.write('lifecycle', 'platformRegained', { revision: readRevision() });
    this.logSource();
  }

  /** Records that a call of this box to the platform failed. */
  recordFailure(reason: string): void {
    const { log, now } = this.options;
    const wasReading = this.connectivity.readSource(now()) === 'own';
    this.connectivity.recordFailure();
    if (wasReading) log.write('lifecycle', 'platformLost', { reason });
    this.logSource();
  }

  /** Records that a watcher sent this box all changes. */
  recordPeerUpdate(address: string, gracePeriodMs: number, answeringForMs?: number): void {
    this.connectivity.recordPeerUpdate(address, gracePeriodMs, this.options.now(), answeringForMs);
    this.logSource();
  }

  /** Records that a peer connected to the platform has nothing newer than this box. */
  recordPeerConfirmation(address: string, report: PlatformReport): void {
    this.connectivity.recordPeerConfirmation(address, report, this.options.now());
    this.logSource();
  }

  /** Removes the report of a peer that has lost the platform. */
  removePeerReport(address: string): void {
    this.connectivity.removePeerReport(address);
    this.logSource();
  }

  /** Runs once a tick. */
  tick(nowMs: number): void {
    this.connectivity.tick(nowMs);
    this.logSource();
  }

  /** Age of the latest proof that the list is that of the platform, as logged beside each decision that rests on it. */
  describeProof(): { readonly provenAgoMs: number | undefined } {
    return { provenAgoMs: toLogMs(this.options.now() - this.connectivity.provenAtMs) };
  }

  /** Logs each change in how this box learns what the platform publishes. */
  private logSource(): void {
    const { log, now, readRevision } = this.options;
    const source = this.connectivity.readSource(now());
    if (source === this.loggedSource) return;
    log.write('lifecycle', 'platformContact', {
      contact: source,
      before: this.loggedSource,
      revision: readRevision(),
      unsettledMs: toLogMs(this.connectivity.readGracePeriodMs(now())),
      ...this.describeProof(),
    });
    this.loggedSource = source;
  }
}

/**
 * Milliseconds as they are logged; undefined, which leaves the field out, if infinite.
 *
 * @example toLogMs(Infinity) // undefined
 */
export function toLogMs(ms: number): number | undefined {
  return Number.isFinite(ms) ? Math.ceil(ms) : undefined;
}
