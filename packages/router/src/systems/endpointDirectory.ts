/**
 * Keeps the table of endpoints in step with what the platform publishes.
 *
 * An endpoint whose entry vanishes while the platform is in trouble may live on: its entry only lapsed. It stays in use
 * until the platform has been back for a while; entries of live endpoints are back by then.
 */
import type { ListedEndpoint } from '../records.js';
import type { EndpointTable } from '../tables/endpointTable.js';

/** Live endpoints are listed again within about two seconds of the platform's return. */
const LAPSE_MS = 2_000;

/** A change of the published list. */
export type EndpointChange =
  | { readonly type: 'listed'; readonly endpoint: ListedEndpoint }
  | { readonly type: 'removed'; readonly id: string }
  /** The whole list: what is not in it is gone. */
  | { readonly type: 'snapshot'; readonly endpoints: readonly ListedEndpoint[] };

/** What is told about changes. */
export interface EndpointDirectoryHandlers {
  readonly onRemoved: (id: string, reason: 'removed' | 'lapsed') => void;
  /**
   * An entry vanished, and its endpoint is kept since it may only have lapsed: for `unsettledMs` more, or infinitely while
   * the platform cannot be read.
   */
  readonly onLapsed: (id: string, unsettledMs: number) => void;
}

/** Applies published changes to the table. */
export class EndpointDirectory {
  private isFeedUp = false;
  private trustedFromMs = 0;

  constructor(
    private readonly table: EndpointTable,
    private readonly handlers: EndpointDirectoryHandlers,
  ) {}

  /** The platform cannot be read any more. */
  noteFeedLost(): void {
    this.isFeedUp = false;
  }

  /** The platform can be read again. */
  noteFeedRegained(nowMs: number): void {
    if (!this.isFeedUp) this.trustedFromMs = nowMs + LAPSE_MS;
    this.isFeedUp = true;
  }

  /** For how much longer an entry that vanishes may only have lapsed; infinite while the platform cannot be read. */
  readUnsettledMs(nowMs: number): number {
    return this.isFeedUp ? Math.max(0, this.trustedFromMs - nowMs) : Infinity;
  }

  /** For so long an entry that vanishes may only have lapsed. */
  distrustFor(unsettledMs: number, nowMs: number): void {
    this.trustedFromMs = Math.max(this.trustedFromMs, nowMs + unsettledMs);
  }

  /** Applies a change. */
  apply(change: EndpointChange, nowMs: number): void {
    switch (change.type) {
      case 'listed':
        this.table.upsert(change.endpoint, nowMs);
        return;
      case 'removed':
        this.removeOrLapse(change.id, nowMs);
        return;
      case 'snapshot':
        return this.applySnapshot(change.endpoints, nowMs);
    }
  }

  /** Runs once a tick: ends lapses that were not made good. */
  tick(nowMs: number): void {
    if (this.readUnsettledMs(nowMs) > 0) return;
    for (const row of [...this.table.byId.values()]) {
      if (row.lapsedUntilMs === undefined || nowMs < row.lapsedUntilMs) continue;
      this.table.remove(row.listing.id);
      this.handlers.onRemoved(row.listing.id, 'lapsed');
    }
  }

  private applySnapshot(endpoints: readonly ListedEndpoint[], nowMs: number): void {
    const listed = new Set(endpoints.map((endpoint) => endpoint.id));
    for (const endpoint of endpoints) this.table.upsert(endpoint, nowMs);
    for (const id of [...this.table.byId.keys()]) if (!listed.has(id)) this.removeOrLapse(id, nowMs);
  }

  private removeOrLapse(id: string, nowMs: number): void {
    const row = this.table.byId.get(id);
    if (row === undefined) return;
    const unsettledMs = this.readUnsettledMs(nowMs);
    if (unsettledMs === 0) {
      this.table.remove(id);
      this.handlers.onRemoved(id, 'removed');
      return;
    }
    if (row.lapsedUntilMs !== undefined) return;
    this.table.lapse(row, Math.max(nowMs, this.trustedFromMs));
    this.handlers.onLapsed(id, unsettledMs);
  }
}
