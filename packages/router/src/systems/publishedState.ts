/**
 * What the platform publishes, as this box has it: the configuration in force and the list of endpoints. Both come from
 * the platform itself or from peers; the configuration only grows within one life of the process.
 */
import { Err, Ok } from '@hazelwalk/core';
import type { Problem, Result } from '@hazelwalk/core';
import type { DecisionLog } from '../observability/decisionLog.js';
import type { RouterMetrics } from '../observability/metrics.js';
import type { CallerLimits, FleetConfiguration, ListedEndpoint } from '../records.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import { assumeCold } from '../tables/endpointTable.js';
import type { ChangeFailure, ConfigurationChange } from './configurationChange.js';
import {
  applyConfigurationChange,
  ConfigurationDigest,
  diffConfigurations,
  shareRecords,
} from './configurationChange.js';
import type { EndpointChange } from './endpointDirectory.js';
import { EndpointDirectory } from './endpointDirectory.js';
import type { EvacuationChange } from './evacuations.js';
import { Evacuations } from './evacuations.js';
import type { ListPosition } from './listPosition.js';
import { isNewerPosition, NO_LIST } from './listPosition.js';
import type { ConnectivitySource, PlatformReport } from './platformConnectivity.js';
import { PlatformConnectivity } from './platformConnectivity.js';
import { RouteIndex } from './routeIndex.js';
import type { ListChanges } from './snapshotDifference.js';
import { diffSnapshot } from './snapshotDifference.js';

/** Earlier configurations from which a peer may be told the change; records are shared, so each costs little. */
const KEPT_CONFIGURATIONS = 32;

/** Where a published value came from. */
export type ValueSource = 'platform' | 'peer';

/** One answer of the platform to the question what is new. */
export interface Publication extends ListChanges {
  /** The changes are all those after this revision; undefined if they hold the whole list of endpoints. */
  readonly from: number | undefined;
  /** Revision of the platform that the answer shows. */
  readonly revision: number;
  /** Increases when the platform is restored from a backup, which resets its revision; undefined if not reported. */
  readonly era?: number | undefined;
  /** The configuration, if it is among the changes. */
  readonly configurationText: string | undefined;
}

/** What the state works with. */
export interface PublishedStateOptions {
  readonly table: EndpointTable;
  readonly log: DecisionLog;
  readonly metrics: RouterMetrics;
  readonly now: () => number;
  readonly hash: (text: string) => number;
  readonly parseConfiguration: (text: string) => Result<FleetConfiguration, Problem>;
  readonly onLimits: (limits: CallerLimits) => void;
  readonly onEndpointRemoved: (id: string) => void;
  /** The box knows what to serve and where, for the first time. */
  readonly onInitialized: () => void;
}

/** The published values of one box. */
export class PublishedState {
  private currentIndex: RouteIndex | undefined;
  /** The configurations that were in force, the newest last. */
  private readonly configurations: FleetConfiguration[] = [];
  private readonly digest: ConfigurationDigest;
  private position = NO_LIST;
  /** Latest era seen in an answer of the platform or a list from a peer. */
  private era = NO_LIST.era;
  private readonly contact = new PlatformConnectivity();
  private contactKind: ConnectivitySource = 'none';
  private readonly directory: EndpointDirectory;
  /** Halls that get nothing new. */
  readonly evacuations = new Evacuations();

  constructor(private readonly options: PublishedStateOptions) {
    this.digest = new ConfigurationDigest(options.hash);
    this.directory = new EndpointDirectory(options.table, this.contact, {
      onRemoved: (id, reason) => this.handleRemoved(id, reason),
      onLapsed: (id, unsettledMs) => this.handleLapsed(id, unsettledMs),
    });
  }

  /** The configuration in force; undefined before the first. */
  get index(): RouteIndex | undefined {
    return this.currentIndex;
  }

  /** About what the configuration in force takes to send, in characters; 0 before the first. */
  get configurationChars(): number {
    const { currentIndex } = this;
    return currentIndex === undefined ? 0 : this.digest.countChars(currentIndex.configuration);
  }

