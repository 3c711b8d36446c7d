/**
 * Published values that boxes ask each other for: the configuration, since the platform may turn some boxes away while
 * it serves others, and the list of endpoints, for a box that does not follow the platform or cannot.
 */
import type { PublishedState } from '../systems/publishedState.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import type { ConfigurationChange } from '../systems/configurationChange.js';
import type { ListPosition } from '../systems/listPosition.js';
import { comparePositions, isNewerPosition, NO_LIST } from '../systems/listPosition.js';
import type { EndpointsValue, FeedNotice, Heartbeat, ValueRequest } from './peerFrames.js';
import type { PeerMesh } from './peerMesh.js';

/** A peer with newer values is asked for them at most this often: an answer takes some milliseconds. */
const ASK_MS = 400;
/** Most configurations come from the platform itself; peers are asked after this share of the time to apply one. */
const PATIENCE_SHARE = 1 / 6;
/**
 * A list that stands still for this share of that time while a peer has a newer one is asked for: a waiting call that has
 * gone silent counts as lost only after 3.9 s. Otherwise followers tell what is new within a third of it.
 */
const STUCK_SHARE = 1 / 2;
/** What is larger is read from the platform: links between boxes are thin, and one box may serve a hall. */
export const MAX_RELAYED_CHARS = 16_384;

/** What this box has, and how it reaches its peers. */
export interface PeerValueSyncOptions {
  readonly mesh: PeerMesh;
  readonly state: PublishedState;
  readonly log: DecisionLog;
  readonly now: () => number;
  /** Time in which a change has to be in force. */
  readonly applyBoundMs: number;
}

/** Asks peers for newer values and answers such questions. */
export class PeerValueSync {
  private askedAtMs = -Infinity;
  /** Newest configuration that a peer has, and since when this box lacks it. */
  private heardVersion = 0;
  private lacksSinceMs = -Infinity;
  /** Newest list that a peer has, and since when this box has stood still at which one without it. */
  private heardPosition = NO_LIST;
  private stuckAtPosition = NO_LIST;
  private stuckSinceMs = -Infinity;
  /** The newest configuration is too large to come from the follower, and so is what changed in it. */
  private isLeftToPlatform = false;

  constructor(private readonly options: PeerValueSyncOptions) {}

  /** Asks the sender of a heartbeat for what it has newer and this box should have had by now. */
  handleHeartbeat(heartbeat: Heartbeat): void {
    const { state, now } = this.options;
    this.noteVersion(heartbeat.configurationVersion);
    const isOverdue = now() - this.lacksSinceMs >= this.patienceMs;
    const isNewer = heartbeat.configurationVersion > state.configurationVersion;
    // A box that knows nothing yet has nothing to wait for.
    const lacksConfiguration = isNewer && (isOverdue || !state.isInitialized);
    const { address, platformReport, era, endpointsRevision } = heartbeat;
    const position = { era, revision: endpointsRevision };
    const own = state.listPosition;
    const lacksEndpoints = isNewerPosition(position, own);
    if (platformReport === undefined) state.removePeerReport(address);
    else if (!lacksEndpoints && era === own.era) state.recordPeerConfirmation(address, platformReport);
    const isStuck = this.isListStuck(position);
    const mustAsk = era > own.era || isStuck || !state.isReceivingUpdates;
    this.ask(heartbeat.address, lacksConfiguration, lacksEndpoints && mustAsk);
  }

  /** Asks the box that follows the platform for what its notice did not hold. */
  handleNotice(notice: FeedNotice): void {
    const { state, now } = this.options;
    this.noteVersion(notice.configurationVersion);
    const isSmall = notice.configurationChars <= MAX_RELAYED_CHARS || notice.isConfigurationChangeSmall;
    if (notice.configurationVersion >= this.heardVersion) this.isLeftToPlatform = !isSmall;
    const isOverdue = now() - this.lacksSinceMs >= this.patienceMs;
    const isNewer = notice.configurationVersion > state.configurationVersion;
    const lacksEndpoints = isNewerPosition({ era: notice.era, revision: notice.from }, state.listPosition);
    this.ask(notice.address, isNewer && (isSmall || isOverdue), lacksEndpoints);
  }

  /**
   * Whether a newer configuration is known of and has to be read: at once if it will not come from a peer, otherwise
   * after half of the patience, before peers are asked for a large one.
   */
  mustReadConfiguration(): boolean {
    const isLacking = this.heardVersion > this.options.state.configurationVersion;
    if (!isLacking) return false;
    return this.isLeftToPlatform || this.options.now() - this.lacksSinceMs >= this.patienceMs / 2;
  }

  /** Takes over what a peer says changed in the configuration. What does not fit is asked for, or read, as a whole. */
  applyConfigurationChange(change: ConfigurationChange): void {
    const { state, log } = this.options;
    this.noteVersion(change.version);
    const adopted = state.adoptConfigurationChange(change);
    if (adopted.ok) return;
    log.write('notable', 'configurationChangeUnused', {
      reason: adopted.val,
      from: change.from,
      version: change.version,
      versionInForce: state.configurationVersion,
    });
  }

  /** Answers the question of a peer: with what changed since the version that it has, where that is known and small. */
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

  /** Takes over the whole list of endpoints that a peer told, unless this box has a newer one. */
  applyEndpointsValue(value: EndpointsValue): void {
    const { state } = this.options;
    const { era, revision, endpoints, lapsed, evacuatedHalls, address, platformReport } = value;
    const position = { era, revision };
    if (isNewerPosition(state.listPosition, position)) return;
    if (platformReport !== undefined) state.recordPeerConfirmation(address, platformReport);
    if (!isNewerPosition(position, state.listPosition)) return;
    const endpointChanges = [{ type: 'snapshot', endpoints, lapsed }] as const;
    // A box that does not know of such orders says nothing about them.
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

  private get patienceMs(): number {
    return this.options.applyBoundMs * PATIENCE_SHARE;
  }

  /** Whether the list of this box has not moved for too long although peers have a newer one. */
  private isListStuck(peerPosition: ListPosition): boolean {
    const { state, now, applyBoundMs } = this.options;
    const position = state.listPosition;
    if (isNewerPosition(peerPosition, this.heardPosition)) this.heardPosition = peerPosition;
    if (
      !isNewerPosition(this.heardPosition, position) ||
      comparePositions(this.stuckAtPosition, position) !== 0
    ) {
      this.stuckAtPosition = position;
      this.stuckSinceMs = now();
    }
    return now() - this.stuckSinceMs >= applyBoundMs * STUCK_SHARE;
  }

  private noteVersion(version: number): void {
    const { state, now } = this.options;
    if (version <= Math.max(this.heardVersion, state.configurationVersion)) return;
    // Versions may follow each other faster than they arrive: the wait counts from the first that is missing.
    if (this.heardVersion <= state.configurationVersion) this.lacksSinceMs = now();
    this.heardVersion = version;
  }

  private ask(address: string, lacksConfiguration: boolean, lacksEndpoints: boolean): void {
    const { mesh, state, now } = this.options;
    const nowMs = now();
    if ((!lacksConfiguration && !lacksEndpoints) || nowMs - this.askedAtMs < ASK_MS) return;
    this.askedAtMs = nowMs;
    const question = {
      type: 'valueRequest',
      address: mesh.address,
      configurationVersion: state.configurationVersion,
    } as const;
    if (lacksConfiguration) mesh.send(address, { ...question, value: 'configuration' });
    if (lacksEndpoints) mesh.send(address, { ...question, value: 'endpoints' });
  }
}
