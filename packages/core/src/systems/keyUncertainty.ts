/**
 * Key uncertainty: why this box cannot decide whether the call of a timed key may run. Counted by reason, and logged
 * with the state that caused it.
 */
import type { BoxId, ValueName } from '../records.js';
import { isNewer } from '../tables/values.js';
import type { World } from '../world.js';
import { count, emit } from '../world.js';

/** The published values that determine the owners of keys. */
export const KEY_OWNERSHIP_VALUES = ['declared', 'boxes'] as const satisfies readonly ValueName[];

/** Shortest interval between log lines; the counter includes every occurrence. */
const LOG_INTERVAL_MS = 1_000;

/** The state that prevents a box from deciding on a key. The type is part of a counter's name. */
export type KeyUncertainty =
  /** The key's time is ahead by more than the error of callers' clocks, but errors of boxes' clocks can explain it. */
  | { readonly type: 'keyAhead'; readonly aheadMs: number }
  /** This box has handed its keys over. */
  | { readonly type: 'ceded' }
  /** Another box owns the key according to this box's lists. */
  | { readonly type: 'otherOwner'; readonly owner: BoxId | undefined }
  /** A peer has announced a newer version of a list. */
  | { readonly type: 'listBehind'; readonly name: ValueName; readonly newestVersion: number }
  /** The platform last confirmed a list longer ago than the lease of keys. */
  | { readonly type: 'listUnconfirmed'; readonly name: ValueName; readonly ageMs: number };

/**
 * Returns why this box cannot rely on its lists: one is older than a peer's, or unconfirmed for longer than a lease.
 *
 * @example findListUncertainty(world) // { type: 'listUnconfirmed', name: 'boxes', ageMs: 8_120 }
 */
export function findListUncertainty(world: World): KeyUncertainty | undefined {
  for (const name of KEY_OWNERSHIP_VALUES) {
    const newest = world.newestPeerStamps[name];
    if (isNewer(newest, world.values[name].stamp))
      return { type: 'listBehind', name, newestVersion: newest[0] };
    const ageMs = world.nowMs - world.confirmedAtMs[name];
    if (ageMs > world.settings.keyLeaseMs) return { type: 'listUnconfirmed', name, ageMs };
  }
  return undefined;
}

function describeUncertainty(uncertainty: KeyUncertainty): string {
  switch (uncertainty.type) {
    case 'keyAhead':
      return `its time is ${uncertainty.aheadMs} ms ahead`;
    case 'ceded':
      return 'this box has handed its keys over';
    case 'otherOwner':
      return `its owner is ${uncertainty.owner ?? 'no box'}`;
    case 'listBehind':
      return `a peer has version ${uncertainty.newestVersion} of ${uncertainty.name}`;
    case 'listUnconfirmed':
      return `${uncertainty.name} was confirmed ${uncertainty.ageMs} ms ago`;
  }
}

/** Counts an uncertainty, and logs it unless one was logged recently. */
export function reportUncertainty(world: World, key: string, uncertainty: KeyUncertainty): void {
  count(world, `keyDoubt.${uncertainty.type}`);
  if (world.nowMs - world.uncertaintyLoggedAtMs < LOG_INTERVAL_MS) return;
  world.uncertaintyLoggedAtMs = world.nowMs;
  emit(world, {
    type: 'log',
    level: 'warn',
    message: `cannot decide on key ${key}: ${describeUncertainty(uncertainty)}`,
  });
}
