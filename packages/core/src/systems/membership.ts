/**
 * Membership: which boxes are live, from the published list, links and heartbeats.
 *
 * The list says who may be live; a box of the list is taken for live while it is heard. A broken link ends that
 * at once, silence after one lease.
 */
import type { HeartbeatFrame } from '../frames.js';
import type { BoxId, BoxList, BoxRecord, HallName } from '../records.js';
import type { BoxRow } from '../tables/boxes.js';
import { createBoxRow } from '../tables/boxes.js';
import { emit } from '../world.js';
import type { World } from '../world.js';

/** Takes over a newly accepted box list. */
export function applyBoxList(world: World, list: BoxList): void {
  const listedIds = new Set(list.boxes.map((record) => record.id));
  for (const row of world.boxes.values()) row.listed = listedIds.has(row.id);
  for (const record of list.boxes) {
    const row = world.boxes.get(record.id);
    if (row === undefined) world.boxes.set(record.id, createBoxRow(record, world.nowMs));
    else row.record = record;
  }
  world.topologyChanged = true;
  const peers = list.boxes.filter((record) => record.id !== world.self.boxId);
  emit(world, { type: 'connectPeers', boxes: peers });
}

/**
 * A peer introduced itself. One that the list does not name yet is known but gets no work: lists may disagree, and its
 * requests are to be answered.
 */
export function handlePeerUp(world: World, record: BoxRecord, incarnation: string): void {
  const row = world.boxes.get(record.id) ?? { ...createBoxRow(record, world.nowMs), listed: false };
  world.boxes.set(record.id, row);
  row.incarnation = incarnation;
  world.keyOwnershipChanged = true;
  row.stopping = false;
  row.lastSeenAtMs = world.nowMs;
}

/** A link to a peer broke: it is not live until heard again. */
export function handlePeerDown(world: World, boxId: BoxId): void {
  const row = world.boxes.get(boxId);
  if (row !== undefined) row.lastSeenAtMs = -Infinity;
}

/** Notes a peer's sign of life. */
export function handleHeartbeat(world: World, from: BoxId, frame: HeartbeatFrame): void {
  const row = world.boxes.get(from);
  if (row === undefined) return;
  row.lastSeenAtMs = world.nowMs;
  if (row.platformOk !== frame.platformOk) world.watchersChanged = true;
  row.platformOk = frame.platformOk;
  row.stopping = frame.stopping;
}

/**
 * Tells whether a box can be given work, in this box's view.
 *
 * @example isLive(world, world.boxes.get('b2')!)
 */
export function isLive(world: World, row: BoxRow): boolean {
  if (row.id === world.self.boxId) return world.stop.type === 'running';
  const heard = world.nowMs - row.lastSeenAtMs <= world.settings.leaseMs;
  return row.listed && row.record.state === 'live' && !row.stopping && heard;
}

/** Tells whether a box answers at all, stopping or not; its running calls go on while it does. */
export function isReachable(world: World, boxId: BoxId): boolean {
  if (boxId === world.self.boxId) return true;
  const row = world.boxes.get(boxId);
  return row !== undefined && world.nowMs - row.lastSeenAtMs <= world.settings.leaseMs;
}

function listLive(world: World): BoxId[] {
  const ids: BoxId[] = [];
  for (const row of world.boxes.values()) if (row.isLive) ids.push(row.id);
  return ids.sort();
}

function groupByHall(world: World, ids: readonly BoxId[]): Map<HallName, BoxId[]> {
  const byHall = new Map<HallName, BoxId[]>();
  for (const id of ids) {
    const hall = world.boxes.get(id)?.record.hall ?? world.self.hall;
    const group = byHall.get(hall);
    if (group === undefined) byHall.set(hall, [id]);
    else group.push(id);
  }
  return byHall;
}

/** Drops rows that nothing needs any more. */
function forgetUnlisted(world: World): void {
  for (const row of world.boxes.values()) {
    if (!row.listed && !isReachable(world, row.id)) world.boxes.delete(row.id);
  }
}

/** Brings each row's flag up to date. Returns whether any changed: most turns change none, and cost no more. */
function updateFlags(world: World): boolean {
  let hasChanged = world.live.all.some((id) => !world.boxes.has(id));
  for (const row of world.boxes.values()) {
    const live = isLive(world, row);
    if (live !== row.isLive) hasChanged = true;
    row.isLive = live;
  }
  return hasChanged;
}

/** Recomputes the live set when it differs, and marks what derives from it. */
export function runMembership(world: World): void {
  if (!updateFlags(world)) return;
  const all = listLive(world);
  world.live = { all, byHall: groupByHall(world, all) };
  world.topologyChanged = true;
  world.watchersChanged = true;
  world.directoryHandoverPending = true;
  forgetUnlisted(world);
}
