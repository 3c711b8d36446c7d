/**
 * Passes on what the platform publishes: the boxes that follow it tell those of their hall what changed, and how new
 * what they know is, so that the others can rest or step in.
 */
import type { DecisionLog } from '../observability/decisionLog.js';
import type { PublishedState, Publication } from '../systems/publishedState.js';
import type { WatcherCandidate, FeedRole, FeedRoleInput, FeedState } from '../systems/feedRole.js';
import { decideFeedRole, findWatcherPosition, isFeedLost, rankWatcher } from '../systems/feedRole.js';
import type { ConfigurationChange } from '../systems/configurationChange.js';
import type { EndpointChange } from '../systems/endpointDirectory.js';
import type { EvacuationChange } from '../systems/evacuations.js';
import type { FeedNotice, Heartbeat } from './peerFrames.js';
import type { PeerMesh } from './peerMesh.js';
import { MAX_RELAYED_CHARS } from './peerValueSync.js';
import type { PeerValueSync } from './peerValueSync.js';

/** What the relay works with. */
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
  /** Time in which a change has to be in force. */
  readonly applyBoundMs: number;
}

/** One box's part in spreading what is published. */
export class FeedRelay {
  private confirmedAtMs = -Infinity;
  private lostAtMs = -Infinity;
  private dutyType: FeedRole['type'] | undefined;
  /** Version of the configuration that the hall was told last; 0 before the first. */
  private announcedVersion = 0;
  /** Whether the newest configuration differs little from the one before. */
  private isNewsSmall = false;

  constructor(private readonly options: FeedRelayOptions) {}

  /** What this box does about the platform now. */
  decideRole(): FeedRole {
    const { now, mesh, valueSync: values, applyBoundMs } = this.options;
    const facts: FeedRoleInput = {
      nowMs: now(),
      boxes: mesh.countBoxes(),
      own: this.describeOwn(),
      hallPeers: this.listHallPeers(),
      confirmedAtMs: this.confirmedAtMs,
      applyBoundMs,
      lacksConfiguration: values.mustReadConfiguration(),
    };
    const duty = decideFeedRole(facts);
    if (duty.type !== this.dutyType) this.noteDuty(duty, facts);
    return duty;
  }

  /** What this box tells of its own reading. */
  get feedState(): FeedState {
    return isFeedLost(this.lostAtMs, this.options.now()) ? 'lost' : 'able';
  }

  /** Tells the hall what the platform answered, if this box follows it for the others. */
  announce(publication: Publication): void {
    const { mesh, state, hall } = this.options;
    this.lostAtMs = -Infinity;
    if (findWatcherPosition(this.describeOwn(), this.listHallPeers()) === undefined) return;
    const { from, revision, endpointChanges, evacuationChanges } = publication;
    const news = this.describeNews();
    mesh.sendToHall(hall, {
      type: 'feedNotice',
      address: mesh.address,
      // Peers that know an older list ask for the whole one.
      from: from ?? revision,
      revision,
      era: publication.era ?? state.listPosition.era,
      unsettledMs: state.platformReport?.doubtMs ?? 0,
      configurationVersion: state.configurationVersion,
      configurationChars: state.configurationChars,
      isConfigurationChangeSmall: this.isNewsSmall,
      configurationChange: news,
      changes: from === undefined ? [] : endpointChanges.flatMap(toNoticeChange),
      evacuations: evacuationChanges.flatMap(toNoticeEvacuation),
    });
    this.announcedVersion = state.configurationVersion;
  }

  /** This box cannot read the platform. */
  markFeedLost(): void {
    this.lostAtMs = this.options.now();
  }

  /** Takes over what a follower told; asks it for what cannot be had from the notice alone. */
  handleNotice(notice: FeedNotice): void {
    const { state, valueSync: values, now } = this.options;
    const { era, revision } = notice;
    if (era === state.listPosition.era && notice.from <= state.endpointsRevision) {
      this.confirmedAtMs = now();
      state.recordPeerUpdate(notice.address, notice.unsettledMs);
      if (revision > state.endpointsRevision) {
        const { changes: endpointChanges, evacuations: evacuationChanges } = notice;
        state.applyLists({ endpointChanges, evacuationChanges }, { era, revision }, 'peer');
      }
    }
    if (notice.configurationChange !== undefined) values.applyConfigurationChange(notice.configurationChange);
    values.handleNotice(notice);
  }

  /** What changed in the configuration since the last notice, if it is small enough for every box of the hall. */
  private describeNews(): ConfigurationChange | undefined {
    const { state } = this.options;
    if (state.configurationVersion === this.announcedVersion) return undefined;
    const change = state.createChangeSince(this.announcedVersion);
    this.isNewsSmall = change !== undefined && state.measureChange(change) <= MAX_RELAYED_CHARS;
    return this.isNewsSmall ? change : undefined;
  }

  private noteDuty(duty: FeedRole, facts: FeedRoleInput): void {
    this.options.log.write('notable', 'feedDuty', {
      duty: duty.type,
      before: this.dutyType,
      boxes: facts.boxes,
      hallPeers: facts.hallPeers.length,
      standing: facts.own.state,
      confirmedAgoMs: Math.round(facts.nowMs - facts.confirmedAtMs),
      lacksConfiguration: facts.lacksConfiguration,
    });
    this.dutyType = duty.type;
  }

  private describeOwn(): WatcherCandidate {
    const { hash, linkMbps, mesh } = this.options;
    return { rank: rankWatcher(hash(mesh.address), linkMbps), state: this.feedState };
  }

  private listHallPeers(): WatcherCandidate[] {
    const { mesh, hall, hash } = this.options;
    return mesh
      .listReachable()
      .filter((heartbeat) => heartbeat.hall === hall && !heartbeat.isStopping)
      .map((heartbeat: Heartbeat) => ({
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
