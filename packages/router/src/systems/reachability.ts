/**
 * Detects unreachable endpoints, and those that this box reaches only through other boxes. An endpoint that has requests in
 * flight and sends nothing at all gets a connection check; an unreachable one is checked again at a fixed interval, and so is
 * the direct path to one that is reached through tunnels.
 */
import type { EndpointConnections } from '../proxy/endpointConnections.js';
import type { DialFailure } from '../tables/endpointPath.js';
import { DIRECT_PATH, isDirectPathSilent } from '../tables/endpointPath.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import type { EndpointCounts } from './endpointAccess.js';
import type { HealthChange } from './endpointHealth.js';
import {
  markReachable,
  markTunnelled,
  markUnreachable,
  UNREACHABLE_CHECK_INTERVAL_MS,
} from './endpointHealth.js';

/** An endpoint with requests of this box in flight is checked after it has sent nothing for this long. */
const SILENCE_LIMIT_MS = 300;
/** An endpoint that responded within this time needs no check when another one of its hall is unreachable. */
const RECENT_RESPONSE_MS = 250;

/** Called when the health of an endpoint changes. */
export type OnHealthChange = (row: EndpointRow, change: HealthChange, reason: string) => void;

/** A change of the path to an endpoint. */
export type PathChange =
  /** Direct connections fail; new ones go through other boxes. */
  | 'tunnelled'
  /** Direct connections succeed again. */
  | 'direct'
  /** No other box reaches the endpoint any more either. */
  | 'lost';

/** Dependencies and callbacks of the checks. */
export interface ReachabilityOptions {
  readonly table: EndpointTable;
  readonly connections: Pick<EndpointConnections, 'check' | 'checkDirectly' | 'retire'>;
  readonly now: () => number;
  /**
   * Whether a hall is under an evacuation order: its endpoints are not checked unless they have requests in flight.
   */
  readonly isEvacuated: (hall: string) => boolean;
  readonly onChange: OnHealthChange;
  readonly onPathChange: (row: EndpointRow, change: PathChange, reason: string) => void;
  /** Called once a tick. */
  readonly onCounted: (counts: EndpointCounts) => void;
}

/** Runs the connection checks of one box. */
export class Reachability {
  constructor(private readonly options: ReachabilityOptions) {}

  /** Runs once a tick: starts the checks that are due. */
  tick(): void {
    const nowMs = this.options.now();
    const counts = { total: 0, tunnelled: 0, unreachable: 0 };
    for (const row of this.options.table.byId.values()) {
      counts.total += 1;
      if (row.health.type === 'unreachable') counts.unreachable += 1;
      else if (row.path.type === 'tunnel') counts.tunnelled += 1;
      if (!row.isBeingChecked && this.mayCheck(row) && isDue(row, nowMs)) this.startCheck(row);
    }
    this.options.onCounted(counts);
  }

  /**
   * Checks the endpoints of a hall after a connection timed out, which often means that the link to the whole hall is
   * down.
   */
  checkHall(hall: string): void {
    const nowMs = this.options.now();
    for (const row of this.options.table.byId.values()) {
      if (row.listing.hall === hall && nowMs - row.lastResponseAtMs >= RECENT_RESPONSE_MS) this.verify(row);
    }
  }

  /** Checks an endpoint that is considered directly reachable, as a connection to it or to another one of its hall failed. */
  verify(row: EndpointRow): void {
    const isDirect = row.health.type === 'good' && row.path.type === 'direct';
    if (isDirect && !row.isBeingChecked && this.mayCheck(row)) this.startCheck(row);
  }

  /** Records that a direct connection to an endpoint failed while a tunnel succeeded. */
  recordTunnelled(row: EndpointRow, reason: DialFailure): void {
    const { onChange, onPathChange, connections, now } = this.options;
    const wasDirect = row.path.type === 'direct';
    const change = markTunnelled(row, reason, now());
    if (wasDirect) onPathChange(row, 'tunnelled', reason);
    if (change !== undefined) onChange(row, change, 'tunnel');
    if (!wasDirect) return;
    if (isDirectPathSilent(row.path)) connections.retire(row.listing.id, 'direct');
    this.checkHall(row.listing.hall);
  }

  /** Records that a direct connection succeeded: the endpoint is reached through tunnels no more. */
  recordDirect(row: EndpointRow): void {
    if (row.path.type === 'direct') return;
    row.path = DIRECT_PATH;
    this.options.connections.retire(row.listing.id, 'tunnel');
    this.options.onPathChange(row, 'direct', 'connected');
  }

  private mayCheck(row: EndpointRow): boolean {
    return row.inFlight > 0 || !this.options.isEvacuated(row.listing.hall);
  }

  private startCheck(row: EndpointRow): void {
    row.isBeingChecked = true;
    const checked = row.path.type === 'tunnel' ? this.checkTunnelled(row) : this.check(row);
    void checked.finally(() => (row.isBeingChecked = false));
  }

  /** Checks the direct path, and the endpoint itself if it is silent or the last tunnel to it failed. */
  private async checkTunnelled(row: EndpointRow): Promise<void> {
    const { connections, now } = this.options;
    const isInDoubt = row.health.type === 'unreachable' || isSilent(row, now());
    if (row.path.type === 'tunnel')
      row.path = { ...row.path, nextCheckMs: now() + UNREACHABLE_CHECK_INTERVAL_MS };
    const direct = await connections.checkDirectly(row);
    if (direct.ok) this.handleReachable(row);
    else if (isInDoubt) await this.check(row);
  }

  private async check(row: EndpointRow): Promise<void> {
    const { connections, now, onChange, onPathChange } = this.options;
    const wasUnreachable = row.health.type === 'unreachable';
    const result = await connections.check(row);
    if (result.ok) return this.handleReachable(row);
    const change = markUnreachable(row, now(), result.val === 'connectRefused');
    if (row.path.type === 'tunnel') {
      row.path = DIRECT_PATH;
      onPathChange(row, 'lost', result.val);
    }
    if (result.val === 'connectTimedOut' && !wasUnreachable) this.checkHall(row.listing.hall);
    if (change !== undefined) onChange(row, change, result.val);
  }

  private handleReachable(row: EndpointRow): void {
    // A connection only proves that the host is reachable: requests in flight may still get no response.
    const change = markReachable(row, this.options.now());
    if (change !== undefined) this.options.onChange(row, change, 'connection check');
  }
}

function isDue(row: EndpointRow, nowMs: number): boolean {
  if (row.path.type === 'tunnel' && nowMs >= row.path.nextCheckMs) return true;
  switch (row.health.type) {
    case 'unreachable':
      return nowMs >= row.health.nextCheckMs;
    case 'good':
    case 'ejected':
      return isSilent(row, nowMs);
  }
}

/** Whether an endpoint with requests of this box in flight has sent nothing for too long. */
function isSilent(row: EndpointRow, nowMs: number): boolean {
  return row.inFlight > 0 && nowMs - Math.max(row.lastResponseAtMs, row.busySinceMs) >= SILENCE_LIMIT_MS;
}
