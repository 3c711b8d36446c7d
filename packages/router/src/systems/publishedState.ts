/**
 * What the platform publishes, as this box has it: the configuration in force and the list of endpoints. Both come from
 * the platform itself or from peers; the configuration only grows within one life of the process.
 */
import type { Problem, Result } from '@hazelwalk/core';
import type { DecisionLog } from '../observability/decisionLog.js';
import type { RouterMetrics } from '../observability/metrics.js';
import type { CallerLimits, FleetConfiguration, ListedEndpoint } from '../records.js';
import type { EndpointTable } from '../tables/endpointTable.js';
import type { EndpointChange } from './endpointDirectory.js';
import { EndpointDirectory } from './endpointDirectory.js';
import { RouteIndex } from './routeIndex.js';

/** Where a published value came from. */
export type ValueSource = 'platform' | 'peer';

/** One answer of the platform to the question what is new. */
export interface Publication {
  /** The changes are all those after this revision; undefined if they hold the whole list of endpoints. */
  readonly from: number | undefined;
  /** Revision of the platform that the answer shows. */
  readonly revision: number;
  readonly endpointChanges: readonly EndpointChange[];
  /** The configuration, if it is among the changes. */
  readonly configurationText: string | undefined;
}

/** What the state works with. */
export interface PublishedStateOptions {
  readonly table: EndpointTable;
  readonly log: DecisionLog;
  readonly metrics: RouterMetrics;
  readonly now: () => number;
  readonly parseConfiguration: (text: string) => Result<FleetConfiguration, Problem>;
  readonly onLimits: (limits: CallerLimits) => void;
  readonly onEndpointRemoved: (id: string) => void;
  /** The box knows what to serve and where, for the first time. */
  readonly onInformed: () => void;
}

/** The published values of one box. */
export class PublishedState {
  private currentIndex: RouteIndex | undefined;
  private text = '';
  private revision = 0;
  private feedUp = false;
  private readonly directory: EndpointDirectory;

  constructor(private readonly options: PublishedStateOptions) {
    this.directory = new EndpointDirectory(options.table, {
      onRemoved: (id, reason) => this.handleRemoved(id, reason),
    });
  }

  /** The configuration in force; undefined before the first. */
  get index(): RouteIndex | undefined {
    return this.currentIndex;
  }

  /** The configuration in force as it was published; empty before the first. */
  get configurationText(): string {
    return this.text;
  }

  /** Version of the configuration in force; 0 before the first. */
  get configurationVersion(): number {
    return this.currentIndex?.configuration.version ?? 0;
  }

  /** How new the list of endpoints is: the platform's revision. */
  get endpointsRevision(): number {
    return this.revision;
  }

  /** Whether the platform answered last time, this box or the peer that follows it for this box. */
  get isFeedUp(): boolean {
    return this.feedUp;
  }

  /** For how much longer an entry that vanishes may only have lapsed. */
  get unsettledMs(): number {
    return this.directory.readUnsettledMs(this.options.now());
  }

  /** Whether the box knows what to serve and where. */
  get isInformed(): boolean {
    return this.currentIndex !== undefined && this.options.table.byId.size > 0;
  }

  /** All endpoints that are known. */
  listEndpoints(): ListedEndpoint[] {
    return [...this.options.table.byId.values()].map((row) => row.listing);
  }

  /** Takes over an answer of the platform. */
  applyPublication(publication: Publication): void {
    this.noteFeedRegained();
    if (publication.configurationText !== undefined) {
      this.applyConfiguration(publication.configurationText, 'platform');
    }
    this.applyEndpoints(publication.endpointChanges, publication.revision, 'platform');
  }

  /** Takes over a configuration if it is newer than the one in force. */
  applyConfiguration(text: string, source: ValueSource): void {
    const { log, metrics, parseConfiguration } = this.options;
    const parsed = parseConfiguration(text);
    if (parsed.err) return log.write('notable', 'configurationRejected', { ...parsed.val, source });
    const configuration = parsed.val;
    const current = this.currentIndex?.configuration.version;
    if (current !== undefined && configuration.version <= current) return;
    const wasInformed = this.isInformed;
    this.currentIndex = new RouteIndex(configuration);
    this.text = text;
    this.options.onLimits(configuration.limits);
    metrics.configurationVersion.set(configuration.version);
    log.write('lifecycle', 'configurationApplied', {
      version: configuration.version,
      before: current,
      source,
      routes: configuration.routes.length,
    });
    this.tellIfInformed(wasInformed);
  }

  /** Takes over changes of the list of endpoints, which then is as new as `revision`. */
  applyEndpoints(changes: readonly EndpointChange[], revision: number, source: ValueSource): void {
    const wasInformed = this.isInformed;
    this.revision = Math.max(this.revision, revision);
    for (const change of changes) this.applyEndpointChange(change, revision, source);
    this.tellIfInformed(wasInformed);
  }

  /** The platform does not answer, neither this box nor a peer for it. */
  noteFeedLost(reason: string): void {
    if (this.feedUp) this.options.log.write('lifecycle', 'platformLost', { reason });
    this.feedUp = false;
    this.directory.noteFeedLost();
  }

  /** The platform answers. */
  noteFeedRegained(): void {
    const { log, now } = this.options;
    if (!this.feedUp) log.write('lifecycle', 'platformRegained', { revision: this.revision });
    this.feedUp = true;
    this.directory.noteFeedRegained(now());
  }

  /** The platform was away for the peer that follows it: for so long entries that vanish may only have lapsed. */
  distrustFor(unsettledMs: number): void {
    this.directory.distrustFor(unsettledMs, this.options.now());
  }

  /** Runs once a tick. */
  tick(nowMs: number): void {
    this.directory.tick(nowMs);
  }

  private applyEndpointChange(change: EndpointChange, revision: number, source: ValueSource): void {
    const { log, now, table } = this.options;
    this.directory.apply(change, now());
    log.write('lifecycle', 'endpointsChanged', {
      change: change.type,
      id: change.type === 'listed' ? change.endpoint.id : change.type === 'removed' ? change.id : undefined,
      state: change.type === 'listed' ? change.endpoint.state : undefined,
      revision,
      source,
      endpoints: table.byId.size,
    });
  }

  private tellIfInformed(wasInformed: boolean): void {
    if (!wasInformed && this.isInformed) this.options.onInformed();
  }

  private handleRemoved(id: string, reason: string): void {
    this.options.onEndpointRemoved(id);
    this.options.log.write('lifecycle', 'endpointRemoved', { id, reason });
  }
}
