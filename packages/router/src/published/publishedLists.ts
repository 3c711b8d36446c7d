/** The list of endpoints and the evacuation orders, as the platform published them and peers relay them. */
import type { DecisionLog } from '../observability/decisionLog.js';
import type { RouterMetrics } from '../observability/metrics.js';
import type { ListedEndpoint } from '../records.js';
import type { RemovalReason } from '../tables/departure.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import { assumeCold } from '../tables/endpointTable.js';
import type { EndpointChange, LapsedState } from './endpointDirectory.js';
import { EndpointDirectory } from './endpointDirectory.js';
import type { EvacuationChange } from './evacuations.js';
import { Evacuations } from './evacuations.js';
import type { ListPosition } from './listPosition.js';
import { isNewerPosition, NO_LIST } from './listPosition.js';
import type { LoggedConnectivity } from './loggedConnectivity.js';
import { toLogMs } from './loggedConnectivity.js';
import type { Publication, ValueSource } from './publication.js';
import type { ListChanges } from './snapshotDifference.js';
import { diffSnapshot } from './snapshotDifference.js';

/** Dependencies and callbacks of the lists. */
export interface PublishedListsOptions {
  readonly table: EndpointTable;
  readonly log: DecisionLog;
  readonly metrics: RouterMetrics;
  readonly now: () => number;
  readonly contact: LoggedConnectivity;
  readonly onEndpointRemoved: (id: string) => void;
}

/** The published lists of one box. */
export class PublishedLists {
  /** Evacuation orders: the halls concerned get no new requests. */
  readonly evacuations = new Evacuations();
  private currentPosition = NO_LIST;
  private brokenAtMs = Infinity;
  /** Latest era seen in a response of the platform or a list from a peer. */
  private era = NO_LIST.era;
  private readonly directory: EndpointDirectory;

  constructor(private readonly options: PublishedListsOptions) {
    this.directory = new EndpointDirectory(options.table, options.contact.connectivity, {
      onRemoved: (id, reason) => this.handleRemoved(id, reason),
      onLapsed: (id, gracePeriodMs) => this.handleLapsed(id, gracePeriodMs),
    });
  }

  /** Position of the list of endpoints, comparable across restores of the platform. */
  get position(): ListPosition {
    return this.currentPosition;
  }

  /** Since when each single change has reached this box; Infinity before the first list. */
  get unbrokenSinceMs(): number {
    return this.brokenAtMs;
  }

  /** All known endpoints, or only those that are listed, or only those that are kept as lapsed. */
  list(which: 'all' | 'listed' | 'lapsed' = 'all'): ListedEndpoint[] {
    return [...this.options.table.byId.values()]
      .filter((row) => which === 'all' || row.isLapsed === (which === 'lapsed'))
      .map((row) => describeListing(row, this.options.now()));
  }

  /** Applies the lists of a response of the platform; returns it as the changes since the revision that this box had. */
  applyPublication(response: Publication): Publication {
    const position = { era: response.era ?? this.era, revision: response.revision };
    this.updateEra(position, 'platform');
    const publication = { ...response, era: position.era, ...this.screen(response) };
    const difference = this.describeDifference(publication, position);
    // A response older than the list from peers would bring back endpoints that they reported as removed.
    if (isNewerPosition(this.currentPosition, position)) this.logOutdatedList(publication);
    else this.apply(publication, position, 'platform');
    return difference;
  }

  /**
   * Applies changes of the list of endpoints and of the evacuation orders, which then have the revision of
   * `position`.
   */
  apply(
    changes: ListChanges & Pick<Publication, 'isComparison'>,
    position: ListPosition,
    source: ValueSource,
  ): void {
    this.updateEra(position, source);
    const { endpointChanges, evacuationChanges } = this.screen(changes);
    if (isNewerPosition(position, this.currentPosition)) {
      if (!isUnbroken(changes, position, this.currentPosition)) this.brokenAtMs = this.options.now();
      this.currentPosition = position;
    }
    // Applied first: an endpoint listed together with an order for its hall must not get a request in between.
    for (const change of evacuationChanges) this.applyEvacuationChange(change, source);
    for (const change of endpointChanges) this.applyEndpointChange(change, position.revision, source);
    this.measureLapsed();
  }

