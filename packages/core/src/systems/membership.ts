/**
 * Membership: which boxes are live, determined from the published list, links and heartbeats.
 *
 * Only listed boxes can be live. A listed box is live until its link breaks, or until it has sent no liveness signal
 * for longer than one lease.
 */
import type { HeartbeatFrame } from '../frames.js';
import type { BoxId, BoxList, BoxRecord, HallName } from '../records.js';
import type { BoxRow } from '../tables/boxes.js';
import { createBoxRow } from '../tables/boxes.js';
import { emit } from '../world.js';
import type { World } from '../world.js';

/** Applies a newly accepted box list. */
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
 * Handles the hello of a peer. A peer that this box's list does not contain gets a row but no work: boxes may hold
 * different lists, and the peer's requests must be answered.
 */
export function handlePeerUp(world: World, record: BoxRecord, incarnation: string): void {
  const row = world.boxes.get(record.id) ?? { ...createBoxRow(record, world.nowMs), listed: false };
  world.boxes.set(record.id, row);
  row.incarnation = incarnation;
  world.keyOwnershipChanged = true;
  row.stopping = false;
  row.lastSeenAtMs = world.nowMs;
}

/** Handles a broken link to a peer, which is then not live until its next liveness signal. */
export function handlePeerDown(world: World, boxId: BoxId): void {
  const row = world.boxes.get(boxId);
  if (row !== undefined) row.lastSeenAtMs = -Infinity;
}

/** Applies a peer's heartbeat: its liveness, its platform connectivity and whether it is stopping. */
export function handleHeartbeat(world: World, from: BoxId, frame: HeartbeatFrame): void {
  const row = world.boxes.get(from);
  if (row === undefined) return;
  row.lastSeenAtMs = world.nowMs;
  if (row.platformOk !== frame.platformOk) world.watchersChanged = true;
  row.platformOk = frame.platformOk;
  row.stopping = frame.stopping;
}

/**
 * Whether a box may get work, in this box's view.
 *
 * @example isLive(world, world.boxes.get('b2')!)
 */
export function isLive(world: World, row: BoxRow): boolean {
  if (row.id === world.self.boxId) return world.stop.type === 'running';
  const isWithinLease = world.nowMs - row.lastSeenAtMs <= world.settings.leaseMs;
  return row.listed && row.record.state === 'live' && !row.stopping && isWithinLease;
}

/** Whether a box is alive, even if it is stopping or unlisted. Its running calls continue as long as it is alive. */
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

/** Removes the rows of boxes that are neither listed nor reachable. */
function evictUnlisted(world: World): void {
  for (const row of world.boxes.values()) {
    if (!row.listed && !isReachable(world, row.id)) world.boxes.delete(row.id);
  }
}

/** Updates each row's liveness. Returns whether any changed; most turns change none and then skip the recomputation. */
function updateLiveFlags(world: World): boolean {
  let hasChanged = world.live.all.some((id) => !world.boxes.has(id));
  for (const row of world.boxes.values()) {
    const live = isLive(world, row);
    if (live !== row.isLive) hasChanged = true;
    row.isLive = live;
  }
  return hasChanged;
}

/** Recomputes the live boxes if any has changed, and marks the state that is derived from them. */
export function runMembership(world: World): void {
  if (!updateLiveFlags(world)) return;
  const all = listLive(world);
  world.live = { all, byHall: groupByHall(world, all) };
  world.topologyChanged = true;
  world.watchersChanged = true;
  world.directoryHandoverPending = true;
  evictUnlisted(world);
}
