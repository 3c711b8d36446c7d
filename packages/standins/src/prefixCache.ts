/** An engine's prefix cache: the chats it holds, the least recently used dropped first, with a log of events. */

/** Something that happened in the cache. */
export interface CacheEvent {
  readonly seq: number;
  readonly type: 'stored' | 'evicted';
  readonly chat: string;
}

const MAX_EVENTS = 1_000;

/** Bounded set of chats. */
export class PrefixCache {
  private readonly chats = new Map<string, true>();
  private readonly events: CacheEvent[] = [];
  private nextSeq = 1;

  constructor(private readonly capacity: number) {}

  /** Uses a chat's prefix. Returns whether it was warm. */
  touch(chat: string): boolean {
    const wasWarm = this.chats.delete(chat);
    this.chats.set(chat, true);
    if (!wasWarm) this.log('stored', chat);
    if (this.chats.size > this.capacity) this.evictOldest();
    return wasWarm;
  }

  /** Lists events after a sequence number; those that fell off the log are a gap the reader can see. */
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
