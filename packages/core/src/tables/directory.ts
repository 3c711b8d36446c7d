/** The chat directory: the engines that have a chat's prefix cached, for chats whose home box this is. Soft state. */
import type { EndpointId } from '../records.js';

/** Bounded map from a model's chat to its warm engines, most recent first. Evicts the least recently written chat. */
export class ChatDirectory {
  private readonly chats = new Map<string, readonly EndpointId[]>();

  constructor(
    private readonly maxChats: number,
    private readonly maxEnginesPerChat: number,
  ) {}

  /** Number of chats stored. */
  get size(): number {
    return this.chats.size;
  }

  /** Returns the engines that have the chat's prefix cached, most recent first; empty if the chat is unknown. */
  read(key: string): readonly EndpointId[] {
    return this.chats.get(key) ?? [];
  }

  /** Records that an engine has the chat's prefix cached. */
  recordEngine(key: string, endpointId: EndpointId): void {
    const others = this.read(key).filter((id) => id !== endpointId);
    this.write(key, [endpointId, ...others]);
  }

  /** Adds an entry received from another box, unless this box already has one for the chat. */
  addIfMissing(key: string, endpointIds: readonly EndpointId[]): void {
    if (!this.chats.has(key)) this.write(key, endpointIds);
  }

  /** Removes a chat. */
  delete(key: string): void {
    this.chats.delete(key);
  }

  /** Lists all entries, least recently written first. */
  entries(): IterableIterator<[string, readonly EndpointId[]]> {
    return this.chats.entries();
  }

  private write(key: string, endpointIds: readonly EndpointId[]): void {
    this.chats.delete(key);
    this.chats.set(key, endpointIds.slice(0, this.maxEnginesPerChat));
    if (this.chats.size <= this.maxChats) return;
    const oldest = this.chats.keys().next().value;
    if (oldest !== undefined) this.chats.delete(oldest);
  }
}
