/**
 * Held keys: if an owner's lists are merely unconfirmed, as after the box was paused, it holds requests for its keys,
 * reads the lists from the platform and decides then. A refusal would leave the caller uncertain about a call that can
 * run a few milliseconds later.
 */
import type { KeyedFrame } from '../frames.js';
import type { World } from '../world.js';
import { emit } from '../world.js';
import type { KeyUncertainty } from './keyUncertainty.js';
import { findListUncertainty, KEY_OWNERSHIP_VALUES } from './keyUncertainty.js';

/** Longest time a request is held. Shorter than the time after which its entry box treats it as lost. */
const MAX_HOLD_MS = 500;
/**
 * Shortest interval between calls to the platform. Requests that arrive within it are refused immediately once the call
 * has failed or MAX_HOLD_MS has passed.
 */
const CONFIRM_INTERVAL_MS = 1_000;

/** A held request for a key. */
export interface HeldKey {
  readonly frame: KeyedFrame;
  readonly sinceMs: number;
}

/** The last call to the platform that was made for held keys. */
export interface ListConfirmation {
  readonly requestedAtMs: number;
  /** Whether a call to the platform has failed since. */
  hasFailed: boolean;
}

/**
 * Holds a request if a confirmation by the platform can make its key decidable soon. Returns false if it must be
 * refused.
 */
export function holdKey(world: World, frame: KeyedFrame, uncertainty: KeyUncertainty): boolean {
  if (uncertainty.type !== 'listUnconfirmed') return false;
  const { requestedAtMs, hasFailed } = world.listConfirmation;
  const sinceRequestMs = world.nowMs - requestedAtMs;
  const isUnderWay = sinceRequestMs < MAX_HOLD_MS && !hasFailed;
  if (!isUnderWay && sinceRequestMs < CONFIRM_INTERVAL_MS) return false;
  if (!isUnderWay) requestConfirmation(world);
  world.heldKeys.push({ frame, sinceMs: world.nowMs });
  return true;
}

function requestConfirmation(world: World): void {
  world.listConfirmation = { requestedAtMs: world.nowMs, hasFailed: false };
  emit(world, { type: 'confirmValues', names: KEY_OWNERSHIP_VALUES });
}

/**
 * Removes and returns the requests that need not wait any longer: all of them once the lists are confirmed or the call
 * to the platform has failed, otherwise those that were held for MAX_HOLD_MS.
 */
export function takeReleasedKeys(world: World): KeyedFrame[] {
  if (world.heldKeys.length === 0) return [];
  const isDecidable =
    world.listConfirmation.hasFailed || findListUncertainty(world)?.type !== 'listUnconfirmed';
  const isReleased = ({ sinceMs }: HeldKey): boolean => isDecidable || world.nowMs - sinceMs >= MAX_HOLD_MS;
  const released = world.heldKeys.filter(isReleased);
  world.heldKeys = world.heldKeys.filter((held) => !isReleased(held));
  return released.map((held) => deductWait(held, world.nowMs));
}

/** Deducts the time for which a request was held from its remaining time. */
function deductWait({ frame, sinceMs }: HeldKey, nowMs: number): KeyedFrame {
  const remainingMs = frame.head.remainingMs - (nowMs - sinceMs);
  return { ...frame, head: { ...frame.head, remainingMs } };
}