  /** Version of the configuration in force; 0 before the first. */
  get configurationVersion(): number {
    return this.currentIndex?.configuration.version ?? 0;
  }

  /** How new the list of endpoints is: the platform's revision. */
  get endpointsRevision(): number {
    return this.position.revision;
  }

  /** Position of the list of endpoints, comparable across restores of the platform. */
  get listPosition(): ListPosition {
    return this.position;
  }

  /** Whether the platform answered last time, this box or a peer that reads it. */
  get isPlatformConnected(): boolean {
    return this.contact.readSource(this.options.now()) !== 'none';
  }

  /** Whether every change of the list reaches this box by itself. */
  get isReceivingUpdates(): boolean {
    return this.contact.isReceivingUpdates(this.options.now());
  }

  /** What peers are told of the platform; undefined if this box cannot say. */
  get platformReport(): PlatformReport | undefined {
    return this.contact.createReport(this.options.now());
  }

  /** Whether the box knows what to serve and where. */
  get isInitialized(): boolean {
    return this.currentIndex !== undefined && this.options.table.byId.size > 0;
  }

  /** All endpoints that are known, or only those that are listed, or only those that are kept although they are not. */
  listEndpoints(which: 'all' | 'listed' | 'lapsed' = 'all'): ListedEndpoint[] {
    return [...this.options.table.byId.values()]
      .filter((row) => which === 'all' || row.isLapsed === (which === 'lapsed'))
      .map((row) => describeListing(row, this.options.now()));
  }

  /** Takes over an answer of the platform; returns it as what changed since the revision that this box had. */
  applyPublication(answer: Publication): Publication {
    this.noteAnswer();
    const position = { era: answer.era ?? this.era, revision: answer.revision };
    this.noteEra(position, 'platform');
    const publication = { ...answer, era: position.era, ...this.screen(answer) };
    const difference = this.describeDifference(publication, position);
    // An answer that peers have overtaken would bring back endpoints that they said are gone.
    if (isNewerPosition(this.position, position)) this.logOutdatedList(publication);
    else this.applyLists(publication, position, 'platform');
    // Last: a large one keeps a small box busy for a while, and an endpoint that leaves would get requests meanwhile.
    if (publication.configurationText !== undefined) this.applyConfiguration(publication.configurationText);
    return difference;
  }

  /** Takes over a configuration that the platform published, if it is newer than the one in force. */
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

  /** Takes over a decoded configuration if it is newer than the one in force. */
  adoptConfiguration(configuration: FleetConfiguration, source: ValueSource): void {
    const current = this.currentIndex?.configuration;
    if (current !== undefined && configuration.version <= current.version) return;
    this.install(current === undefined ? configuration : shareRecords(current, configuration), source);
  }

  /**
   * Takes over what a peer says changed in the configuration; older changes are passed over. The change may begin at any
   * version that was in force here: followers that cover for each other do not see the same versions.
   */
  adoptConfigurationChange(change: ConfigurationChange): Result<void, ChangeFailure> {
    if (change.version <= this.configurationVersion) return Ok(undefined);
    const before = this.configurations.find((kept) => kept.version === change.from);
    if (before === undefined) return Err('otherVersion');
    const applied = applyConfigurationChange(this.digest, before, change);
    if (applied.err) return applied;
    this.install(applied.val, 'peer');
    return Ok(undefined);
  }

  /** What leads from a version that was in force to the one that is; undefined if that version is not kept. */
  createChangeSince(fromVersion: number): ConfigurationChange | undefined {
    const after = this.currentIndex?.configuration;
    const before = this.configurations.find((kept) => kept.version === fromVersion);
    if (after === undefined || before === undefined || before === after) return undefined;
    return diffConfigurations(this.digest, before, after);
  }

