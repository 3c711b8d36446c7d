/** Dispatches frames from peers to the components that handle them. */
import type { BoxAdmission } from '../admission/boxAdmission.js';
import type { QuarantineRelay } from '../quarantine/quarantineRelay.js';
import type { PromptHolders } from '../systems/promptHolders.js';
import type { PublishedState } from '../published/publishedState.js';
import type { FeedRelay } from '../published/feedRelay.js';
import type { LoadRelay } from './loadRelay.js';
import type { WorkKind } from '../observability/workMeter.js';
import type { PeerFrame, RouterFrame, TunnelFrame } from './peerFrames.js';
import type { Reply } from './peerMesh.js';
import type { SlotRelay } from './slotRelay.js';
import type { OriginLookup } from '../streams/originLookup.js';
import type { VersionNotices } from '../streams/versionNotices.js';
import type { StreamTracker } from '../streams/streamTracker.js';
import type { ListProofs } from '../published/listProofs.js';
import type { PeerValueSync } from './peerValueSync.js';

/** Components that handle frames from peers. */
export interface PeerFrameHandlers {
  readonly promptHolders: PromptHolders;
  readonly loadRelay: LoadRelay;
  readonly quarantineRelay: QuarantineRelay;
  readonly valueSync: PeerValueSync;
  readonly feedRelay: FeedRelay;
  readonly slotRelay: SlotRelay;
  readonly admission: Pick<BoxAdmission, 'handleBrittle'>;
  readonly streamTracker: StreamTracker;
  readonly originLookup: OriginLookup;
  readonly versionNotices: VersionNotices;
  readonly listProofs: ListProofs;
  readonly state: PublishedState;
}

/**
 * Dispatches one frame to the components that handle it.
 *
 * @param reply answers on the connection on which the frame was received
 * @example dispatchPeerFrame({ type: 'valueRequest', ...request }, handlers, reply) // valueSync sends the requested value
 */
export function dispatchPeerFrame(frame: RouterFrame, handlers: PeerFrameHandlers, reply: Reply): void {
  const { promptHolders, loadRelay, quarantineRelay, valueSync, feedRelay, slotRelay, state } = handlers;
  switch (frame.type) {
    case 'heartbeat':
      promptHolders.addReported(frame.homes);
      loadRelay.handleHeartbeat(frame);
      quarantineRelay.handleHeartbeat(frame);
      handlers.admission.handleBrittle(frame.brittle ?? []);
      return valueSync.handleHeartbeat(frame);
    case 'feedNotice':
      feedRelay.handleNotice(frame);
      return handlers.listProofs.settleReached();
    case 'boxLoads':
      return loadRelay.handleBoxLoads(frame);
    case 'hallLoads':
      return loadRelay.handleHallLoads(frame);
    case 'fleetLoads':
      return loadRelay.handleFleetLoads(frame);
    case 'valueRequest':
      return valueSync.handleRequest(frame);
    case 'configurationValue':
      return state.adoptConfiguration(frame.configuration, 'peer');
    case 'configurationDifference':
      return valueSync.applyConfigurationChange(frame.change);
    case 'endpointsValue':
      valueSync.applyEndpointsValue(frame);
      return handlers.listProofs.settleReached();
    case 'crashNews':
      return quarantineRelay.handleCrashReports(frame);
    case 'slotRequests':
      return slotRelay.handleRequests(frame);
    case 'slotAnswers':
      return slotRelay.handleAnswers(frame);
    case 'slotReleases':
      return slotRelay.handleReleases(frame);
    case 'streamOrigins':
      return handlers.streamTracker.handleOrigins(frame);
    case 'streamLookup':
      return handlers.originLookup.handleLookup(frame, reply);
    case 'streamLookupReply':
      return handlers.originLookup.handleReply(frame);
    case 'versionNotice':
      return handlers.versionNotices.handleNotice(frame, reply);
    case 'versionNoticeAck':
      return handlers.versionNotices.handleAck(frame);
    case 'listProofRequest':
      return handlers.listProofs.handleRequest(frame, reply);
    case 'listProof':
      return handlers.listProofs.handleProof(frame);
  }
}

/**
 * Kind of work to which the time spent on a frame is attributed.
 *
 * @example findWorkKind('hallLoads') // 'loads'
 */
export function findWorkKind(type: Exclude<PeerFrame, TunnelFrame>['type']): WorkKind {
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
    case 'listProofRequest':
    case 'listProof':
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
    case 'slotRequests':
    case 'slotAnswers':
    case 'slotReleases':
      return 'slots';
    case 'streamOrigins':
    case 'streamLookup':
    case 'streamLookupReply':
    case 'versionNotice':
    case 'versionNoticeAck':
      return 'streams';
  }
}
