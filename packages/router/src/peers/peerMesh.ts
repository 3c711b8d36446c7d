/**
 * Links to the other boxes. Each box sends on the links it made and hears on those made to it; an answer comes back on
 * the link of its question. The directory decides who needs a link to whom, the failure detector who is down.
 */
import type { Problem } from '@hazelwalk/core';
import type { DetectorEffect } from '../membership/failureDetector.js';
import { FailureDetector } from '../membership/failureDetector.js';
import { FleetDirectory } from '../membership/fleetDirectory.js';
import type { HallSummary, Heartbeat, MembershipFrame, PeerFrame, RouterFrame } from './peerFrames.js';
import { encodePeerFrame } from './peerFrameCodec.js';
import { isMembershipFrame } from './peerFrames.js';
import { PeerLinks } from './peerLinks.js';
import type { ConnectionEvents, PeerConnection, PeerTransport } from './peerTransport.js';

/** Pace of heartbeats in a small fleet. */
const HEARTBEAT_MS = 300;
/** Heartbeats slow down with the boxes that get them, so that a box's control traffic does not grow with the fleet. */
const HEARTBEAT_MS_PER_BOX = 30;
/** Pace of the sparse heartbeats of a larger fleet, for each box that gets them and at least. */
const SPARSE_HEARTBEAT_MS_PER_BOX = 60;
const SPARSE_HEARTBEAT_MS = 5_000;
/** A peer that missed so many heartbeats no longer counts its load, and its link is made anew. */
const MISSED_HEARTBEATS = 8;
const MISSED_SPARSE_HEARTBEATS = 3;
/** What a peer that is silent for so long said last is forgotten. */
const PEER_LIFE_MS = 120_000;
/** Pace at which links are made and dropped where no news says so at once. */
const MAINTAIN_MS = 250;
/** Every so many heartbeats one peer is told who is there, also if it knows of as many others. */
const INTRODUCE_EVERY = 8;
/** A summary goes out whenever it changes, and with every so many heartbeats, so that its age tells little. */
const SUMMARY_EVERY = 4;
/** One peer that knows fewer boxes is told of the others in this time: news spread in seconds and cost little. */
const TELL_MS = 300;
/** A change of other halls is told to the own hall at most this often. */
const TELL_HALLS_MS = 2_000;

/** What the mesh tells. */
export interface PeerMeshHandlers {
  /** What to say on a link that just came up. */
  readonly createHeartbeat: () => Heartbeat;
  /** Called for every frame that is read. */
  readonly onFrameRead: (type: PeerFrame['type']) => void;
  /** Frames that are not about membership, and heartbeats. */
  readonly onFrame: (frame: RouterFrame) => void;
  readonly onProblem: (problem: Problem) => void;
  /** A box of the own hall was found to be down, or is back. */
  readonly onStateChange: (address: string, standing: 'down' | 'up', because: string) => void;
}

/** What the mesh needs to know of its box. */
export interface PeerMeshOptions {
  readonly hall: string;
  readonly seeds: readonly string[];
  readonly transport: PeerTransport;
  readonly now: () => number;
  /** Between 0 and 1. */
  readonly random: () => number;
  /** Rank of an address, by which all boxes agree on the speakers of a hall. */
  readonly rank: (address: string) => number;
  /** Number of this run of the box, greater than that of earlier ones. */
  readonly firstIncarnation: number;
}

/** What is known of a peer that sent a heartbeat. */
export interface KnownPeer {
  readonly heartbeat: Heartbeat;
  readonly lastSeenAtMs: number;
}

type Answer = (frame: PeerFrame) => void;

/** All links of one box. */
export class PeerMesh {
  private readonly peers = new Map<string, KnownPeer>();
  private readonly directory: FleetDirectory;
  private readonly detector: FailureDetector;
  private readonly links: PeerLinks;
  private readonly now: () => number;
  private heartbeatCount = 0;
  private ownAddress = '';
  private maintainedAtMs = -Infinity;
  private introducedAtMs = -Infinity;
  private toldHallsAtMs = -Infinity;
  private toldHallsRevision = 0;
  /** Speakers of the own hall and its boxes as the other halls were told last. */
  private toldSummary = '';