  /** About what a change takes to send, in characters. */
  measureChange(change: ConfigurationChange): number {
    const { routes, services, teams } = change;
    return [routes, services, teams].reduce(
      (sum, records) =>
        sum + JSON.stringify(records?.written ?? []).length + (records?.removed.join().length ?? 0),
      0,
    );
  }

  /** Takes over changes of the list of endpoints and of the halls to be emptied, which then are as new as `position`. */
  applyLists(changes: ListChanges, position: ListPosition, source: ValueSource): void {
    const wasInformed = this.isInitialized;
    this.noteEra(position, source);
    const { endpointChanges, evacuationChanges } = this.screen(changes);
    if (isNewerPosition(position, this.position)) this.position = position;
    // First: an endpoint that comes with an order for its hall must not get a request in between.
    for (const change of evacuationChanges) this.applyEvacuationChange(change, source);
    for (const change of endpointChanges) this.applyEndpointChange(change, position.revision, source);
    this.measureLapsed();
    this.notifyOnceInformed(wasInformed);
  }

  /** The platform does not answer this box. */
  handleReadFailure(reason: string): void {
    const wasReading = this.contact.readSource(this.options.now()) === 'own';
    this.contact.recordFailure();
    if (wasReading) this.options.log.write('lifecycle', 'platformLost', { reason });
    this.noteContact();
  }

  /** A peer that follows the platform told this box all that changed. */
  recordPeerUpdate(address: string, unsettledMs: number): void {
    this.contact.recordPeerUpdate(address, unsettledMs, this.options.now());
    this.noteContact();
  }

  /** A peer that is in touch with the platform has nothing newer than this box. */
  recordPeerConfirmation(address: string, report: PlatformReport): void {
    this.contact.recordPeerConfirmation(address, report, this.options.now());
    this.noteContact();
  }

  /** A peer is not in touch with the platform any more. */
  removePeerReport(address: string): void {
    this.contact.removePeerReport(address);
    this.noteContact();
  }

  /** Runs once a tick. */
  tick(nowMs: number): void {
    this.contact.tick(nowMs);
    this.noteContact();
    this.directory.tick(nowMs);
  }

  private noteAnswer(): void {
    const { log, now } = this.options;
    const wasReading = this.contact.readSource(now()) === 'own';
    this.contact.recordAnswer(now());
    if (!wasReading) log.write('lifecycle', 'platformRegained', { revision: this.position.revision });
    this.noteContact();
  }

  /** Detects a restore of the platform by a later era, and starts the period in which its lists are screened. */
  private noteEra({ era, revision }: ListPosition, source: ValueSource): void {
    if (era <= this.era) return;
    const { log, metrics, now } = this.options;
    const before = this.era;
    this.era = era;
    metrics.platformEra.set(era);
    if (this.position === NO_LIST) return;
    log.write('lifecycle', 'platformRestored', {
      era,
      before,
      revision,
      listRevision: this.position.revision,
      source,
    });
    this.contact.handleRestore(source === 'platform', now());
    this.directory.handleRestore(now());
  }

  /** Filters outdated entries out of lists that were read shortly after a restore. */
  private screen({ endpointChanges, evacuationChanges }: ListChanges): ListChanges {
    const nowMs = this.options.now();
    if (!this.directory.isScreening(nowMs)) return { endpointChanges, evacuationChanges };
    return {
      endpointChanges: endpointChanges.map((change) => this.directory.screen(change, nowMs)),
      evacuationChanges: evacuationChanges.map((change) => this.keepEvacuations(change)),
    };
  }

  /** Keeps evacuation orders that are missing from a restored snapshot: they may have been given after the backup was taken. */
  private keepEvacuations(change: EvacuationChange): EvacuationChange {
    if (change.type !== 'snapshot') return change;
    return { type: 'snapshot', halls: [...new Set([...this.evacuations.list(), ...change.halls])] };
  }

  private logOutdatedList({ from, revision, era }: Publication): void {
    this.options.log.write('notable', 'listOutdated', {
      from,
      revision,
      era,
      listRevision: this.position.revision,
      listEra: this.position.era,
    });
  }

