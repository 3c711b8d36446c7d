/**
 * Updates about the members of the fleet beyond heartbeats: introductions to peers that may know fewer boxes, summaries
 * of the own hall for the others, and updates about the others for the own hall.
 */
import type { FleetDirectory } from '../membership/fleetDirectory.js';
import type { KnownPeers } from './knownPeers.js';
import type { HallSummary, Heartbeat, PeerFrame } from './peerFrames.js';

/** Number of heartbeats between introductions to one random peer, which may know of as many boxes as this one. */
const INTRODUCE_EVERY = 8;
/** Number of heartbeats after which a summary is sent even if it has not changed, so that its age stays low. */
const SUMMARY_EVERY = 4;
/** Minimum time between introductions to peers that know of fewer boxes: updates spread in seconds at little cost. */
const INTRODUCTION_MS = 300;
/** Minimum time between updates about other halls to the own hall. */
const HALLS_UPDATE_MS = 2_000;

/** Dependencies of the updates. */
export interface MembershipUpdatesOptions {
  readonly hall: string;
  readonly directory: FleetDirectory;
  readonly peers: KnownPeers;
  readonly now: () => number;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
  /** Returns the address of this box. */
  readonly readAddress: () => string;
  /** Last heartbeats of the peers that can be reached. */
  readonly listReachable: () => readonly Heartbeat[];
  /** Sends a frame to the box at an address, if a link to it is up. */
  readonly send: (address: string, frame: PeerFrame) => void;
  /** Sends a frame to the peers of the own hall. */
  readonly sendToOwnHall: (frame: PeerFrame) => void;
}

/** Decides which updates of one box are due, and sends them. */
export class MembershipUpdates {
  private heartbeatCount = 0;
  private introducedAtMs = -Infinity;
  private hallsSentAtMs = -Infinity;
  private sentHallsRevision = 0;
  /** Number of boxes and aggregator candidates of the own hall as last sent to the other halls. */
  private sentSummary = '';

  constructor(private readonly options: MembershipUpdatesOptions) {}

  /** Called for every heartbeat that is sent: sends an introduction or a summary when one is due. */
  handleHeartbeatSent(): void {
    const { directory } = this.options;
    this.heartbeatCount += 1;
    if (this.heartbeatCount % INTRODUCE_EVERY === 1) this.introduceToRandomPeer();
    if (this.heartbeatCount % SUMMARY_EVERY === 0 && !directory.isFullMesh)
      this.sendSummary(directory.createSummary());
  }

  /** Sends what has changed about the own hall to the others, and about the others to the own hall. */
  sendChanged(): void {
    const summary = this.options.directory.createSummary();
    if (formatSummary(summary) !== this.sentSummary) this.sendSummary(summary);
    this.sendHallsIfChanged();
  }

  /** Summary for a new link to a box: one of another hall receives the aggregator candidates of this hall. */
  listInitialSummaries(address: string): HallSummary[] {
    const { directory, readAddress } = this.options;
    if (directory.isFullMesh || !directory.isInOtherHall(address)) return [];
    const summary = directory.createSummary();
    return summary.addresses.includes(readAddress()) ? [summary] : [];
  }

  /**
   * Creates the reply to a heartbeat: a sender that joins or knows of fewer boxes receives an introduction, since not
   * every box starts with a live seed; any other an acknowledgement.
   */
  createReply(heartbeat: Heartbeat, isFirst: boolean): PeerFrame {
    const { directory, now } = this.options;
    const nowMs = now();
    const isBehind =
      heartbeat.boxes < directory.countBoxes() && nowMs - this.introducedAtMs >= INTRODUCTION_MS;
    if (!isFirst && !isBehind) return { type: 'heartbeatHeard' };
    this.introducedAtMs = nowMs;
    return directory.createIntroduction(heartbeat.hall);
  }

  private introduceToRandomPeer(): void {
    const { directory, random, listReachable, send } = this.options;
    const peers = listReachable();
    const peer = peers[Math.floor(random() * peers.length)];
    if (peer !== undefined) send(peer.address, directory.createIntroduction(peer.hall));
  }

  /** Sends the other halls the size and the aggregator candidates of this hall, if this box is one of them. */
  private sendSummary(summary: HallSummary): void {
    const { hall, peers, readAddress, send } = this.options;
    this.sentSummary = formatSummary(summary);
    if (!summary.addresses.includes(readAddress())) return;
    for (const address of peers.listOtherHalls(hall)) send(address, summary);
  }

  /** Sends updates about other halls to the own hall, if this box is the first of its hall. */
  private sendHallsIfChanged(): void {
    const { hall, directory, now, sendToOwnHall } = this.options;
    const nowMs = now();
    const { hallsRevision } = directory;
    if (hallsRevision === this.sentHallsRevision || nowMs - this.hallsSentAtMs < HALLS_UPDATE_MS) return;
    if (directory.findPosition() !== 0) return;
    this.hallsSentAtMs = nowMs;
    this.sentHallsRevision = hallsRevision;
    sendToOwnHall(directory.createIntroduction(hall));
  }
}

function formatSummary(summary: HallSummary): string {
  return [summary.boxes, ...summary.addresses].join();
}
