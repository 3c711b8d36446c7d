/** The chat directory: for the chats this box is home to, the engines that hold their prefix. Soft state. */
import type { EndpointId } from '../records.js';

/** Bounded map from a model's chat to its warm engines, most recent first. */
export class ChatDirectory {
  private readonly chats = new Map<string, readonly EndpointId[]>();

  constructor(
    private readonly maxChats: number,
    private readonly warmPerChat: number,
  ) {}

  /** Number of chats remembered. */
  get size(): number {
    return this.chats.size;
  }

  /** Returns the engines that hold the chat's prefix, most recent first; empty when unknown. */
  read(key: string): readonly EndpointId[] {
    return this.chats.get(key) ?? [];
  }

  /** Notes that an engine now holds the chat's prefix. */
  recordEngine(key: string, endpointId: EndpointId): void {
    const others = this.read(key).filter((id) => id !== endpointId);
    this.write(key, [endpointId, ...others]);
  }

  /** Takes over an entry from another box, unless this box knows the chat already. */
  addIfMissing(key: string, endpointIds: readonly EndpointId[]): void {
    if (!this.chats.has(key)) this.write(key, endpointIds);
  }

  /** Forgets a chat. */
  delete(key: string): void {
    this.chats.delete(key);
  }

  /** Lists all entries, least recently written first. */
  entries(): IterableIterator<[string, readonly EndpointId[]]> {
    return this.chats.entries();
  }

  private write(key: string, endpointIds: readonly EndpointId[]): void {
    this.chats.delete(key);
    this.chats.set(key, endpointIds.slice(0, this.warmPerChat));
    if (this.chats.size <= this.maxChats) return;
    const oldest = this.chats.keys().next().value;
    if (oldest !== undefined) this.chats.delete(oldest);
  }
}
