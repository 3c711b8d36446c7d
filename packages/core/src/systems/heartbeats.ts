/**
 * Heartbeats: the liveness signal with loads and versions for every peer, and the handover of directory entries, which
 * is rate-limited by the heartbeats.
 */
import type { HeartbeatFrame } from '../frames.js';
import { VALUE_NAMES } from '../records.js';
import type { World } from '../world.js';
import { emit } from '../world.js';
import { handOverEntries } from './chatDirectory.js';
import { listOwnedLoads } from './endpointOwnership.js';

/** Builds a heartbeat from the current state. */
export function buildHeartbeat(world: World): HeartbeatFrame {
  return {
    type: 'heartbeat',
    loads: listOwnedLoads(world),
    stamps: VALUE_NAMES.map((name) => world.values[name].stamp),
    confirmedAtMs: VALUE_NAMES.map((name) => world.confirmedAtMs[name]),
    stopping: world.stop.type !== 'running',
    platformOk: world.platformConnectivity !== 'failed',
  };
}

/** Sends a heartbeat to every known peer, including those that this box's list does not contain yet. */
export function broadcastHeartbeat(world: World): void {
  const peers = [...world.boxes.keys()].filter((id) => id !== world.self.boxId);
  if (peers.length > 0) emit(world, { type: 'broadcast', to: peers, frame: buildHeartbeat(world) });
}

/** Sends a heartbeat when one is due, and with it a batch of directory entries to their new home boxes. */
export function runHeartbeats(world: World): void {
  if (world.nowMs < world.nextHeartbeatMs) return;
  world.nextHeartbeatMs = world.nowMs + world.settings.heartbeatMs;
  broadcastHeartbeat(world);
  if (!world.directoryHandoverPending) return;
  world.directoryHandoverPending = handOverEntries(world, world.settings.handoverEntriesPerHeartbeat) > 0;
}
