/**
 * Ownership of timed keys: one box of the key's home hall, by the published list alone.
 *
 * What a box suspects of its peers plays no part: two boxes with one list name the same owner. What may differ is the
 * list, so an owner acts only while its lists are confirmed, and only on keys younger than its ownership by a margin
 * (see the specification spec/keys.pml).
 */
import { pickByRendezvous } from '../hasher.js';
import type { BoxId, HallName } from '../records.js';
import type { World } from '../world.js';

/** Topologies remembered; an ownership older than these counts from the oldest. */
const MAX_HISTORY = 32;

/** A stopping box's word that it has handed over its keys and will run no more. */
export interface KeyHandover {
  readonly boxId: BoxId;
  readonly incarnation: string;
  /** When it said so, by its clock. */
  readonly atMs: number;
  /** Since when its own ownerships had not changed. */
  readonly sinceMs: number;
  /** The box list by which it owned what it cedes. */
  readonly listVersion: number;
}

/** Who may own keys, from a point in time on. */
export interface KeyOwnershipEpoch {
  readonly atMs: number;
  readonly halls: readonly HallName[];
  /** Members of each hall, in the order of their names. */
  readonly members: ReadonlyMap<HallName, readonly BoxId[]>;
  /** Set when the epoch began with a cession rather than a list. */
  readonly handover?: KeyHandover | undefined;
  /** A list or file before this one was missed: another box may have owned any key meanwhile. */
  readonly isAfterGap: boolean;
}

/** Longest time by which ownerships of two boxes can overlap, clocks and callers included. */
export function readOwnershipMarginMs(world: World): number {
  const { keyLagMs, keyLeaseMs, keySkewMs, clockErrorMs } = world.settings;
  return keyLagMs + keyLeaseMs + keySkewMs + 2 * clockErrorMs;
}

/**
 * A cession covers the time until the list can have dropped the box; a restart of that box under its name runs only
 * keys younger than this allows.
 */
function isCessionValid(world: World, cession: KeyHandover): boolean {
  const { keyLagMs, keyLeaseMs } = world.settings;
  const row = world.boxes.get(cession.boxId);
  const isSameRun = row === undefined || row.incarnation === '' || row.incarnation === cession.incarnation;
  if (cession.listVersion !== world.values.boxes.stamp[0]) return false;
  return isSameRun && world.nowMs < cession.atMs + keyLagMs + keyLeaseMs;
}

function listMembers(world: World): Map<HallName, BoxId[]> {
  const members = new Map<HallName, BoxId[]>();
  for (const row of world.boxes.values()) {
    const cession = world.keyHandovers.get(row.id);
    const hasCeded = cession !== undefined && isCessionValid(world, cession);
    if (!row.listed || row.record.state !== 'live' || hasCeded) continue;
    members.set(row.record.hall, [...(members.get(row.record.hall) ?? []), row.id]);
  }
  for (const ids of members.values()) ids.sort();
  return members;
}

function describeEpoch(halls: readonly HallName[], members: ReadonlyMap<HallName, readonly BoxId[]>): string {
  return halls.map((hall) => `${hall}:${(members.get(hall) ?? []).join()}`).join(';');
}

/** Drops cessions that ended some time ago. */
function forgetCessions(world: World): void {
  const { keyLagMs, keyLeaseMs } = world.settings;
  for (const cession of world.keyHandovers.values()) {
    if (world.nowMs > cession.atMs + 2 * (keyLagMs + keyLeaseMs)) world.keyHandovers.delete(cession.boxId);
  }
}

/** Begins a new epoch if the members or the declared halls have changed. */
export function runKeyOwnership(world: World): void {
  // A cession ends by itself, so that time alone can change owners while one is known.
  if (!world.keyOwnershipChanged && world.keyHandovers.size === 0) return;
  world.keyOwnershipChanged = false;
  forgetCessions(world);
  const halls = world.declared?.declaration.halls;
  if (halls === undefined || world.values.boxes.text === '') return;
  const members = listMembers(world);
  const last = world.keyOwnershipEpochs.at(-1);
  const isSame =
    last !== undefined && describeEpoch(last.halls, last.members) === describeEpoch(halls, members);
  const isAfterGap = world.hasMissedVersion;
  world.hasMissedVersion = false;
  if (isSame && !isAfterGap) return;
  const cession = last === undefined ? undefined : findNewCession(world, last, members);
  world.keyOwnershipEpochs.push({ atMs: world.nowMs, halls, members, handover: cession, isAfterGap });
  if (world.keyOwnershipEpochs.length > MAX_HISTORY) world.keyOwnershipEpochs.shift();
}

/** The cession that alone explains the step from one epoch to the next, if there is one. */
function findNewCession(
  world: World,
  last: KeyOwnershipEpoch,
  members: ReadonlyMap<HallName, readonly BoxId[]>,
): KeyHandover | undefined {
  const before = [...last.members.values()].flat();
  const after = new Set([...members.values()].flat());
  const gone = before.filter((id) => !after.has(id));
  const [only] = gone;
  if (only === undefined || gone.length > 1 || after.size !== before.length - 1) return undefined;
  const cession = world.keyHandovers.get(only);
  return cession !== undefined && isCessionValid(world, cession) ? cession : undefined;
}

function findOwnerIn(world: World, epoch: KeyOwnershipEpoch, key: string): BoxId | undefined {
  const { hasher } = world.deps;
  // A hall that the list leaves without boxes can own nothing.
  const halls = epoch.halls.filter((name) => (epoch.members.get(name) ?? []).length > 0);
  const hall = pickByRendezvous(hasher, key, halls);
  return hall === undefined ? undefined : pickByRendezvous(hasher, key, epoch.members.get(hall) ?? []);
}

/** The box that owns a timed key, in this box's view. */
export function findTimedKeyOwner(world: World, key: string): BoxId | undefined {
  const epoch = world.keyOwnershipEpochs.at(-1);
  return epoch === undefined ? undefined : findOwnerIn(world, epoch, key);
}

/** Since when this box has owned a key without a break; a cession carries the ceding box's time over. */
export function readOwnedSinceMs(world: World, key: string): number {
  let sinceMs = world.nowMs;
  for (let index = world.keyOwnershipEpochs.length - 1; index >= 0; index -= 1) {
    const epoch = world.keyOwnershipEpochs[index];
    if (epoch === undefined) break;
    const owner = findOwnerIn(world, epoch, key);
    if (owner !== world.self.boxId) {
      const { handover: cession } = world.keyOwnershipEpochs[index + 1] ?? {};
      return cession !== undefined && cession.boxId === owner ? cession.sinceMs : sinceMs;
    }
    sinceMs = epoch.atMs;
    if (epoch.isAfterGap) return sinceMs;
  }
  return sinceMs;
}
