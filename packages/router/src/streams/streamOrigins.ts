/**
 * Where streams began: the service, and the version of the endpoint's software that wrote the first event. What two versions
 * write does not fit together, so a stream may only go on at the version that began it.
 *
 * Entries are kept for as long as a caller may take a stream up again, in the order in which they were recorded.
 */

/** Service and software version that began a stream. */
export interface StreamOrigin {
  readonly service: string;
  readonly softwareVersion: string;
}

/** Identifies a stream in the messages between boxes: 48 bits, which a number holds exactly. */
export type StreamKey = number;

/** Streams whose origin a box keeps: seven megabytes when full. The oldest are evicted first. */
const MAX_ORIGINS = 65_536;
/** A key consists of a hash of 32 bits and the low half of a second one. */
const LOW_HALF = 0x1_0000;

interface OriginEntry {
  readonly origin: StreamOrigin;
  readonly recordedAtMs: number;
}

/**
 * Computes the key of a stream. It depends on the caller, so that no caller changes what is known of another one's stream.
 *
 * @param caller name of the team; empty if callers need no key
 * @param requestId id of the request that brought the first event
 * @example computeStreamKey(hash, 'team-1', '9c41d07be2a35f68') // the same number at every box
 */
export function computeStreamKey(
  hash: (text: string, seed?: number) => number,
  caller: string,
  requestId: string,
): StreamKey {
  const text = `${caller}\0${requestId}`;
  return hash(text) * LOW_HALF + (hash(text, 1) % LOW_HALF);
}

/** The origins that one box knows, of its own streams and of those that other boxes reported. */
export class StreamOrigins {
  private readonly entries = new Map<StreamKey, OriginEntry>();
  /** One object for each origin, however many streams it has. */
  private readonly shared = new Map<string, StreamOrigin>();

  /** Number of streams. */
  get size(): number {
    return this.entries.size;
  }

  /** Records where a stream began; returns the one object that stands for all equal origins. */
  record(key: StreamKey, origin: StreamOrigin, nowMs: number): StreamOrigin {
    const shared = this.share(origin);
    this.entries.delete(key);
    this.entries.set(key, { origin: shared, recordedAtMs: nowMs });
    if (this.entries.size > MAX_ORIGINS) this.evictOldest();
    return shared;
  }

  /** Where a stream began; undefined if this box does not know it. */
  find(key: StreamKey): StreamOrigin | undefined {
    return this.entries.get(key)?.origin;
  }

  /** Removes what was recorded before a time. */
  removeBefore(timeMs: number): void {
    for (const [key, { recordedAtMs }] of this.entries) {
      if (recordedAtMs >= timeMs) break;
      this.entries.delete(key);
    }
    if (this.entries.size === 0) this.shared.clear();
  }

  private evictOldest(): void {
    const [oldest] = this.entries.keys();
    if (oldest !== undefined) this.entries.delete(oldest);
  }

  private share(origin: StreamOrigin): StreamOrigin {
    const name = `${origin.service}\0${origin.softwareVersion}`;
    const known = this.shared.get(name) ?? origin;
    this.shared.set(name, known);
    return known;
  }
}
