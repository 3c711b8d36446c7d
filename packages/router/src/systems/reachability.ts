/**
 * Detects unreachable endpoints. An endpoint that has requests in flight and sends nothing at all gets a connection
 * check; an unreachable one is checked again at a fixed interval.
 */
import type { EndpointConnections } from '../proxy/endpointConnections.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import type { HealthChange } from './endpointHealth.js';
import { markUnreachable, markReachable } from './endpointHealth.js';

/** An endpoint with requests of this box in flight is checked after it has sent nothing for this long. */
const SILENCE_LIMIT_MS = 300;
/** An endpoint that responded within this time needs no check when another one of its hall is unreachable. */
const RECENT_RESPONSE_MS = 250;

/** Called when the health of an endpoint changes. */
export type OnHealthChange = (row: EndpointRow, change: HealthChange, because: string) => void;

/** Dependencies and callbacks of the checks. */
export interface ReachabilityOptions {
  readonly table: EndpointTable;
  readonly connections: Pick<EndpointConnections, 'check'>;
  readonly now: () => number;
  /**
   * Whether a hall is under an evacuation order: its endpoints are not checked unless they have requests in flight.
   */
  readonly isEvacuated: (hall: string) => boolean;
  readonly onChange: OnHealthChange;
  /** Called once a tick with the number of unreachable endpoints. */
  readonly onCounted: (unreachable: number) => void;
}

/** Runs the connection checks of one box. */
export class Reachability {
  constructor(private readonly options: ReachabilityOptions) {}

  /** Runs once a tick: starts the checks that are due. */
  tick(): void {
    const nowMs = this.options.now();
    let unreachable = 0;
    for (const row of this.options.table.byId.values()) {
      if (row.health.type === 'unreachable') unreachable += 1;
      if (!row.isBeingChecked && this.mayCheck(row) && isDue(row, nowMs)) void this.check(row);
    }
    this.options.onCounted(unreachable);
  }

  private mayCheck(row: EndpointRow): boolean {
    return row.inFlight > 0 || !this.options.isEvacuated(row.listing.hall);
  }

  private async check(row: EndpointRow): Promise<void> {
    row.isBeingChecked = true;
    const wasUnreachable = row.health.type === 'unreachable';
    const result = await this.options.connections.check(row);
    row.isBeingChecked = false;
    const nowMs = this.options.now();
    if (result.ok) {
      // A connection only proves that the host is reachable: requests in flight may still get no response.
      const change = markReachable(row, nowMs);
      if (change !== undefined) this.options.onChange(row, change, 'connection check');
      return;
    }
    const change = markUnreachable(row, nowMs, result.val === 'connectRefused');
    if (result.val === 'connectTimedOut' && !wasUnreachable) this.checkHall(row.listing.hall);
    if (change !== undefined) this.options.onChange(row, change, result.val);
  }

  /**
   * Checks the endpoints of a hall after a connection timed out, which often means that the link to the whole hall is
   * down.
   */
  checkHall(hall: string): void {
    const nowMs = this.options.now();
    for (const row of this.options.table.byId.values()) {
      const mayBeAffected =
        row.listing.hall === hall && row.health.type === 'good' && !row.isBeingChecked && this.mayCheck(row);
      if (mayBeAffected && nowMs - row.lastResponseAtMs >= RECENT_RESPONSE_MS) void this.check(row);
    }
  }
}

function isDue(row: EndpointRow, nowMs: number): boolean {
  switch (row.health.type) {
    case 'unreachable':
      return nowMs >= row.health.nextCheckMs;
    case 'good':
    case 'ejected':
      return row.inFlight > 0 && nowMs - Math.max(row.lastResponseAtMs, row.busySinceMs) >= SILENCE_LIMIT_MS;
  }
}
