/**
 * Keeps the table of endpoints in sync with the list that the platform publishes.
 *
 * If an entry disappears during an outage of the platform, its endpoint may still be alive: the entry has only
 * lapsed. Such an endpoint stays in use until the platform has been back for a while: by then the entries of live
 * endpoints are listed again.
 */
import type { ListedEndpoint } from '../records.js';
import type { RemovalReason } from '../tables/departure.js';
import type { EndpointTable } from '../tables/endpointTable.js';
import type { PlatformConnectivity } from './platformConnectivity.js';
import { RestoredEntries } from './restoredEntries.js';

/** A change of the published list. */
export type EndpointChange =
  | { readonly type: 'listed'; readonly endpoint: ListedEndpoint }
  | { readonly type: 'removed'; readonly id: string }
  /** The whole list: endpoints missing from it were removed. */
  | {
      readonly type: 'snapshot';
      readonly endpoints: readonly ListedEndpoint[];
      /** Endpoints missing from the list that its sender keeps because they may have lapsed. */
      readonly lapsed?: readonly ListedEndpoint[];
    };

/** What is to become of the endpoints whose entries have disappeared and that are kept. */
export type LapsedState =
  /** There are none. */
  | 'none'
  /** An outage of the platform is possible: their entries may only have lapsed. */
  | 'inDoubt'
  /** Those of live endpoints are listed again by now, but no list has been proven since. */
  | 'awaitingProof'
  /** A list proven since then lacks them. */
  | 'gone';

/** Called when an endpoint is removed or its entry lapses. */
export interface EndpointDirectoryHandlers {
  readonly onRemoved: (id: string, reason: RemovalReason) => void;
  /**
   * The entry of an endpoint disappeared, and the endpoint is kept for `gracePeriodMs` because the entry may only have
   * lapsed. The grace period is infinite while neither this box nor a peer reads the platform.
   */
  readonly onLapsed: (id: string, gracePeriodMs: number) => void;
}

/** Applies published changes to the table. */
export class EndpointDirectory {
  private readonly restored = new RestoredEntries();

  constructor(
    private readonly table: EndpointTable,
    private readonly connectivity: PlatformConnectivity,
    private readonly handlers: EndpointDirectoryHandlers,
  ) {}

  /** Applies a change. */
  apply(change: EndpointChange, nowMs: number): void {
    switch (change.type) {
      case 'listed':
        this.restored.stopScreening(change.endpoint.id);
        this.table.upsert(change.endpoint, nowMs);
        return;
      case 'removed':
        this.removeOrLapse(change.id, nowMs);
        return;
      case 'snapshot':
        return this.applySnapshot(change.endpoints, change.lapsed ?? [], nowMs);
    }
  }

  /** Starts screening lists after the platform was restored from a backup. */
  handleRestore(nowMs: number): void {
    const rows = [...this.table.byId.values()].filter(({ listing }) => listing.state === 'leaving');
    this.restored.handleRestore(
      rows.map(({ listing }) => listing.id),
      (id) => this.table.byId.has(id),
      nowMs,
    );
  }

  /** Whether a recent restore may have made published lists older than the state of this box. */
  isScreening(nowMs: number): boolean {
    return this.restored.isScreening(nowMs);
  }

  /** Filters outdated entries out of a snapshot that was read after a restore. */
  screen(change: EndpointChange, nowMs: number): EndpointChange {
    if (change.type !== 'snapshot') return change;
    return { ...change, endpoints: this.restored.screen(change.endpoints, nowMs) };
  }

  /** Why lapsed endpoints are kept, or that they are not. */
  readLapsedState(nowMs: number): LapsedState {
    const { table, connectivity } = this;
    if (table.lapsedCount === 0) return 'none';
    if (connectivity.readGracePeriodMs(nowMs) > 0) return 'inDoubt';
    return connectivity.isProvenAfterGracePeriod ? 'gone' : 'awaitingProof';
  }

  /** Runs once a tick: removes lapsed endpoints that a list from after the grace period still lacks. */
  tick(nowMs: number): void {
    if (this.readLapsedState(nowMs) !== 'gone') return;
    for (const row of [...this.table.byId.values()]) {
      if (row.isLapsed) this.remove(row.listing.id, 'lapsed', nowMs);
    }
  }

  private applySnapshot(
    endpoints: readonly ListedEndpoint[],
    lapsed: readonly ListedEndpoint[],
    nowMs: number,
  ): void {
    const listed = new Set(endpoints.map((endpoint) => endpoint.id));
    for (const endpoint of endpoints) this.table.upsert(endpoint, nowMs);
    this.addLapsed(lapsed, nowMs);
    for (const id of [...this.table.byId.keys()]) if (!listed.has(id)) this.removeOrLapse(id, nowMs);
  }

  /**
   * Adds endpoints that a peer keeps as lapsed: a box that starts during an outage of the platform has no other
   * source. One that this box has dropped stays so: the doubt of a peer is no proof against its own.
   */
  private addLapsed(lapsed: readonly ListedEndpoint[], nowMs: number): void {
    if (this.connectivity.readGracePeriodMs(nowMs) === 0) return;
    for (const endpoint of lapsed) {
      const isKnown = this.table.byId.has(endpoint.id) || this.restored.wasRemoved(endpoint.id, nowMs);
      if (!isKnown) this.table.upsert(endpoint, nowMs);
    }
  }

  private removeOrLapse(id: string, nowMs: number): void {
    const row = this.table.byId.get(id);
    if (row === undefined) return;
    const gracePeriodMs = this.connectivity.readGracePeriodMs(nowMs);
    if (gracePeriodMs === 0) {
      this.remove(id, 'removed', nowMs);
      return;
    }
    if (row.isLapsed) return;
    this.table.markLapsed(row);
    this.handlers.onLapsed(id, gracePeriodMs);
  }

  private remove(id: string, proof: RemovalReason, nowMs: number): void {
    this.table.remove(id, { proof, sinceMs: nowMs });
    this.restored.recordRemoval(id, nowMs);
    this.handlers.onRemoved(id, proof);
  }
}
