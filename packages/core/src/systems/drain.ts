/**
 * Drain: graceful shutdown. New requests are refused, requests in flight are completed, directory entries and keys are
 * handed over.
 */
import type { World } from '../world.js';
import { emit } from '../world.js';
import { handOverEntries } from './chatDirectory.js';
import { cutOffRequests } from './entry.js';
import { handOverKeys } from './keys.js';
import { runMembership } from './membership.js';
import { broadcastHeartbeat } from './heartbeats.js';
import { runEndpointOwnership } from './endpointOwnership.js';

/** Starts a graceful shutdown and notifies peers immediately, so that they send no new work. */
export function handleStopRequested(world: World): void {
  if (world.stop.type !== 'running') return;
  world.stop = { type: 'draining', sinceMs: world.nowMs };
  runMembership(world);
  runEndpointOwnership(world);
  broadcastHeartbeat(world);
  handOverEntries(world, Infinity);
}

/**
 * Completes the shutdown once nothing is in flight and peers had time to react, or when its time limit has passed: what is left then
 * gets a final refusal.
 */
export function runDrain(world: World): void {
  if (world.stop.type !== 'draining') return;
  const isIdle = world.requests.size === 0 && world.calls.size === 0 && world.heldKeys.length === 0;
  const isOverdue = world.nowMs - world.stop.sinceMs > world.settings.drainTimeoutMs;
  const graceMs = world.settings.heartbeatMs;
  const arePeersNotified = world.nowMs - world.stop.sinceMs >= graceMs;
  if (!isOverdue && !(isIdle && arePeersNotified)) return;
  cutOffRequests(world);
  handOverKeys(world);
  world.stop = { type: 'stopped' };
  emit(world, { type: 'stopped' });
}
