/** Hands what peers tell to the parts of a box that it concerns. */
import type { QuarantineRelay } from '../quarantine/quarantineRelay.js';
import type { PromptHolders } from '../systems/promptHolders.js';
import type { PublishedState } from '../systems/publishedState.js';
import type { FeedRelay } from './feedRelay.js';
import type { LoadRelay } from './loadRelay.js';
import type { WorkKind } from '../observability/workMeter.js';
import type { PeerFrame, RouterFrame } from './peerFrames.js';
import type { PeerValueSync } from './peerValueSync.js';

/** Who listens to peers. */
export interface PeerFrameHandlers {
  readonly promptHolders: PromptHolders;
  readonly loadRelay: LoadRelay;
  readonly quarantineRelay: QuarantineRelay;
  readonly valueSync: PeerValueSync;
  readonly feedRelay: FeedRelay;
  readonly state: PublishedState;
}

/**
 * Hands one frame on.
 *
 * @example dispatchPeerFrame({ type: 'valueRequest', ...question }, listeners) // the values answer it
 */
export function dispatchPeerFrame(frame: RouterFrame, listeners: PeerFrameHandlers): void {
  const {
    promptHolders: homes,
    loadRelay: loads,
    quarantineRelay: crashNews,
    valueSync: peerValues,
    feedRelay: relay,
    state,
  } = listeners;
  switch (frame.type) {
    case 'heartbeat':
      homes.addReported(frame.homes);
      loads.handleHeartbeat(frame);
      crashNews.handleHeartbeat(frame);
      return peerValues.handleHeartbeat(frame);
    case 'feedNotice':
      return relay.handleNotice(frame);
    case 'boxLoads':
      return loads.handleBoxLoads(frame);
    case 'hallLoads':
      return loads.handleHallLoads(frame);
    case 'fleetLoads':
      return loads.handleFleetLoads(frame);
    case 'valueRequest':
      return peerValues.handleRequest(frame);
    case 'configurationValue':
      return state.adoptConfiguration(frame.configuration, 'peer');
    case 'configurationDifference':
      return peerValues.applyConfigurationChange(frame.change);
    case 'endpointsValue':
      return peerValues.applyEndpointsValue(frame);
    case 'crashNews':
      return crashNews.handleCrashReports(frame);
  }
}

/**
 * Kind of work that a frame brings.
 *
 * @example findWorkKind('hallLoads') // 'loads'
 */
export function findWorkKind(type: PeerFrame['type']): WorkKind {
  switch (type) {
    case 'heartbeat':
    case 'heartbeatHeard':
    case 'introduction':
    case 'hallSummary':
    case 'probe':
    case 'probeHeard':
    case 'probeRequest':
    case 'boxDown':
    case 'boxUp':
      return 'membership';
    case 'feedNotice':
    case 'valueRequest':
    case 'endpointsValue':
      return 'lists';
    case 'configurationValue':
    case 'configurationDifference':
      return 'configuration';
    case 'boxLoads':
    case 'hallLoads':
    case 'fleetLoads':
      return 'loads';
    case 'crashNews':
      return 'crashNews';
  }
}