  /** Logs by whom the platform is known, whenever that changes. */
  private noteContact(): void {
    const { log, now } = this.options;
    const contact = this.contact.readSource(now());
    if (contact === this.contactKind) return;
    log.write('lifecycle', 'platformContact', {
      contact,
      before: this.contactKind,
      revision: this.position.revision,
      unsettledMs: toLogMs(this.contact.readGracePeriodMs(now())),
    });
    this.contactKind = contact;
  }

  private install(configuration: FleetConfiguration, source: ValueSource): void {
    const wasInformed = this.isInitialized;
    const before = this.currentIndex?.configuration.version;
    this.currentIndex = new RouteIndex(configuration);
    this.configurations.push(configuration);
    if (this.configurations.length > KEPT_CONFIGURATIONS) this.configurations.shift();
    this.options.onLimits(configuration.limits);
    this.options.metrics.configurationVersion.set(configuration.version);
    this.options.log.write('lifecycle', 'configurationApplied', {
      version: configuration.version,
      before,
      source,
      routes: configuration.routes.length,
    });
    this.notifyOnceInformed(wasInformed);
  }

  /** A whole list, told as what changed in it, so that peers which had the same list need not ask for it. */
  private describeDifference(publication: Publication, position: ListPosition): Publication {
    const isComparable = this.position !== NO_LIST && position.era === this.position.era;
    if (!isComparable || position.revision < this.position.revision) return publication;
    const { byId } = this.options.table;
    const changes = diffSnapshot(publication, byId, this.evacuations.list());
    return changes === undefined ? publication : { ...publication, ...changes, from: this.position.revision };
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

  /** Endpoints that got nothing for a while may have been restarted meanwhile, and say so later than callers come back. */
  private assumeHallCold(hall: string): void {
    const { now, table } = this.options;
    for (const row of table.byId.values()) if (row.listing.hall === hall) assumeCold(row, now());
  }

  private applyEvacuationChange(change: EvacuationChange, source: ValueSource): void {
    const { log, metrics, now, table } = this.options;
    const { began, ended } = this.evacuations.apply(change, now());
    for (const hall of began) {
      const endpoints = [...table.byId.values()].filter((row) => row.listing.hall === hall).length;
      log.write('lifecycle', 'evacuationOrdered', {
        hall,
        endpoints,
        revision: this.position.revision,
        source,
      });
    }
    for (const hall of ended) {
      this.assumeHallCold(hall);
      log.write('lifecycle', 'evacuationTakenBack', { hall, revision: this.position.revision, source });
    }
    metrics.evacuatedHalls.set(this.evacuations.list().length);
  }

  private notifyOnceInformed(wasInformed: boolean): void {
    if (!wasInformed && this.isInitialized) this.options.onInitialized();
  }

  private handleRemoved(id: string, reason: string): void {
    this.measureLapsed();
    this.options.onEndpointRemoved(id);
    this.options.log.write('lifecycle', 'endpointRemoved', { id, reason });
  }

  private handleLapsed(id: string, unsettledMs: number): void {
    this.options.log.write('lifecycle', 'endpointLapsed', {
      id,
      contact: this.contactKind,
      unsettledMs: toLogMs(unsettledMs),
    });
  }

  private measureLapsed(): void {
    this.options.metrics.lapsedEndpoints.set(this.options.table.lapsedCount);
  }
}

/** What is published of an endpoint, with what is left of the time for which it is cold. */
function describeListing({ listing, coldUntilMs }: EndpointRow, nowMs: number): ListedEndpoint {
  if (listing.coldMs === undefined) return listing;
  return { ...listing, coldMs: Math.max(0, Math.ceil(coldUntilMs - nowMs)) };
}

/** Milliseconds as they are logged: nothing stands for a wait without an end. */
function toLogMs(ms: number): number | undefined {
  return Number.isFinite(ms) ? Math.ceil(ms) : undefined;
}