  constructor(
    private readonly options: PeerMeshOptions,
    private readonly handlers: PeerMeshHandlers,
  ) {
    const { hall, seeds, now, rank, random, firstIncarnation, transport } = options;
    this.now = now;
    this.detector = new FailureDetector({
      readAddress: () => this.ownAddress,
      rank,
      random,
      firstIncarnation,
    });
    this.directory = new FleetDirectory({
      hall,
      seeds,
      now,
      rank,
      isLinked: (address) => this.links.isUp(address),
      isDown: (address) => this.detector.isDown(address),
    });
    this.links = new PeerLinks({
      transport,
      now,
      createInitialFrames: (address) => this.createGreetings(address),
      onFrame: (frame, answer) => this.handleFrame(frame, answer),
      onProblem: (problem) => handlers.onProblem(problem),
      isLikelyReachable: (address) => this.directory.isLikelyReachable(address),
    });
  }

  /** Binds the listener. Rejects if the address is taken. */
  async listen(host: string, port: number): Promise<void> {
    const { transport } = this.options;
    this.ownAddress = await transport.listen(host, port, (connection) => this.acceptLink(connection));
    this.directory.setOwnAddress(this.ownAddress);
    this.maintainLinks();
  }

  /** Address at which this box accepts peers; empty before it is bound. */
  get address(): string {
    return this.ownAddress;
  }

  /** Number of this box's life. */
  get incarnation(): number {
    return this.detector.incarnation;
  }

  /** Time between two heartbeats. */
  get heartbeatIntervalMs(): number {
    if (this.isFullMesh) return Math.max(HEARTBEAT_MS, HEARTBEAT_MS_PER_BOX * this.countBoxes());
    return Math.max(SPARSE_HEARTBEAT_MS, SPARSE_HEARTBEAT_MS_PER_BOX * this.links.size);
  }

  /** Whether the fleet is small enough for every box to tell every other its loads. */
  get isFullMesh(): boolean {
    return this.directory.isFullMesh;
  }

  /** Peers that were heard lately. */
  listRecentlySeen(): KnownPeer[] {
    const leastMs = this.now() - this.lifeMs;
    return [...this.peers.values()].filter((peer) => peer.lastSeenAtMs >= leastMs);
  }

  /** Last heartbeats of the fresh peers to which a link is up and that are not down. */
  listReachable(): Heartbeat[] {
    return this.listRecentlySeen()
      .map((peer) => peer.heartbeat)
      .filter(({ address }) => this.links.isUp(address) && !this.detector.isDown(address));
  }

  /** Whether this box has heard of another one, or was told that there is none. */
  get hasJoinedFleet(): boolean {
    return this.peers.size > 0 || this.options.seeds.every((seed) => seed === this.ownAddress);
  }

  /** Boxes of the own hall that were heard of lately, up or not, this one left out. */
  listHallPeers(): string[] {
    const { hall } = this.options;
    return [...this.peers.values()]
      .filter(({ heartbeat }) => heartbeat.hall === hall)
      .map(({ heartbeat }) => heartbeat.address);
  }

  /** Boxes of the fleet, this one included, as far as it knows; seeds count even before they are heard. */
  countBoxes(): number {
    return this.directory.countBoxes();
  }

  /** Links that this box made or tries to make. */
  get linkCount(): number {
    return this.links.size;
  }

  /** Runs once a tick of the loop. */
  tick(): void {
    const nowMs = this.now();
    if (nowMs - this.maintainedAtMs >= MAINTAIN_MS) this.maintainLinks();
    if (!this.isFullMesh) this.apply(this.detector.tick(() => this.listHallLinks(), nowMs));
  }

