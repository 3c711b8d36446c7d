/**
 * Tells a crashed endpoint from a broken link. A connection that breaks off looks the same in both cases; but where
 * nobody listens any more a new connection is refused, and where only the link was at fault it comes up or hears nothing.
 * What stays in doubt: a link that refuses in the endpoint's place, which hits all endpoints behind it at the same time,
 * and an endpoint that is back within the round trip of the check, whose crash goes unseen.
 */
import { isLeaving } from '../systems/endpointNotices.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import type { EndpointConnections } from './endpointConnections.js';

/** What became of an endpoint that broke off a request. */
export type CrashCheckResult =
  | 'crashed'
  /** It accepts connections. */
  | 'running'
  /** Nothing was heard, or it was about to end anyway. */
  | 'unknown';

/** Checks endpoints, each once for all requests that it broke off at the same time. */
export class CrashCheck {
  private readonly pending = new Map<string, Promise<CrashCheckResult>>();

  constructor(
    private readonly connections: Pick<EndpointConnections, 'check'>,
    /** Called once for each endpoint that was found to have crashed. */
    private readonly onCrashed: (row: EndpointRow) => void,
  ) {}

  /**
   * Asks the endpoint for a connection; takes a round trip, a quarter of a second at most.
   *
   * @example if ((await crashCheck.check(row)) === 'crashed') relay.noteCrash(content, run);
   */
  check(row: EndpointRow): Promise<CrashCheckResult> {
    const { id } = row.listing;
    const pending = this.pending.get(id);
    if (pending !== undefined) return pending;
    const verdict = this.connect(row).finally(() => this.pending.delete(id));
    this.pending.set(id, verdict);
    return verdict;
  }

  private async connect(row: EndpointRow): Promise<CrashCheckResult> {
    // It ends as planned, or its entry is gone: that says nothing against what it had under way.
    const isEnding = isLeaving(row) || row.isLapsed;
    const reached = await this.connections.check(row);
    if (reached.ok) return 'running';
    if (reached.val !== 'connectRefused' || isEnding) return 'unknown';
    this.onCrashed(row);
    return 'crashed';
  }
}