  /** What is to become of the endpoints whose entries have disappeared and that are kept. */
  get lapsedState(): LapsedState {
    return this.directory.readLapsedState(this.options.now());
  }

  /** Runs once a tick. */
  tick(nowMs: number): void {
    this.directory.tick(nowMs);
  }

  /** Detects a restore of the platform by a later era, and starts the period in which its lists are screened. */
  private updateEra({ era, revision }: ListPosition, source: ValueSource): void {
    if (era <= this.era) return;
    const { log, metrics, now } = this.options;
    const before = this.era;
    this.era = era;
    metrics.platformEra.set(era);
    if (this.currentPosition === NO_LIST) return;
    log.write('lifecycle', 'platformRestored', {
      era,
      before,
      revision,
      listRevision: this.currentPosition.revision,
      source,
    });
    this.options.contact.connectivity.handleRestore(source === 'platform', now());
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
      listRevision: this.currentPosition.revision,
      listEra: this.currentPosition.era,
    });
  }

  /** Converts a whole list to its changes, so that peers that had the same list need not request it. */
  private describeDifference(publication: Publication, position: ListPosition): Publication {
    const isComparable = this.currentPosition !== NO_LIST && position.era === this.currentPosition.era;
    if (!isComparable || position.revision < this.currentPosition.revision) return publication;
    const { byId } = this.options.table;
    const changes = diffSnapshot(publication, byId, this.evacuations.list());
    return changes === undefined
      ? publication
      : { ...publication, ...changes, from: this.currentPosition.revision, isComparison: true };
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

  /**
   * Assumes that the endpoints of a hall are cold. They got no requests for a while and may have been restarted
   * meanwhile, and their entries report that later than callers come back.
   */
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
        revision: this.currentPosition.revision,
        source,
      });
    }
    for (const hall of ended) {
      this.assumeHallCold(hall);
      log.write('lifecycle', 'evacuationTakenBack', {
        hall,
        revision: this.currentPosition.revision,
        source,
      });
    }
    metrics.evacuatedHalls.set(this.evacuations.list().length);
  }

  private handleRemoved(id: string, reason: RemovalReason): void {
    const { onEndpointRemoved, log, contact } = this.options;
    this.measureLapsed();
    onEndpointRemoved(id);
    log.write('lifecycle', 'endpointRemoved', {
      id,
      reason,
      contact: contact.source,
      ...contact.describeProof(),
    });
  }

  private handleLapsed(id: string, gracePeriodMs: number): void {
    this.options.log.write('lifecycle', 'endpointLapsed', {
      id,
      contact: this.options.contact.source,
      unsettledMs: toLogMs(gracePeriodMs),
      ...this.options.contact.describeProof(),
    });
  }

  private measureLapsed(): void {
    this.options.metrics.lapsedEndpoints.set(this.options.table.lapsedCount);
  }
}

/** Whether the changes are all those since a position: neither a whole list, nor a comparison of two, nor another era. */
function isUnbroken(
  { endpointChanges, isComparison = false }: ListChanges & Pick<Publication, 'isComparison'>,
  position: ListPosition,
  before: ListPosition,
): boolean {
  const isWhole = endpointChanges.some(({ type }) => type === 'snapshot');
  return !isWhole && !isComparison && position.era === before.era;
}

/** Listing of an endpoint, with the remaining time for which it is cold. */
function describeListing({ listing, coldUntilMs }: EndpointRow, nowMs: number): ListedEndpoint {
  if (listing.coldMs === undefined) return listing;
  return { ...listing, coldMs: Math.max(0, Math.ceil(coldUntilMs - nowMs)) };
}
