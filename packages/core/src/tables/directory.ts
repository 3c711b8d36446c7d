/** The chat directory: for the chats this box is home to, the engines that hold their prefix. Soft state. */
import type { ChatId, EndpointId } from '../records.js';

/** Bounded map from chat to its warm engines, most recent first. */
export class Directory {
  private readonly chats = new Map<ChatId, readonly EndpointId[]>();

  constructor(
    private readonly maxChats: number,
    private readonly warmPerChat: number,
  ) {}

  /** Number of chats remembered. */
  get size(): number {
    return this.chats.size;
  }

  /** Returns the engines that hold the chat's prefix, most recent first; empty when unknown. */
  read(chat: ChatId): readonly EndpointId[] {
    return this.chats.get(chat) ?? [];
  }

  /** Notes that an engine now holds the chat's prefix. */
  learn(chat: ChatId, endpointId: EndpointId): void {
    const others = this.read(chat).filter((id) => id !== endpointId);
    this.write(chat, [endpointId, ...others]);
  }

  /** Takes over an entry from another box, unless this box knows the chat already. */
  adopt(chat: ChatId, endpointIds: readonly EndpointId[]): void {
    if (!this.chats.has(chat)) this.write(chat, endpointIds);
  }

  /** Forgets a chat. */
  forget(chat: ChatId): void {
    this.chats.delete(chat);
  }

  /** Lists all entries, least recently written first. */
  entries(): IterableIterator<[ChatId, readonly EndpointId[]]> {
    return this.chats.entries();
  }

  private write(chat: ChatId, endpointIds: readonly EndpointId[]): void {
    this.chats.delete(chat);
    this.chats.set(chat, endpointIds.slice(0, this.warmPerChat));
    if (this.chats.size <= this.maxChats) return;
    const oldest = this.chats.keys().next().value;
    if (oldest !== undefined) this.chats.delete(oldest);
  }
}
