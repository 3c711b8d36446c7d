/**
 * Screens endpoint lists after the platform was restored from a backup, which may still list endpoints that have left since it was
 * taken. Such entries are ignored until they are written again or until the screening period ends, when entries that are no longer
 * refreshed have expired.
 */
import type { ListedEndpoint } from '../records.js';

/** Entries expire after three missed heartbeats of 1.2 s; the remainder covers propagation. */
export const RESTORE_SCREENING_MS = 6_000;
/** Backups are assumed to be more recent than this: endpoints removed earlier are not screened. */
const REMOVAL_RETENTION_MS = 60_000;

/** State of an endpoint before the restore. */
type Departure = 'leaving' | 'removed';

/** Tracks endpoints that a restored platform may list although they have left. */
export class RestoredEntries {
  /** Removal times of endpoints by id, oldest first. */
  private readonly removedAtMs = new Map<string, number>();
  private readonly departures = new Map<string, Departure>();
  private screeningUntilMs = -Infinity;

  /** Whether the screening period of a restore is in progress. */
  isScreening(nowMs: number): boolean {
    return nowMs < this.screeningUntilMs;
  }

  /** Records the removal of an endpoint, and forgets removals past the retention period. */
  recordRemoval(id: string, nowMs: number): void {
    this.removedAtMs.delete(id);
    this.removedAtMs.set(id, nowMs);
    for (const [oldId, atMs] of this.removedAtMs) {
      if (nowMs - atMs < REMOVAL_RETENTION_MS) return;
      this.removedAtMs.delete(oldId);
    }
  }

  /** Whether an endpoint was removed within the retention period and its entry was not written since. */
  wasRemoved(id: string, nowMs: number): boolean {
    return nowMs - (this.removedAtMs.get(id) ?? -Infinity) < REMOVAL_RETENTION_MS;
  }

  /** Stops screening an endpoint whose entry was written again. */
  stopScreening(id: string): void {
    this.removedAtMs.delete(id);
    this.departures.delete(id);
  }

  /**
   * Starts or extends the screening period; endpoints screened since an earlier restore in progress are retained. Recorded removals
   * of endpoints that are back in the table are ignored.
   */
  handleRestore(leavingIds: readonly string[], isInTable: (id: string) => boolean, nowMs: number): void {
    if (!this.isScreening(nowMs)) this.departures.clear();
    for (const [id, atMs] of this.removedAtMs) {
      const isRecent = nowMs - atMs < REMOVAL_RETENTION_MS;
      if (isRecent && !isInTable(id)) this.departures.set(id, 'removed');
    }
    for (const id of leavingIds) this.departures.set(id, 'leaving');
    this.screeningUntilMs = nowMs + RESTORE_SCREENING_MS;
  }

  /**
   * Omits endpoints removed before the restore, and keeps the `leaving` state of those that were leaving.
   *
   * @example entries.screen(endpoints, nowMs) // the list unchanged unless screening is in progress
   */
  screen(endpoints: readonly ListedEndpoint[], nowMs: number): readonly ListedEndpoint[] {
    if (!this.isScreening(nowMs)) return endpoints;
    return endpoints.flatMap((endpoint) => {
      const departure = this.departures.get(endpoint.id);
      switch (departure) {
        case undefined:
          return [endpoint];
        case 'removed':
          return [];
        case 'leaving':
          return [{ ...endpoint, state: 'leaving' as const }];
      }
    });
  }
}
