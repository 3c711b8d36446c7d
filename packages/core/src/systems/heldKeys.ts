/**
 * Keys that wait a moment for the platform: an owner whose lists are merely unconfirmed, as after it stood still, asks the
 * platform and judges then. A refusal would leave the caller in doubt about a call that can run a few milliseconds later.
 */
import type { KeyedFrame } from '../frames.js';
import type { World } from '../world.js';
import { emit } from '../world.js';
import type { KeyUncertainty } from './keyUncertainty.js';
import { findListUncertainty, KEY_OWNERSHIP_VALUES } from './keyUncertainty.js';

/** Longest wait of a key. Shorter than the time after which its entry box takes the ask for lost. */
const HOLD_MS = 500;
/** The platform is not asked again sooner; keys that come meanwhile are refused at once. */
const CONFIRM_INTERVAL_MS = 1_000;

/** An ask that waits. */
export interface HeldKey {
  readonly frame: KeyedFrame;
  readonly sinceMs: number;
}

/** The last time that the platform was asked because of a key. */
export interface ListConfirmation {
  readonly requestedAtMs: number;
  /** A call to the platform has failed since. */
  hasFailed: boolean;
}

/** Holds an ask if the platform may still settle the doubt soon. Returns false where it has to be refused. */
export function holdKey(world: World, frame: KeyedFrame, doubt: KeyUncertainty): boolean {
  if (doubt.type !== 'listUnconfirmed') return false;
  const { requestedAtMs: askedAtMs, hasFailed } = world.listConfirmation;
  const sinceAskedMs = world.nowMs - askedAtMs;
  const isUnderWay = sinceAskedMs < HOLD_MS && !hasFailed;
  if (!isUnderWay && sinceAskedMs < CONFIRM_INTERVAL_MS) return false;
  if (!isUnderWay) askPlatform(world);
  world.heldKeys.push({ frame, sinceMs: world.nowMs });
  return true;
}

function askPlatform(world: World): void {
  world.listConfirmation = { requestedAtMs: world.nowMs, hasFailed: false };
  emit(world, { type: 'confirmValues', names: KEY_OWNERSHIP_VALUES });
}

/** Takes out what need not wait any longer: all once the lists are confirmed or the call failed, else what waited its time. */
export function takeReleasedKeys(world: World): KeyedFrame[] {
  if (world.heldKeys.length === 0) return [];
  const isSettled =
    world.listConfirmation.hasFailed || findListUncertainty(world)?.type !== 'listUnconfirmed';
  const isReleased = ({ sinceMs }: HeldKey): boolean => isSettled || world.nowMs - sinceMs >= HOLD_MS;
  const released = world.heldKeys.filter(isReleased);
  world.heldKeys = world.heldKeys.filter((held) => !isReleased(held));
  return released.map((held) => shortenTime(held, world.nowMs));
}

/** The time that an ask waited is gone for its call. */
function shortenTime({ frame, sinceMs }: HeldKey, nowMs: number): KeyedFrame {
  const remainingMs = frame.head.remainingMs - (nowMs - sinceMs);
  return { ...frame, head: { ...frame.head, remainingMs } };
}
