/**
 * Values that the platform publishes, as known to this box: the configuration in force and the list of endpoints.
 * Both come from the platform itself or from peers. The version of the configuration never decreases while the
 * process runs.
 */
import type { Problem, Result } from '@hazelwalk/core';
import type { DecisionLog } from '../observability/decisionLog.js';
import type { RouterMetrics } from '../observability/metrics.js';
import type { CallerLimits, FleetConfiguration, ListedEndpoint } from '../records.js';
import type { EndpointTable } from '../tables/endpointTable.js';
import type { ChangeFailure, ConfigurationChange } from './configurationChange.js';
import { ConfigurationHistory } from './configurationHistory.js';
import type { LapsedState } from './endpointDirectory.js';
import type { Evacuations } from './evacuations.js';
import type { ListPosition } from './listPosition.js';
import { LoggedConnectivity } from './loggedConnectivity.js';
import type { PlatformReport } from './platformConnectivity.js';
import type { Publication, ValueSource } from './publication.js';
import { PublishedLists } from './publishedLists.js';
import type { RouteIndex } from '../systems/routeIndex.js';
import type { ListChanges } from './snapshotDifference.js';

export type { Publication, ValueSource } from './publication.js';

/** Dependencies and callbacks of the state. */
export interface PublishedStateOptions {
  readonly table: EndpointTable;
  readonly log: DecisionLog;
  readonly metrics: RouterMetrics;
  readonly now: () => number;
  /** Interval at which endpoints write their entries, if the deployment states it. */
  readonly entryHeartbeatMs?: number | undefined;
  readonly hash: (text: string) => number;
  readonly parseConfiguration: (text: string) => Result<FleetConfiguration, Problem>;
  readonly onLimits: (limits: CallerLimits) => void;
  readonly onEndpointRemoved: (id: string) => void;
  /** The box has a configuration and endpoints for the first time. */
  readonly onInitialized: () => void;
}

/** The published values of one box. */
export class PublishedState {
  private readonly contact: LoggedConnectivity;
  private readonly lists: PublishedLists;
  private readonly history: ConfigurationHistory;

  constructor(private readonly options: PublishedStateOptions) {
    const { table, log, metrics, now, hash, entryHeartbeatMs, onEndpointRemoved } = options;
    this.contact = new LoggedConnectivity({
      log,
      now,
      entryHeartbeatMs,
      readRevision: () => this.endpointsRevision,
    });
    const { contact } = this;
    this.lists = new PublishedLists({ table, log, metrics, now, contact, onEndpointRemoved });
    this.history = new ConfigurationHistory({
      hash,
      onInstalled: (configuration, before, source) => this.handleInstalled(configuration, before, source),
    });
  }

  /** The configuration in force; undefined before the first. */
  get index(): RouteIndex | undefined {
    return this.history.index;
  }

  /** Approximate size of the configuration in force when sent, in characters; 0 before the first. */
  get configurationChars(): number {
    return this.history.chars;
  }

  /** Version of the configuration in force; 0 before the first. */
  get configurationVersion(): number {
    return this.history.version;
  }

  /** Evacuation orders: the halls concerned get no new requests. */
  get evacuations(): Evacuations {
    return this.lists.evacuations;
  }

  /** Revision of the list of endpoints. */
  get endpointsRevision(): number {
    return this.lists.position.revision;
  }

  /** Position of the list of endpoints, comparable across restores of the platform. */
  get listPosition(): ListPosition {
    return this.lists.position;
  }

  /** Whether the platform responded last time, to this box or to a peer that reads it. */
  get isPlatformConnected(): boolean {
    return this.contact.connectivity.readSource(this.options.now()) !== 'none';
  }

  /**
   * Whether every change of the list reaches this box without a request.
   *
   * @param maxAgeMs oldest own proof by which that holds
   */
  isReceivingUpdates(maxAgeMs: number): boolean {
    return this.contact.connectivity.isReceivingUpdates(this.options.now(), maxAgeMs);
  }

  /** Shortest pause of the platform in which the entry of a live endpoint can lapse. */
  get lapseMs(): number {
    return this.contact.connectivity.lapseMs;
  }

  /** When the list of endpoints was last proven to be that of the platform, by own calls or by peers. */
  get provenAtMs(): number {
    return this.contact.connectivity.provenAtMs;
  }

  /** What is to become of the endpoints whose entries have disappeared and that are kept. */
  get lapsedState(): LapsedState {
    return this.lists.lapsedState;
  }

