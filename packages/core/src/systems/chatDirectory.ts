/**
 * Chat directory: which engines hold the chats that this box is home to, and its hand-over when homes move.
 */
import type { DirectoryFrame, PlacedFrame } from '../frames.js';
import { pickByRendezvous } from '../hasher.js';
import type { BoxId, ChatId, EndpointId, ServiceName } from '../records.js';
import type { World } from '../world.js';
import { emit } from '../world.js';

/** Separates model and chat in a directory key; model names have no slash. */
const KEY_SEPARATOR = '/';

/**
 * Key of a chat in the directory.
 *
 * @example directoryKey('assistant', 'chat-1') // 'assistant/chat-1'
 */
export function directoryKey(model: ServiceName, chat: ChatId): string {
  return `${model}${KEY_SEPARATOR}${chat}`;
}

/**
 * The box that keeps a chat's entry, in this box's view: the steward of the chat's first choice among the listed
 * engines. In the usual case the home box thus speaks to the engine itself, and one hop is saved.
 */
export function findHomeBox(world: World, model: ServiceName, chat: ChatId): BoxId | undefined {
  const { hasher } = world.deps;
  const engineId = pickByRendezvous(hasher, chat, world.liveEndpointIds.get(model) ?? []);
  const steward = engineId === undefined ? undefined : world.endpoints.get(engineId)?.ownerId;
  return steward ?? pickByRendezvous(hasher, chat, world.live.all);
}

function findHomeOfKey(world: World, key: string): BoxId | undefined {
  const at = key.indexOf(KEY_SEPARATOR);
  return findHomeBox(world, key.slice(0, at), key.slice(at + 1));
}

/** Notes the engine that took a chat in place of the first choice. */
export function handlePlaced(world: World, frame: PlacedFrame): void {
  world.directory.recordEngine(directoryKey(frame.service, frame.chat), frame.endpoint);
}

/** Takes over entries from a box that is no longer home to them. */
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

/** Sends up to `limit` entries to the boxes that are now home to them. Returns how many were sent. */
export function handOverEntries(world: World, limit: number): number {
  let sent = 0;
  for (const [home, entries] of collectMovedEntries(world, limit)) {
    emit(world, { type: 'send', to: home, frame: { type: 'directory', entries } });
    for (const [key] of entries) world.directory.delete(key);
    sent += entries.length;
  }
  return sent;
}
