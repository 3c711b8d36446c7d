/**
 * Doubt: why this box would not say of a timed key whether its call may run. Counted by reason, and told in the log with
 * the state behind it.
 */
import type { BoxId, ValueName } from '../records.js';
import { isNewer } from '../tables/values.js';
import type { World } from '../world.js';
import { count, emit } from '../world.js';

/** The published values by which keys have owners. */
export const KEY_OWNERSHIP_VALUES = ['declared', 'boxes'] as const satisfies readonly ValueName[];

/** While doubt lasts, one line for each of these spans is enough: the counter has them all. */
const LOG_INTERVAL_MS = 1_000;

/** The state that keeps a box from judging a key. */
export type KeyUncertainty =
  /** The key's time lies ahead by more than callers' clocks may err, yet boxes' clocks could explain it. */
  | { readonly type: 'keyAhead'; readonly aheadMs: number }
  /** This box has handed its keys over. */
  | { readonly type: 'ceded' }
  /** Another box owns the key by the lists of this one. */
  | { readonly type: 'otherOwner'; readonly owner: BoxId | undefined }
  /** A peer is known to hold a newer version of a list. */
  | { readonly type: 'listBehind'; readonly name: ValueName; readonly newestVersion: number }
  /** The platform has not confirmed a list for longer than a lease. */
  | { readonly type: 'listUnconfirmed'; readonly name: ValueName; readonly ageMs: number };

/**
 * Why this box cannot act on its lists: none of them may be older than the newest known or unconfirmed for a lease.
 *
 * @example findListDoubt(world) // { type: 'listUnconfirmed', name: 'boxes', ageMs: 8_120 }
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

function describeDoubt(doubt: KeyUncertainty): string {
  switch (doubt.type) {
    case 'keyAhead':
      return `its time lies ${doubt.aheadMs} ms ahead`;
    case 'ceded':
      return 'this box has handed its keys over';
    case 'otherOwner':
      return `its owner is ${doubt.owner ?? 'no box'}`;
    case 'listBehind':
      return `a peer holds version ${doubt.newestVersion} of ${doubt.name}`;
    case 'listUnconfirmed':
      return `${doubt.name} was confirmed ${doubt.ageMs} ms ago`;
  }
}

/** Counts a doubt, and logs it if none was logged lately. */
export function reportUncertainty(world: World, key: string, doubt: KeyUncertainty): void {
  count(world, `keyDoubt.${doubt.type}`);
  if (world.nowMs - world.uncertaintyLoggedAtMs < LOG_INTERVAL_MS) return;
  world.uncertaintyLoggedAtMs = world.nowMs;
  emit(world, { type: 'log', level: 'warn', message: `key ${key} is in doubt: ${describeDoubt(doubt)}` });
}
