/**
 * Finds endpoints that cannot be reached. One that holds requests and says nothing at all is asked for a connection;
 * one that could not be reached is asked again at a steady pace.
 */
import type { EndpointConnections } from '../proxy/endpointConnections.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import type { HealthChange } from './endpointHealth.js';
import { markUnreachable, markReachable } from './endpointHealth.js';

/** An endpoint with requests of this box that says nothing for this long is checked. */
const SUSPECT_MS = 300;
/** An endpoint heard within this time needs no check when another one of its hall cannot be reached. */
const HEARD_LATELY_MS = 250;

/** Called when the belief about an endpoint changes. */
export type OnHealthChange = (row: EndpointRow, change: HealthChange, because: string) => void;

/** What the checks work with. */
export interface ReachabilityOptions {
  readonly table: EndpointTable;
  readonly connections: Pick<EndpointConnections, 'check'>;
  readonly now: () => number;
  /** Whether a hall is to be emptied: nothing is asked of an endpoint there that holds no requests. */
  readonly isEvacuated: (hall: string) => boolean;
  readonly onChange: OnHealthChange;
}

/** Checks connections once a tick. */
export class Reachability {
  constructor(private readonly options: ReachabilityOptions) {}

  /** Starts the checks that are due. */
  tick(): void {
    const nowMs = this.options.now();
    for (const row of this.options.table.byId.values()) {
      if (!row.isBeingChecked && this.mayCheck(row) && isDue(row, nowMs)) void this.check(row);
    }
  }

  private mayCheck(row: EndpointRow): boolean {
    return row.inFlight > 0 || !this.options.isEvacuated(row.listing.hall);
  }

  private async check(row: EndpointRow): Promise<void> {
    row.isBeingChecked = true;
    const wasUnreachable = row.health.type === 'unreachable';
    const reached = await this.options.connections.check(row);
    row.isBeingChecked = false;
    const nowMs = this.options.now();
    if (reached.ok) {
      // A connection proves only that the host is there: the requests it holds may still be mute.
      const change = markReachable(row, nowMs);
      if (change !== undefined) this.options.onChange(row, change, 'connection check');
      return;
    }
    const change = markUnreachable(row, nowMs, reached.val === 'connectRefused');
    if (reached.val === 'connectTimedOut' && !wasUnreachable) this.checkHall(row.listing.hall);
    if (change !== undefined) this.options.onChange(row, change, reached.val);
  }

  /** A connection that times out often means that the link to a whole hall is cut: its other endpoints are checked. */
  checkHall(hall: string): void {
    const nowMs = this.options.now();
    for (const row of this.options.table.byId.values()) {
      const isSuspect =
        row.listing.hall === hall && row.health.type === 'good' && !row.isBeingChecked && this.mayCheck(row);
      if (isSuspect && nowMs - row.lastResponseAtMs >= HEARD_LATELY_MS) void this.check(row);
    }
  }
}

function isDue(row: EndpointRow, nowMs: number): boolean {
  switch (row.health.type) {
    case 'unreachable':
      return nowMs >= row.health.nextCheckMs;
    case 'good':
    case 'ejected':
      return row.inFlight > 0 && nowMs - Math.max(row.lastResponseAtMs, row.busySinceMs) >= SUSPECT_MS;
  }
}
