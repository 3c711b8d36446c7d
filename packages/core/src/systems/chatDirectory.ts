/**
 * Chat directory: which engines hold the chats that this box is home to, and its hand-over when homes move.
 */
import type { DirectoryFrame, PlacedFrame } from '../frames.js';
import { pickByRendezvous } from '../hasher.js';
import type { BoxId, ChatId, EndpointId } from '../records.js';
import type { World } from '../world.js';
import { emit } from '../world.js';

/** The box that keeps a chat's entry, in this box's view. */
export function findHome(world: World, chat: ChatId): BoxId | undefined {
  return pickByRendezvous(world.deps.hasher, chat, world.live.all);
}

/** Notes the engine that took a chat in place of the first choice. */
export function learnPlaced(world: World, frame: PlacedFrame): void {
  world.directory.learn(frame.chat, frame.endpoint);
}

/** Takes over entries from a box that is no longer home to them. */
export function adoptEntries(world: World, frame: DirectoryFrame): void {
  for (const [chat, endpoints] of frame.entries) world.directory.adopt(chat, endpoints);
}

type Entry = readonly [ChatId, readonly EndpointId[]];

function collectMovedEntries(world: World, limit: number): Map<BoxId, Entry[]> {
  const moved = new Map<BoxId, Entry[]>();
  let found = 0;
  for (const [chat, endpoints] of world.directory.entries()) {
    const home = findHome(world, chat);
    if (home === undefined || home === world.self.boxId) continue;
    const batch = moved.get(home) ?? [];
    batch.push([chat, endpoints]);
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
    for (const [chat] of entries) world.directory.forget(chat);
    sent += entries.length;
  }
  return sent;
}
