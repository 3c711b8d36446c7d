/** Hands what peers tell to the parts of a box that it concerns. */
import type { QuarantineRelay } from '../quarantine/quarantineRelay.js';
import type { PromptHomes } from '../systems/promptHomes.js';
import type { PublishedState } from '../systems/publishedState.js';
import type { FeedRelay } from './feedRelay.js';
import type { LoadRelay } from './loadRelay.js';
import type { WorkKind } from '../observability/workMeter.js';
import type { PeerFrame, RouterFrame } from './peerFrames.js';
import type { PeerValues } from './peerValues.js';

/** Who listens to peers. */
export interface PeerListeners {
  readonly homes: PromptHomes;
  readonly loads: LoadRelay;
  readonly crashNews: QuarantineRelay;
  readonly peerValues: PeerValues;
  readonly relay: FeedRelay;
  readonly state: PublishedState;
}

/**
 * Hands one frame on.
 *
 * @example dispatchPeerFrame({ type: 'valueRequest', ...question }, listeners) // the values answer it
 */
export function dispatchPeerFrame(frame: RouterFrame, listeners: PeerListeners): void {
  const { homes, loads, crashNews, peerValues, relay, state } = listeners;
  switch (frame.type) {
    case 'heartbeat':
      homes.learn(frame.homes);
      loads.handleHeartbeat(frame);
      crashNews.handleGreeting(frame);
      return peerValues.noteHeartbeat(frame);
    case 'feedNotice':
      return relay.handleNotice(frame);
    case 'boxLoads':
      return loads.handleBoxLoads(frame);
    case 'hallLoads':
      return loads.handleHallLoads(frame);
    case 'fleetLoads':
      return loads.handleFleetLoads(frame);
    case 'valueRequest':
      return peerValues.send(frame);
    case 'configurationValue':
      return state.adoptConfiguration(frame.configuration, 'peer');
    case 'configurationDifference':
      return peerValues.takeChange(frame.change);
    case 'endpointsValue':
      return peerValues.takeEndpoints(frame);
    case 'crashNews':
      return crashNews.handleNews(frame);
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
