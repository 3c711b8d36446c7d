/**
 * One turn of the loop: applies events to the tables, runs the systems in a fixed order and returns the effects.
 */
import type { Effect } from './effects.js';
import type { CoreEvent } from './events.js';
import type { ControlFrame } from './frames.js';
import type { BoxId } from './records.js';
import { attemptKey } from './tables/calls.js';
import { cancelCall, handleAssign, runAdmission, sweepCalls } from './systems/admission.js';
import { handleDirectory, handlePlaced } from './systems/chatDirectory.js';
import {
  compareStamps,
  handlePlatformContact,
  handleValue,
  handleValueRead,
  handleValueRequest,
  runConfiguration,
} from './systems/configuration.js';
import { handleStopRequested, runDrain } from './systems/drain.js';
import {
  handleAccepted,
  handleAnswerBroken,
  handleAnswerEnded,
  handleAnswerStarted,
  handleBodyTaken,
  handleCallerGone,
  handleCallerRequest,
  handlePlace,
  handleRefused,
  sweepRequests,
} from './systems/entry.js';
import {
  handlePeerDown,
  handlePeerUp,
  isReachable,
  handleHeartbeat,
  runMembership,
} from './systems/membership.js';
import { handleKeyed, handleKeys, sweepKeys } from './systems/keys.js';
import { handleCallEnded } from './systems/outliers.js';
import { runKeyOwnership } from './systems/keyOwnership.js';
import { runHeartbeats } from './systems/heartbeats.js';
import {
  handleEndpointReport,
  applyReportedLoads,
  runEndpointOwnership,
} from './systems/endpointOwnership.js';
import type { World } from './world.js';

/** Interval between checks of deadlines, lost boxes and elapsed backoffs. */
const SWEEP_MS = 20;

function handleFrame(world: World, from: BoxId, frame: ControlFrame): void {
  switch (frame.type) {
    case 'heartbeat':
      handleHeartbeat(world, from, frame);
      compareStamps(world, from, frame);
      return applyReportedLoads(world, from, frame.loads);
    case 'valueRequest':
      return handleValueRequest(world, from, frame.name);
    case 'value':
      return handleValue(world, frame);
    case 'place':
      return handlePlace(world, frame);
    case 'assign':
      return handleAssign(world, frame);
    case 'placed':
      return handlePlaced(world, frame);
    case 'accepted':
      return handleAccepted(world, from, frame);
    case 'refused':
      return handleRefused(world, frame);
    case 'cancel':
      return cancelCall(world, attemptKey(frame));
    case 'directory':
      return handleDirectory(world, frame);
    case 'keyed':
      return handleKeyed(world, frame);
    case 'keys':
      return handleKeys(world, from, frame);
  }
}

function handleEvent(world: World, event: CoreEvent): void {
  switch (event.type) {
    case 'tick':
      return;
    case 'frame':
      return handleFrame(world, event.from, event.frame);
    case 'peerUp':
      return handlePeerUp(world, event.record, event.incarnation);
    case 'peerDown':
      return handlePeerDown(world, event.boxId);
    case 'valueRead':
      return handleValueRead(world, event.name, event.text);
    case 'platformContact':
      return handlePlatformContact(world, event.name, event.ok, event.requestedAtMs);
    case 'stopRequested':
      return handleStopRequested(world);
    case 'callerRequest':
      return handleCallerRequest(world, event.requestId, event.head);
    case 'callerGone':
      return handleCallerGone(world, event.requestId);
    case 'bodyTaken':
      return handleBodyTaken(world, event.requestId);
    case 'callEnded':
      return handleCallEnded(world, event);
    case 'answerStarted':
      return handleAnswerStarted(world, event);
    case 'answerEnded':
      return handleAnswerEnded(world, event);
    case 'answerBroken':
      return handleAnswerBroken(world, event.requestId, event.code);
    case 'endpointReport':
      return handleEndpointReport(world, event);
  }
}

function runSweeps(world: World): void {
  if (world.nowMs < world.nextSweepMs) return;
  world.nextSweepMs = world.nowMs + SWEEP_MS;
  // Calls are swept before requests: the endpoint's owner can report that a queued call did not run, whereas the entry box
  // could only report `unknown`.
  sweepCalls(world, (entry) => !isReachable(world, entry));
  sweepRequests(world);
  sweepKeys(world);
}

/**
 * Runs one turn and returns the effects for the adapters. The core does no I/O; the time is an argument.
 *
 * @example const effects = runTurn(world, [{ type: 'tick' }], Date.now());
 */
export function runTurn(world: World, events: readonly CoreEvent[], nowMs: number): Effect[] {
  world.nowMs = nowMs;
  const isQuiet = events.every((event) => isRequestTraffic(event));
  for (const event of events) handleEvent(world, event);
  if (!isQuiet || world.topologyChanged) {
    runMembership(world);
    runEndpointOwnership(world);
    runConfiguration(world);
    runKeyOwnership(world);
  }
  runSweeps(world);
  runAdmission(world);
  runDrain(world);
  runHeartbeats(world);
  const { effects } = world;
  world.effects = [];
  return effects;
}

/** Whether an event cannot change live boxes or published values, so that the systems for these need not run. */
function isRequestTraffic(event: CoreEvent): boolean {
  switch (event.type) {
    case 'callerRequest':
    case 'callerGone':
    case 'bodyTaken':
    case 'callEnded':
    case 'answerStarted':
    case 'answerEnded':
    case 'answerBroken':
      return true;
    case 'frame':
      return !['heartbeat', 'value', 'keys'].includes(event.frame.type);
    case 'tick':
    case 'peerUp':
    case 'peerDown':
    case 'valueRead':
    case 'platformContact':
    case 'stopRequested':
    case 'endpointReport':
      return false;
  }
}
