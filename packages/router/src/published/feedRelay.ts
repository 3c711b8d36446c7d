/**
 * Relays what the platform publishes. The boxes of a hall that watch the platform (its watchers) send each change, and
 * the revision of their lists, to the other boxes of the hall. These stay passive as long as they receive such notices,
 * and watch the platform themselves if the notices stop.
 */
import type { DecisionLog } from '../observability/decisionLog.js';
import type { PublishedState, Publication } from './publishedState.js';
import type { WatcherCandidate, FeedRole, FeedRoleInput, FeedState } from './feedRole.js';
import {
  decideFeedRole,
  findWatcherPosition,
  isFeedLost,
  rankWatcher,
  WATCHERS_PER_HALL,
} from './feedRole.js';
import type { ConfigurationChange } from './configurationChange.js';
import type { EndpointChange } from './endpointDirectory.js';
import type { EvacuationChange } from './evacuations.js';
import type { FeedNotice, Heartbeat } from '../peers/peerFrames.js';
import type { PeerMesh } from '../peers/peerMesh.js';
import { MAX_RELAYED_CHARS } from '../peers/peerValueSync.js';
import type { PeerValueSync } from '../peers/peerValueSync.js';

/** Dependencies and settings of the relay. */
export interface FeedRelayOptions {
  readonly mesh: PeerMesh;
  readonly state: PublishedState;
  readonly valueSync: PeerValueSync;
  readonly log: DecisionLog;
  readonly hall: string;
  /** Bandwidth of this box's link. */
  readonly linkMbps: number;
  readonly hash: (text: string) => number;
  readonly now: () => number;
  /** Maximum time from the publication of a change until it is in force. */
  readonly applyBoundMs: number;
}

/** Sends and applies notices of published changes for one box. */
export class FeedRelay {
  private confirmedAtMs = -Infinity;
  private feedLostAtMs = -Infinity;
  private roleType: FeedRole['type'] | undefined;
  /** Version of the configuration in the last notice to the hall; 0 before the first. */
  private announcedVersion = 0;
  /** Whether the last change of the configuration is small enough to be relayed. */
  private isLastChangeSmall = false;

  constructor(private readonly options: FeedRelayOptions) {}

  /** Decides the feed role of this box: watch the platform, read the configuration once, or stay passive. */
  decideRole(): FeedRole {
    const { now, mesh, state, valueSync, applyBoundMs } = this.options;
    const input: FeedRoleInput = {
      nowMs: now(),
      boxes: mesh.countBoxes(),
      own: this.describeOwnCandidate(),
      hallPeers: this.listHallCandidates(),
      confirmedAtMs: this.confirmedAtMs,
      applyBoundMs,
      lapseMs: state.lapseMs,
      lacksConfiguration: valueSync.mustReadConfiguration(),
    };
    const role = decideFeedRole(input);
    if (role.type !== this.roleType) this.logRoleChange(role, input);
    return role;
  }

  /** Whether this box can watch the platform. For a while after a failed read it leaves that to others (`lost`). */
  get feedState(): FeedState {
    return isFeedLost(this.feedLostAtMs, this.options.now()) ? 'lost' : 'able';
  }

  /** Addresses of the boxes of the hall that watch the platform. */
  listWatchers(): string[] {
    return this.listHallCandidates()
      .filter(({ state }) => state === 'able')
      .sort((a, b) => a.rank - b.rank)
      .slice(0, WATCHERS_PER_HALL)
      .map(({ address }) => address);
  }

  /** Sends a publication of the platform to the boxes of the hall, if this box is one of the hall's watchers. */
  announce(publication: Publication): void {
    const { mesh, state, hall } = this.options;
    this.feedLostAtMs = -Infinity;
    if (findWatcherPosition(this.describeOwnCandidate(), this.listHallCandidates()) === undefined) return;
    const { from, revision, endpointChanges, evacuationChanges } = publication;
    const change = this.describeSmallChange();
    const report = state.platformReport;
    mesh.sendToHall(hall, {
      type: 'feedNotice',
      address: mesh.address,
      // A snapshot has no start revision: peers with an older list then request the complete one.
      from: from ?? revision,
      revision,
      era: publication.era ?? state.listPosition.era,
      unsettledMs: report?.doubtMs ?? 0,
      answeringForMs: report?.answeringForMs,
      configurationVersion: state.configurationVersion,
      configurationChars: state.configurationChars,
      isConfigurationChangeSmall: this.isLastChangeSmall,
      configurationChange: change,
      ...(publication.isComparison === true && { isComparison: true }),
      changes: from === undefined ? [] : endpointChanges.flatMap(toNoticeChange),
      evacuations: evacuationChanges.flatMap(toNoticeEvacuation),
    });
    this.announcedVersion = state.configurationVersion;
  }

  /** Records that this box failed to read the platform. */
  markFeedLost(): void {
    this.feedLostAtMs = this.options.now();
  }

  /** Applies the notice of a watcher, and requests from it what the notice does not contain. */
  handleNotice(notice: FeedNotice): void {
    const { state, valueSync, now } = this.options;
    const { era, revision } = notice;
    if (era === state.listPosition.era && notice.from <= state.endpointsRevision) {
      this.confirmedAtMs = now();
      state.recordPeerUpdate(notice.address, notice.unsettledMs, notice.answeringForMs);
      if (revision > state.endpointsRevision) {
        const { changes: endpointChanges, evacuations: evacuationChanges, isComparison } = notice;
        state.applyLists({ endpointChanges, evacuationChanges, isComparison }, { era, revision }, 'peer');
      }
    }
    if (notice.configurationChange !== undefined)
      valueSync.applyConfigurationChange(notice.configurationChange);
    valueSync.handleNotice(notice);
  }

  /** The configuration change since the last notice, if there is one and it is small enough to send to the whole hall. */
  private describeSmallChange(): ConfigurationChange | undefined {
    const { state } = this.options;
    if (state.configurationVersion === this.announcedVersion) return undefined;
    const change = state.createChangeSince(this.announcedVersion);
    this.isLastChangeSmall = change !== undefined && state.measureChange(change) <= MAX_RELAYED_CHARS;
    return this.isLastChangeSmall ? change : undefined;
  }

  private logRoleChange(role: FeedRole, input: FeedRoleInput): void {
    this.options.log.write('notable', 'feedDuty', {
      duty: role.type,
      before: this.roleType,
      boxes: input.boxes,
      hallPeers: input.hallPeers.length,
      standing: input.own.state,
      confirmedAgoMs: Math.round(input.nowMs - input.confirmedAtMs),
      lacksConfiguration: input.lacksConfiguration,
    });
    this.roleType = role.type;
  }

  private describeOwnCandidate(): WatcherCandidate {
    const { hash, linkMbps, mesh } = this.options;
    return { rank: rankWatcher(hash(mesh.address), linkMbps), state: this.feedState };
  }

  private listHallCandidates(): (WatcherCandidate & { readonly address: string })[] {
    const { mesh, hall, hash } = this.options;
    return mesh
      .listReachable()
      .filter((heartbeat) => heartbeat.hall === hall && !heartbeat.isStopping)
      .map((heartbeat: Heartbeat) => ({
        address: heartbeat.address,
        rank: rankWatcher(hash(heartbeat.address), heartbeat.linkMbps),
        state: heartbeat.feed,
      }));
  }
}

function toNoticeEvacuation(change: EvacuationChange): FeedNotice['evacuations'] {
  return change.type === 'snapshot' ? [] : [{ ...change }];
}

function toNoticeChange(change: EndpointChange): FeedNotice['changes'] {
  return change.type === 'snapshot' ? [] : [change];
}
