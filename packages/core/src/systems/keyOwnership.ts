/**
 * Key ownership: the owner of a timed key is one box of the key's home hall, determined by the published lists alone.
 *
 * Liveness of peers as seen by a box plays no part, so that two boxes with the same lists compute the same owner. Boxes
 * may hold different lists; therefore an owner acts only while its lists are confirmed, and only on keys that are
 * younger than its ownership by a margin (see the specification spec/keys.pml).
 */
import { pickByRendezvous } from '../hasher.js';
import type { BoxId, HallName } from '../records.js';
import type { World } from '../world.js';

/** Number of epochs kept; an older ownership counts from the start of the oldest one kept. */
const MAX_EPOCHS = 32;

/** A stopping box's statement that it has handed over its keys and runs no more keyed calls. */
export interface KeyHandover {
  readonly boxId: BoxId;
  readonly incarnation: string;
  /** When it handed them over, by its clock. */
  readonly atMs: number;
  /** Since when its key ownership had not changed. */
  readonly sinceMs: number;
  /** Version of the box list by which it owned the keys. */
  readonly listVersion: number;
}

/** The boxes that own keys from a point in time on. */
export interface KeyOwnershipEpoch {
  readonly atMs: number;
  readonly halls: readonly HallName[];
  /** Boxes of each hall, sorted by id. */
  readonly members: ReadonlyMap<HallName, readonly BoxId[]>;
  /** The handover that started the epoch; undefined if a list or declared file did. */
  readonly handover?: KeyHandover | undefined;
  /** Whether a list or file before this one was missed, so that another box may have owned any key in between. */
  readonly isAfterGap: boolean;
}

/** Longest time for which two boxes can own the same key, including the errors of boxes' and callers' clocks. */
export function readOwnershipMarginMs(world: World): number {
  const { keyLagMs, keyLeaseMs, keySkewMs, clockErrorMs } = world.settings;
  return keyLagMs + keyLeaseMs + keySkewMs + 2 * clockErrorMs;
}

/**
 * A handover is valid until the list can have dropped the box. If the box restarts under the same name, the ownership
 * of its new incarnation starts later, so that it runs only younger keys.
 */
function isHandoverValid(world: World, handover: KeyHandover): boolean {
  const { keyLagMs, keyLeaseMs } = world.settings;
  const row = world.boxes.get(handover.boxId);
  const isSameRun = row === undefined || row.incarnation === '' || row.incarnation === handover.incarnation;
  if (handover.listVersion !== world.values.boxes.stamp[0]) return false;
  return isSameRun && world.nowMs < handover.atMs + keyLagMs + keyLeaseMs;
}

function listMembersByHall(world: World): Map<HallName, BoxId[]> {
  const members = new Map<HallName, BoxId[]>();
  for (const row of world.boxes.values()) {
    const handover = world.keyHandovers.get(row.id);
    const hasHandedOver = handover !== undefined && isHandoverValid(world, handover);
    if (!row.listed || row.record.state !== 'live' || hasHandedOver) continue;
    members.set(row.record.hall, [...(members.get(row.record.hall) ?? []), row.id]);
  }
  for (const ids of members.values()) ids.sort();
  return members;
}

function formatMembers(halls: readonly HallName[], members: ReadonlyMap<HallName, readonly BoxId[]>): string {
  return halls.map((hall) => `${hall}:${(members.get(hall) ?? []).join()}`).join(';');
}

/** Removes handovers that have been invalid for some time. */
function evictHandovers(world: World): void {
  const { keyLagMs, keyLeaseMs } = world.settings;
  for (const handover of world.keyHandovers.values()) {
    if (world.nowMs > handover.atMs + 2 * (keyLagMs + keyLeaseMs)) world.keyHandovers.delete(handover.boxId);
  }
}

/** Starts a new epoch if the boxes that own keys or the declared halls have changed. */
export function runKeyOwnership(world: World): void {
  // A handover becomes invalid by the passage of time, which changes owners without any event.
  if (!world.keyOwnershipChanged && world.keyHandovers.size === 0) return;
  world.keyOwnershipChanged = false;
  evictHandovers(world);
  const halls = world.declared?.declaration.halls;
  if (halls === undefined || world.values.boxes.text === '') return;
  const members = listMembersByHall(world);
  const last = world.keyOwnershipEpochs.at(-1);
  const isSame =
    last !== undefined && formatMembers(last.halls, last.members) === formatMembers(halls, members);
  const isAfterGap = world.hasMissedVersion;
  world.hasMissedVersion = false;
  if (isSame && !isAfterGap) return;
  const handover = last === undefined ? undefined : findNewHandover(world, last, members);
  world.keyOwnershipEpochs.push({ atMs: world.nowMs, halls, members, handover, isAfterGap });
  if (world.keyOwnershipEpochs.length > MAX_EPOCHS) world.keyOwnershipEpochs.shift();
}

/** Returns the handover that is the only difference between the last epoch and the given members, if there is one. */
function findNewHandover(
  world: World,
  last: KeyOwnershipEpoch,
  members: ReadonlyMap<HallName, readonly BoxId[]>,
): KeyHandover | undefined {
  const before = [...last.members.values()].flat();
  const after = new Set([...members.values()].flat());
  const removedIds = before.filter((id) => !after.has(id));
  const [removedId] = removedIds;
  if (removedId === undefined || removedIds.length > 1 || after.size !== before.length - 1) return undefined;
  const handover = world.keyHandovers.get(removedId);
  return handover !== undefined && isHandoverValid(world, handover) ? handover : undefined;
}

function findOwnerIn(world: World, epoch: KeyOwnershipEpoch, key: string): BoxId | undefined {
  const { hasher } = world.deps;
  // A hall without listed boxes cannot own keys.
  const halls = epoch.halls.filter((name) => (epoch.members.get(name) ?? []).length > 0);
  const hall = pickByRendezvous(hasher, key, halls);
  return hall === undefined ? undefined : pickByRendezvous(hasher, key, epoch.members.get(hall) ?? []);
}

/** Returns the box that owns a timed key, in this box's view. */
export function findTimedKeyOwner(world: World, key: string): BoxId | undefined {
  const epoch = world.keyOwnershipEpochs.at(-1);
  return epoch === undefined ? undefined : findOwnerIn(world, epoch, key);
}

/** Returns since when this box has owned a key without interruption. A handover includes the previous owner's time. */
export function readOwnedSinceMs(world: World, key: string): number {
  let sinceMs = world.nowMs;
  for (let index = world.keyOwnershipEpochs.length - 1; index >= 0; index -= 1) {
    const epoch = world.keyOwnershipEpochs[index];
    if (epoch === undefined) break;
    const owner = findOwnerIn(world, epoch, key);
    if (owner !== world.self.boxId) {
      const { handover } = world.keyOwnershipEpochs[index + 1] ?? {};
      return handover !== undefined && handover.boxId === owner ? handover.sinceMs : sinceMs;
    }
    sinceMs = epoch.atMs;
    if (epoch.isAfterGap) return sinceMs;
  }
  return sinceMs;
}
