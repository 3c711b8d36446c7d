/**
 * Published values that boxes request from each other: the configuration, since the platform may refuse some boxes while
 * it serves others, and the list of endpoints, for a box that does not watch the platform or cannot reach it.
 */
import type { PublishedState } from '../published/publishedState.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import type { ConfigurationChange } from '../published/configurationChange.js';
import type { ListPosition } from '../published/listPosition.js';
import { comparePositions, isNewerPosition, NO_LIST } from '../published/listPosition.js';
import type { EndpointsValue, FeedNotice, Heartbeat, ValueRequest } from './peerFrames.js';
import type { PeerMesh } from './peerMesh.js';

/** Minimum time between requests for newer values; a response takes a few milliseconds. */
const REQUEST_INTERVAL_MS = 400;
/** Most configurations come from the platform itself; peers are asked after this share of the maximum apply time. */
const CONFIGURATION_WAIT_SHARE = 1 / 6;
/**
 * A list that has not changed for this share of the maximum apply time while a peer has a newer one is requested: a
 * long-polling call that has gone silent counts as lost only after 3.9 s. Otherwise watchers send changes within a third
 * of the maximum apply time.
 */
const STALE_LIST_SHARE = 1 / 2;
/**
 * A box whose own proof is older than this share of that time requests a newer list from a peer at once: its call may have gone
 * silent.
 */
const UPDATE_SHARE = 1 / 2;
/** Larger values are read from the platform: links between boxes have little bandwidth, and one box may serve a hall. */
export const MAX_RELAYED_CHARS = 16_384;

/** A version that no box keeps: the answer is the whole configuration. */
const NO_VERSION = 0;

/** Dependencies and settings of the value sync. */
export interface PeerValueSyncOptions {
  readonly mesh: PeerMesh;
  readonly state: PublishedState;
  readonly log: DecisionLog;
  readonly now: () => number;
  /** Maximum time from the publication of a change until it is in force. */
  readonly applyBoundMs: number;
}

/** Requests newer values from peers and answers their requests. */
export class PeerValueSync {
  private requestedAtMs = -Infinity;
  /** Newest configuration version that a peer has, and since when this box has been behind. */
  private newestPeerVersion = 0;
  private missingSinceMs = -Infinity;
  /**
   * Version in force when a change led to other records than its sender has, as one from a box of another version may:
   * peers would send the same change again.
   */
  private unchangeableVersion: number | undefined;
  /** Position of the newest list that a peer has, position of the own list, and since when the latter has not advanced. */
  private newestPeerPosition = NO_LIST;
  private unchangedPosition = NO_LIST;
  private unchangedSinceMs = -Infinity;
  /** Whether both the newest configuration and its last change are too large to come from a watcher. */
  private isTooLargeToRelay = false;

  constructor(private readonly options: PeerValueSyncOptions) {}

  /** Requests newer values from the sender of a heartbeat, if this box should have them by now. */
  handleHeartbeat(heartbeat: Heartbeat): void {
    const { state, now } = this.options;
    this.recordPeerVersion(heartbeat.configurationVersion);
    const isOverdue = now() - this.missingSinceMs >= this.configurationWaitMs;
    const isNewer = heartbeat.configurationVersion > state.configurationVersion;
    // A box that lacks a configuration or endpoints cannot serve requests, so it does not wait.
    const lacksConfiguration = isNewer && (isOverdue || !state.isInitialized);
    const { address, platformReport, era, endpointsRevision } = heartbeat;
    const position = { era, revision: endpointsRevision };
    const own = state.listPosition;
    const lacksEndpoints = isNewerPosition(position, own);
    if (platformReport === undefined) state.removePeerReport(address);
    else if (!lacksEndpoints && era === own.era) state.recordPeerConfirmation(address, platformReport);
    const isStale = this.isListStale(position);
    const mustRequest =
      era > own.era || isStale || !state.isReceivingUpdates(this.options.applyBoundMs * UPDATE_SHARE);
    this.requestValues(heartbeat.address, lacksConfiguration, lacksEndpoints && mustRequest);
  }

  /** Requests from a watcher the values that its notice does not contain. */
  handleNotice(notice: FeedNotice): void {
    const { state, now } = this.options;
    this.recordPeerVersion(notice.configurationVersion);
    const isSmall = notice.configurationChars <= MAX_RELAYED_CHARS || notice.isConfigurationChangeSmall;
    if (notice.configurationVersion >= this.newestPeerVersion) this.isTooLargeToRelay = !isSmall;
    const isOverdue = now() - this.missingSinceMs >= this.configurationWaitMs;
    const isNewer = notice.configurationVersion > state.configurationVersion;
    const lacksEndpoints = isNewerPosition({ era: notice.era, revision: notice.from }, state.listPosition);
    this.requestValues(notice.address, isNewer && (isSmall || isOverdue), lacksEndpoints);
  }

