/**
 * Drain: a planned stop. New work is refused, what is in flight ends, the directory goes to its new homes.
 */
import type { World } from '../world.js';
import { emit } from '../world.js';
import { handOverEntries } from './chatDirectory.js';
import { handOverKeys } from './keys.js';
import { runMembership } from './membership.js';
import { broadcastHeartbeat } from './heartbeats.js';
import { runEndpointOwnership } from './endpointOwnership.js';

/** Begins a planned stop: peers are told at once, so that no new work comes this way. */
export function handleStopRequested(world: World): void {
  if (world.stop.type !== 'running') return;
  world.stop = { type: 'draining', sinceMs: world.nowMs };
  runMembership(world);
  runEndpointOwnership(world);
  broadcastHeartbeat(world);
  handOverEntries(world, Infinity);
}

/** Ends the stop once nothing is in flight, or when it has taken too long. */
export function runDrain(world: World): void {
  if (world.stop.type !== 'draining') return;
  const isIdle = world.requests.size === 0 && world.calls.size === 0 && world.heldKeys.length === 0;
  const isOverdue = world.nowMs - world.stop.sinceMs > world.settings.drainTimeoutMs;
  const graceMs = world.settings.heartbeatMs;
  const peersKnow = world.nowMs - world.stop.sinceMs >= graceMs;
  if (!isOverdue && !(isIdle && peersKnow)) return;
  handOverKeys(world);
  world.stop = { type: 'stopped' };
  emit(world, { type: 'stopped' });
}