  /** Sends a heartbeat to all peers, and what is due beside it. */
  broadcast(heartbeat: Heartbeat): void {
    this.maintainLinks();
    this.links.writeToAll(encodePeerFrame(heartbeat));
    this.heartbeatCount += 1;
    if (this.heartbeatCount % INTRODUCE_EVERY === 1) this.introduceToOne();
    if (this.heartbeatCount % SUMMARY_EVERY === 0 && !this.isFullMesh)
      this.tellSummary(this.directory.createSummary());
  }

  /** Sends a frame to the box at an address, if there is a link to it. */
  send(address: string, frame: PeerFrame): void {
    if (this.links.isUp(address)) this.links.write(address, encodePeerFrame(frame));
  }

  /** Sends a frame to those of some boxes to which there is a link; it is encoded once. */
  sendToEach(addresses: readonly string[], frame: PeerFrame): void {
    const packet = encodePeerFrame(frame);
    for (const address of addresses) this.links.write(address, packet);
  }

  /** Sends a frame to the peers of a hall. */
  sendToHall(hall: string, frame: PeerFrame): void {
    const packet = encodePeerFrame(frame);
    for (const { heartbeat } of this.peers.values()) {
      if (heartbeat.hall === hall) this.links.write(heartbeat.address, packet);
    }
  }

  /** Closes all links. */
  close(): void {
    this.links.close();
    this.options.transport.close();
  }

  /** How long a peer counts as heard: so many of its heartbeats may be missed. */
  private get lifeMs(): number {
    return (this.isFullMesh ? MISSED_HEARTBEATS : MISSED_SPARSE_HEARTBEATS) * this.heartbeatIntervalMs;
  }

  /** Boxes of the own hall to which a link is up, also those found to be down. */
  private listHallLinks(): string[] {
    return this.listHallPeers().filter((address) => this.links.isUp(address));
  }

  private maintainLinks(): void {
    if (this.ownAddress === '') return;
    const nowMs = this.now();
    this.maintainedAtMs = nowMs;
    this.forgetSilent(nowMs);
    this.links.maintain(new Set(this.directory.listLinkTargets()), this.lifeMs);
    if (this.isFullMesh) return;
    const summary = this.directory.createSummary();
    if (summarize(summary) !== this.toldSummary) this.tellSummary(summary);
    this.tellHallsIfNew();
  }

  /** Boxes that are replaced leave nothing behind; one that returns after so long is taken as a new one. */
  private forgetSilent(nowMs: number): void {
    for (const [address, peer] of this.peers) {
      if (nowMs - peer.lastSeenAtMs <= PEER_LIFE_MS) continue;
      this.peers.delete(address);
      this.detector.forget(address);
    }
  }

  /** A box of another hall learns at once who speaks for this one. */
  private createGreetings(address: string): PeerFrame[] {
    const heartbeat = this.handlers.createHeartbeat();
    if (this.isFullMesh || !this.directory.isInOtherHall(address)) return [heartbeat];
    const summary = this.directory.createSummary();
    return summary.addresses.includes(this.ownAddress) ? [heartbeat, summary] : [heartbeat];
  }

  private introduceToOne(): void {
    const peers = this.listReachable();
    const peer = peers[Math.floor(this.options.random() * peers.length)];
    if (peer !== undefined) this.send(peer.address, this.directory.createIntroduction(peer.hall));
  }

  /** Those that speak for a hall, or may have to, tell the other halls how many its boxes are and who speaks. */
  private tellSummary(summary: HallSummary): void {
    this.toldSummary = summarize(summary);
    if (!summary.addresses.includes(this.ownAddress)) return;
    for (const { heartbeat } of this.peers.values()) {
      if (heartbeat.hall !== this.options.hall) this.send(heartbeat.address, summary);
    }
  }

  /** The first box of a hall tells the others what is new of the other halls. */
  private tellHallsIfNew(): void {
    const nowMs = this.now();
    const { hallsRevision } = this.directory;
    if (hallsRevision === this.toldHallsRevision || nowMs - this.toldHallsAtMs < TELL_HALLS_MS) return;
    if (this.directory.findPosition() !== 0) return;
    this.toldHallsAtMs = nowMs;
    this.toldHallsRevision = hallsRevision;
    const { hall } = this.options;
    this.sendToHall(hall, this.directory.createIntroduction(hall));
  }

