/**
 * Chat directory: the warm engines of the chats whose home box this is, and the handover of entries when home boxes
 * change.
 */
import type { DirectoryFrame, PlacedFrame } from '../frames.js';
import { pickByRendezvous } from '../hasher.js';
import type { BoxId, ChatId, EndpointId, ServiceName } from '../records.js';
import type { World } from '../world.js';
import { emit } from '../world.js';

/** Separates model and chat in a directory key; model names have no slash. */
const KEY_SEPARATOR = '/';

/**
 * Returns the key of a chat in the directory.
 *
 * @example directoryKey('assistant', 'chat-1') // 'assistant/chat-1'
 */
export function directoryKey(model: ServiceName, chat: ChatId): string {
  return `${model}${KEY_SEPARATOR}${chat}`;
}

/**
 * Returns the home box of a chat, in this box's view: the box that stores the chat's directory entry (its partition
 * owner). It is the owner of the chat's first choice among the listed engines: in the usual case the home box thus
 * calls the engine itself, which saves one hop.
 */
export function findHomeBox(world: World, model: ServiceName, chat: ChatId): BoxId | undefined {
  const { hasher } = world.deps;
  const engineId = pickByRendezvous(hasher, chat, world.liveEndpointIds.get(model) ?? []);
  const ownerId = engineId === undefined ? undefined : world.endpoints.get(engineId)?.ownerId;
  return ownerId ?? pickByRendezvous(hasher, chat, world.live.all);
}

function findHomeOfKey(world: World, key: string): BoxId | undefined {
  const at = key.indexOf(KEY_SEPARATOR);
  return findHomeBox(world, key.slice(0, at), key.slice(at + 1));
}

/** Records the engine that accepted a chat's request in place of the first choice. */
export function handlePlaced(world: World, frame: PlacedFrame): void {
  world.directory.recordEngine(directoryKey(frame.service, frame.chat), frame.endpoint);
}

/** Adds entries handed over by their former home box. */
export function handleDirectory(world: World, frame: DirectoryFrame): void {
  for (const [key, endpoints] of frame.entries) world.directory.addIfMissing(key, endpoints);
}

type Entry = readonly [string, readonly EndpointId[]];

function collectMovedEntries(world: World, limit: number): Map<BoxId, Entry[]> {
  const moved = new Map<BoxId, Entry[]>();
  let found = 0;
  for (const [key, endpoints] of world.directory.entries()) {
    const home = findHomeOfKey(world, key);
    if (home === undefined || home === world.self.boxId) continue;
    const batch = moved.get(home) ?? [];
    batch.push([key, endpoints]);
    moved.set(home, batch);
    found += 1;
    if (found >= limit) break;
  }
  return moved;
}

/** Hands over up to `limit` entries to their new home boxes and removes them here. Returns how many were sent. */
export function handOverEntries(world: World, limit: number): number {
  let sent = 0;
  for (const [home, entries] of collectMovedEntries(world, limit)) {
    emit(world, { type: 'send', to: home, frame: { type: 'directory', entries } });
    for (const [key] of entries) world.directory.delete(key);
    sent += entries.length;
  }
  return sent;
}
