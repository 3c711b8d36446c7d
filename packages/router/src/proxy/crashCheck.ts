/**
 * Distinguishes a crashed endpoint from a broken link. A connection that breaks off looks the same in both cases, but
 * a new connection is refused if no process listens any more, while after a fault of the link it succeeds or times
 * out. Where connections are refused on the path of this box alone, the check succeeds through another box.
 *
 * Two cases are classified wrongly: a device that refuses connections in place of the endpoints on the paths of all boxes that
 * are asked counts as a crash of all endpoints behind it at the same time, and the crash of an endpoint that is back
 * within the round trip of the check is missed.
 */
import { isLeaving } from '../systems/endpointNotices.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import type { EndpointConnections } from './endpointConnections.js';

/** State of an endpoint that broke off a request. */
export type CrashCheckResult =
  | 'crashed'
  /** It accepts connections. */
  | 'running'
  /** The check timed out or failed, or the endpoint was about to stop anyway. */
  | 'unknown';

/** Checks endpoints for crashes. Requests that break off at the same time share one check of their endpoint. */
export class CrashCheck {
  private readonly pending = new Map<string, Promise<CrashCheckResult>>();

  constructor(
    private readonly connections: Pick<EndpointConnections, 'check'>,
    /** Called once for each endpoint that was found to have crashed. */
    private readonly onCrashed: (row: EndpointRow) => void,
  ) {}

  /**
   * Connects to the endpoint; takes a few round trips, 0.3 s at most, or 1 s if it is reached through other boxes.
   *
   * @example if ((await crashCheck.check(row)) === 'crashed') relay.recordCrash(fingerprint, run);
   */
  check(row: EndpointRow): Promise<CrashCheckResult> {
    const { id } = row.listing;
    const pending = this.pending.get(id);
    if (pending !== undefined) return pending;
    const result = this.connect(row).finally(() => this.pending.delete(id));
    this.pending.set(id, result);
    return result;
  }

  private async connect(row: EndpointRow): Promise<CrashCheckResult> {
    // If it leaves as planned, or its entry has lapsed, the end of its process is no evidence against its requests.
    const isEnding = isLeaving(row) || row.isLapsed;
    const reached = await this.connections.check(row);
    if (reached.ok) return 'running';
    if (reached.val !== 'connectRefused' || isEnding) return 'unknown';
    this.onCrashed(row);
    return 'crashed';
  }
}