  /**
   * Whether a newer configuration is known and has to be read from the platform: at once if it will not come from a peer,
   * otherwise after half of the wait, before peers are asked for a large one.
   */
  mustReadConfiguration(): boolean {
    const isLacking = this.newestPeerVersion > this.options.state.configurationVersion;
    if (!isLacking) return false;
    return this.isTooLargeToRelay || this.options.now() - this.missingSinceMs >= this.configurationWaitMs / 2;
  }

  /** Applies a configuration change from a peer. If it does not apply, the complete configuration is requested or read. */
  applyConfigurationChange(change: ConfigurationChange): void {
    const { state, log } = this.options;
    this.recordPeerVersion(change.version);
    const adopted = state.adoptConfigurationChange(change);
    if (adopted.ok) return;
    if (adopted.val === 'otherDigest') this.unchangeableVersion = state.configurationVersion;
    log.write('notable', 'configurationChangeUnused', {
      reason: adopted.val,
      from: change.from,
      version: change.version,
      versionInForce: state.configurationVersion,
    });
  }

  /** Answers the request of a peer: for the configuration only with the changes since its version, if known and small. */
  handleRequest(request: ValueRequest): void {
    const { mesh, state } = this.options;
    switch (request.value) {
      case 'configuration':
        return this.sendConfiguration(request);
      case 'endpoints':
        mesh.send(request.address, {
          type: 'endpointsValue',
          ...state.listPosition,
          endpoints: state.listEndpoints('listed'),
          lapsed: state.listEndpoints('lapsed'),
          evacuatedHalls: state.evacuations.list(),
          address: mesh.address,
          platformReport: state.platformReport,
        });
        return;
    }
  }

  /** Requests the complete list of endpoints from a peer that has proven a newer one. */
  requestEndpoints(address: string): void {
    this.requestValues(address, false, true);
  }

  /** Applies the complete list of endpoints from a peer, unless this box has a newer one. */
  applyEndpointsValue(value: EndpointsValue): void {
    const { state } = this.options;
    const { era, revision, endpoints, lapsed, evacuatedHalls, address, platformReport } = value;
    const position = { era, revision };
    if (isNewerPosition(state.listPosition, position)) return;
    if (platformReport !== undefined) state.recordPeerConfirmation(address, platformReport);
    if (!isNewerPosition(position, state.listPosition)) return;
    const endpointChanges = [{ type: 'snapshot', endpoints, lapsed }] as const;
    // Boxes of versions without evacuations do not send this list.
    const evacuationChanges =
      evacuatedHalls === undefined ? [] : [{ type: 'snapshot', halls: evacuatedHalls } as const];
    state.applyLists({ endpointChanges, evacuationChanges }, position, 'peer');
  }

  private sendConfiguration(request: ValueRequest): void {
    const { mesh, state } = this.options;
    const change = state.createChangeSince(request.configurationVersion);
    if (change !== undefined && state.measureChange(change) <= MAX_RELAYED_CHARS) {
      return mesh.send(request.address, { type: 'configurationDifference', change });
    }
    const configuration = state.index?.configuration;
    if (configuration !== undefined)
      mesh.send(request.address, { type: 'configurationValue', configuration });
  }

  private get configurationWaitMs(): number {
    return this.options.applyBoundMs * CONFIGURATION_WAIT_SHARE;
  }

  /** Whether the list of this box has not advanced for too long although peers have a newer one. */
  private isListStale(peerPosition: ListPosition): boolean {
    const { state, now, applyBoundMs } = this.options;
    const position = state.listPosition;
    if (isNewerPosition(peerPosition, this.newestPeerPosition)) this.newestPeerPosition = peerPosition;
    if (
      !isNewerPosition(this.newestPeerPosition, position) ||
      comparePositions(this.unchangedPosition, position) !== 0
    ) {
      this.unchangedPosition = position;
      this.unchangedSinceMs = now();
    }
    return now() - this.unchangedSinceMs >= applyBoundMs * STALE_LIST_SHARE;
  }

  private recordPeerVersion(version: number): void {
    const { state, now } = this.options;
    if (version <= Math.max(this.newestPeerVersion, state.configurationVersion)) return;
    // Versions may be published faster than they arrive: the wait starts with the first that is missing.
    if (this.newestPeerVersion <= state.configurationVersion) this.missingSinceMs = now();
    this.newestPeerVersion = version;
  }

  private requestValues(address: string, lacksConfiguration: boolean, lacksEndpoints: boolean): void {
    const { mesh, state, now } = this.options;
    const nowMs = now();
    if ((!lacksConfiguration && !lacksEndpoints) || nowMs - this.requestedAtMs < REQUEST_INTERVAL_MS) return;
    this.requestedAtMs = nowMs;
    const isUnchangeable = this.unchangeableVersion === state.configurationVersion;
    const configurationVersion = isUnchangeable ? NO_VERSION : state.configurationVersion;
    const request = { type: 'valueRequest', address: mesh.address, configurationVersion } as const;
    if (lacksConfiguration) mesh.send(address, { ...request, value: 'configuration' });
    if (lacksEndpoints) mesh.send(address, { ...request, value: 'endpoints' });
  }
}
