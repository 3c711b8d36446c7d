/** Prefix cache of an engine: an LRU set of chats with a log of its changes. */

/** A change of the cache. */
export interface CacheEvent {
  readonly seq: number;
  readonly type: 'stored' | 'evicted';
  readonly chat: string;
}

const MAX_EVENTS = 1_000;

/** LRU cache of the chats whose prefix an engine holds. */
export class PrefixCache {
  private readonly chats = new Map<string, true>();
  private readonly events: CacheEvent[] = [];
  private nextSeq = 1;

  constructor(private readonly capacity: number) {}

  /** Marks a chat's prefix as used and adds it if it is missing. Returns whether it was cached before. */
  touch(chat: string): boolean {
    const wasWarm = this.chats.delete(chat);
    this.chats.set(chat, true);
    if (!wasWarm) this.log('stored', chat);
    if (this.chats.size > this.capacity) this.evictOldest();
    return wasWarm;
  }

  /** Lists the events after a sequence number. Events dropped from the bounded log show as a gap in the sequence numbers. */
  listEvents(after: number): CacheEvent[] {
    return this.events.filter((event) => event.seq > after);
  }

  private evictOldest(): void {
    const oldest = this.chats.keys().next().value;
    if (oldest === undefined) return;
    this.chats.delete(oldest);
    this.log('evicted', oldest);
  }

  private log(type: CacheEvent['type'], chat: string): void {
    this.events.push({ seq: this.nextSeq++, type, chat });
    if (this.events.length > MAX_EVENTS) this.events.shift();
  }
}