  private acceptLink(connection: PeerConnection): ConnectionEvents {
    const answer = (frame: PeerFrame): void => connection.write(encodePeerFrame(frame));
    let isFirst = true;
    return {
      onUp: () => {},
      onFrame: (frame) => {
        this.handleFrame(frame, answer);
        if (frame.type === 'heartbeat') this.answerHeartbeat(frame, answer, isFirst);
        isFirst = false;
      },
      onProblem: (problem) => this.handlers.onProblem(problem),
      onClosed: () => {},
    };
  }

  /** Who joins, or knows of fewer boxes, is told who is there; not every box starts with a seed that lives. */
  private answerHeartbeat(heartbeat: Heartbeat, answer: Answer, isFirst: boolean): void {
    const nowMs = this.now();
    const isBehind = heartbeat.boxes < this.countBoxes() && nowMs - this.introducedAtMs >= TELL_MS;
    if (!isFirst && !isBehind) return answer({ type: 'heartbeatHeard' });
    this.introducedAtMs = nowMs;
    answer(this.directory.createIntroduction(heartbeat.hall));
  }

  /** @param answer sends a frame back on the connection on which this one came */
  private handleFrame(frame: PeerFrame, answer: Answer): void {
    this.handlers.onFrameRead(frame.type);
    if (isMembershipFrame(frame)) return this.handleMembership(frame, answer);
    if (frame.type === 'heartbeat') this.noteHeartbeat(frame, answer);
    this.handlers.onFrame(frame);
  }

  private handleMembership(frame: MembershipFrame, answer: Answer): void {
    const nowMs = this.now();
    switch (frame.type) {
      case 'heartbeatHeard':
        // Counts for the link that it came on, which has noted it.
        return;
      case 'introduction':
        this.directory.handleIntroduction(frame);
        return this.maintainLinks();
      case 'hallSummary':
        return this.directory.handleSummary(frame);
      case 'probe':
        answer(this.detector.answerProbe(frame));
        return this.apply(this.detector.recordIncarnation(frame.address, frame.incarnation));
      case 'probeHeard':
        return this.apply(this.detector.handleProbeAck(frame, nowMs));
      case 'probeRequest':
        return this.apply(this.detector.handleProbeRequest(frame, nowMs));
      case 'boxDown':
        return this.apply(this.detector.handleBoxDown(frame));
      case 'boxUp':
        return this.apply(this.detector.recordIncarnation(frame.address, frame.incarnation));
    }
  }

  private noteHeartbeat(heartbeat: Heartbeat, answer: Answer): void {
    const { address, incarnation } = heartbeat;
    const before = this.peers.get(address)?.heartbeat.incarnation ?? incarnation;
    this.directory.markSeen(heartbeat);
    this.peers.set(address, { heartbeat, lastSeenAtMs: this.now() });
    this.apply(this.detector.recordIncarnation(address, incarnation));
    const accusation = this.detector.findDownReport(address);
    if (accusation !== undefined) answer(accusation);
    // A peer that started again is there before the next attempt to reach it, and has no use for a link to its past.
    if (incarnation > before) this.links.reconnect(address);
    else this.links.redialNow(address);
  }

  private apply(effects: readonly DetectorEffect[]): void {
    for (const effect of effects) {
      switch (effect.type) {
        case 'send':
          this.send(effect.to, effect.frame);
          break;
        case 'sendToHall':
          this.sendToHall(this.options.hall, effect.frame);
          break;
        case 'down':
          this.handlers.onStateChange(effect.address, 'down', effect.because);
          break;
        case 'up':
          this.handlers.onStateChange(effect.address, 'up', 'newer life');
          break;
        case 'reconnectLink':
          this.links.reconnect(effect.address);
          break;
      }
    }
  }
}

function summarize(summary: HallSummary): string {
  return [summary.boxes, ...summary.addresses].join();
}