  /** Since when each single change of the list has reached this box; Infinity before the first list. */
  get unbrokenSinceMs(): number {
    return this.lists.unbrokenSinceMs;
  }

  /** Report about the platform for peers; undefined if this box cannot make one. */
  get platformReport(): PlatformReport | undefined {
    return this.contact.connectivity.createReport(this.options.now());
  }

  /** Whether the box has a configuration and endpoints. */
  get isInitialized(): boolean {
    return this.index !== undefined && this.options.table.byId.size > 0;
  }

  /** All known endpoints, or only those that are listed, or only those that are kept as lapsed. */
  listEndpoints(which: 'all' | 'listed' | 'lapsed' = 'all'): ListedEndpoint[] {
    return this.lists.list(which);
  }

  /** Applies a response of the platform; returns it as the changes since the revision that this box had. */
  applyPublication(response: Publication): Publication {
    this.contact.recordResponse(response.provenAtMs ?? this.options.now());
    const wasInitialized = this.isInitialized;
    const difference = this.lists.applyPublication(response);
    this.notifyOnceInitialized(wasInitialized);
    // Applied last: a large configuration keeps a small box busy for a while, in which a leaving endpoint would get
    // requests.
    if (response.configurationText !== undefined) this.applyConfiguration(response.configurationText);
    return difference;
  }

  /** Applies a configuration that the platform published, if it is newer than the one in force. */
  applyConfiguration(text: string): void {
    const parsed = this.options.parseConfiguration(text);
    if (parsed.err) {
      return this.options.log.write('notable', 'configurationRejected', {
        ...parsed.val,
        source: 'platform',
      });
    }
    this.adoptConfiguration(parsed.val, 'platform');
  }

  /** Applies a decoded configuration if it is newer than the one in force. */
  adoptConfiguration(configuration: FleetConfiguration, source: ValueSource): void {
    this.history.adopt(configuration, source);
  }

  /**
   * Applies a change of the configuration that a peer sent; older changes are ignored. The change may apply to any
   * version that was in force here.
   */
  adoptConfigurationChange(change: ConfigurationChange): Result<void, ChangeFailure> {
    return this.history.adoptChange(change);
  }

  /** Change from an earlier version to the one in force; undefined if that version is not kept. */
  createChangeSince(fromVersion: number): ConfigurationChange | undefined {
    return this.history.createChangeSince(fromVersion);
  }

  /** Approximate size of a change when sent, in characters. */
  measureChange(change: ConfigurationChange): number {
    return this.history.measureChange(change);
  }

  /**
   * Applies changes of the list of endpoints and of the evacuation orders, which then have the revision of
   * `position`. A whole list, or a comparison of two, lacks what came and went since the earlier one.
   */
  applyLists(
    changes: ListChanges & Pick<Publication, 'isComparison'>,
    position: ListPosition,
    source: ValueSource,
  ): void {
    const wasInitialized = this.isInitialized;
    this.lists.apply(changes, position, source);
    this.notifyOnceInitialized(wasInitialized);
  }

  /** Handles a failed call of this box to the platform. */
  handleReadFailure(reason: string): void {
    this.contact.recordFailure(reason);
  }

  /** Records that a watcher sent this box all changes. */
  recordPeerUpdate(address: string, gracePeriodMs: number, answeringForMs?: number): void {
    this.contact.recordPeerUpdate(address, gracePeriodMs, answeringForMs);
  }

  /** Records that a peer connected to the platform has nothing newer than this box. */
  recordPeerConfirmation(address: string, report: PlatformReport): void {
    this.contact.recordPeerConfirmation(address, report);
  }

  /** Removes the report of a peer that has lost the platform. */
  removePeerReport(address: string): void {
    this.contact.removePeerReport(address);
  }

  /** Runs once a tick. */
  tick(nowMs: number): void {
    this.contact.tick(nowMs);
    this.lists.tick(nowMs);
  }

  private handleInstalled(
    { version, routes, limits }: FleetConfiguration,
    before: number | undefined,
    source: ValueSource,
  ): void {
    const { log, metrics, onLimits } = this.options;
    onLimits(limits);
    metrics.configurationVersion.set(version);
    log.write('lifecycle', 'configurationApplied', { version, before, source, routes: routes.length });
    // Only the first configuration can be what was missing.
    this.notifyOnceInitialized(before !== undefined);
  }

  private notifyOnceInitialized(wasInitialized: boolean): void {
    if (!wasInitialized && this.isInitialized) this.options.onInitialized();
  }
}
