import type { ListedEndpoint } from '../records.js';

/** Announcements that an endpoint has made in its responses to this router. */
export interface EndpointNotice {
  /** The endpoint is about to leave and asks for no new requests. */
  isLeaving: boolean;
  /** When this box read that; undefined before. */
  leavingSinceMs?: number | undefined;
  /** Time until which the endpoint asks this router to send no requests; 0 if it has never asked. */
  backOffUntilMs: number;
  /** Rejections for lack of room that the endpoint survives in a second; undefined if it has stated no limit. */
  rejectionsPerS?: number | undefined;
  /** Start time of the process that made the announcements; undefined while no listing has stated one. */
  bornMs: number | undefined;
}

/** Limits the memory for notices of endpoints that are no longer listed. */
const MAX_NOTICES = 4_096;

/**
 * The notices of all endpoints by id. They are kept apart from the rows of the endpoint table, so that an outdated list cannot
 * revoke an announcement, even if it removes an endpoint and adds it again.
 */
export class EndpointNotices {
  private readonly byId = new Map<string, EndpointNotice>();

  /**
   * Returns the notice of a listed endpoint and creates it if there is none. A later process start under the same id
   * resets it.
   *
   * @param current the notice of the endpoint's row, which may have been evicted here
   * @example notices.getOrCreate(listing).isLeaving // false until a response says so
   */
  getOrCreate(
    { id, bornMs }: Pick<ListedEndpoint, 'id' | 'bornMs'>,
    current?: EndpointNotice,
  ): EndpointNotice {
    const known = current ?? this.byId.get(id);
    const isSameProcess = known !== undefined && !isLaterStart(bornMs, known.bornMs);
    const notice = isSameProcess ? known : { isLeaving: false, backOffUntilMs: 0, bornMs };
    notice.bornMs ??= bornMs;
    // Evict the least recently listed endpoint first.
    this.byId.delete(id);
    this.byId.set(id, notice);
    this.evictOldest();
    return notice;
  }

  private evictOldest(): void {
    const [oldest] = this.byId.keys();
    if (oldest !== undefined && this.byId.size > MAX_NOTICES) this.byId.delete(oldest);
  }
}

function isLaterStart(bornMs: number | undefined, knownMs: number | undefined): boolean {
  return bornMs !== undefined && knownMs !== undefined && bornMs > knownMs;
}
