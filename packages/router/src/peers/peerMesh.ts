/**
 * Links to the other boxes. A box sends on its outgoing links and receives on the links that it has accepted; a response
 * is sent on the link on which its request was received. The directory decides to which boxes a link is needed, the
 * failure detector which boxes are down.
 */
import type { Problem } from '@hazelwalk/core';
import type { DetectorEffect } from '../membership/failureDetector.js';
import { FailureDetector } from '../membership/failureDetector.js';
import { FleetDirectory } from '../membership/fleetDirectory.js';
import type { TunnelPeer } from '../tunnels/tunnelCandidates.js';
import type { KnownPeer } from './knownPeers.js';
import { KnownPeers } from './knownPeers.js';
import { MembershipUpdates } from './membershipUpdates.js';
import type { Heartbeat, MembershipFrame, PeerFrame, RouterFrame } from './peerFrames.js';
import { encodePeerFrame } from './peerFrameCodec.js';
import { isMembershipFrame, isTunnelFrame } from './peerFrames.js';
import { PeerLinks } from './peerLinks.js';
import type { ConnectionEvents, PeerConnection, PeerTransport } from './peerTransport.js';

/** Minimum interval between heartbeats in a small fleet. */
const HEARTBEAT_MS = 300;
/** Interval per box of the fleet: heartbeats become rarer as it grows, so that a box's control traffic does not grow. */
const HEARTBEAT_MS_PER_BOX = 30;
/** Interval between the less frequent heartbeats of a larger fleet: per link, and its minimum. */
const SPARSE_HEARTBEAT_MS_PER_BOX = 60;
const SPARSE_HEARTBEAT_MS = 5_000;
/** Missed heartbeats after which the load of a peer no longer counts and the link to it is reconnected. */
const MISSED_HEARTBEATS = 8;
const MISSED_SPARSE_HEARTBEATS = 3;
/** Interval at which links are connected and dropped, unless a received frame requires it at once. */
const MAINTAIN_MS = 250;

/** Callbacks of the mesh. */
export interface PeerMeshHandlers {
  /** Creates the first heartbeat on a new link. */
  readonly createHeartbeat: () => Heartbeat;
  /** Called for every frame that is received. */
  readonly onFrameRead: (type: PeerFrame['type']) => void;
  /** Called for heartbeats and for frames that are not about membership; `reply` answers on the same connection. */
  readonly onFrame: (frame: RouterFrame, reply: Reply) => void;
  readonly onProblem: (problem: Problem) => void;
  /** Called when a box of the own hall is found to be down, and when it is up again. */
  readonly onStateChange: (address: string, state: 'down' | 'up', reason: string) => void;
}

/** Dependencies and settings of the mesh. */
export interface PeerMeshOptions {
  readonly hall: string;
  readonly seeds: readonly string[];
  readonly transport: PeerTransport;
  readonly now: () => number;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
  /** Rank of an address, the same at all boxes, so that they agree on the aggregators of a hall. */
  readonly rank: (address: string) => number;
  /** Incarnation number at the start of this process, greater than those of earlier runs of the box. */
  readonly firstIncarnation: number;
}

/** Sends a frame back on the connection on which another one was received. */
export type Reply = (frame: PeerFrame) => void;

/** The links, known peers and failure detection of one box. */
export class PeerMesh {
  private readonly peers = new KnownPeers();
  private readonly directory: FleetDirectory;
  private readonly detector: FailureDetector;
  private readonly links: PeerLinks;
  private readonly updates: MembershipUpdates;
  private readonly now: () => number;
  private ownAddress = '';
  private maintainedAtMs = -Infinity;

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
      createInitialFrames: (address) => this.createInitialFrames(address),
      onFrame: (frame, reply) => this.handleFrame(frame, reply),
      onProblem: (problem) => handlers.onProblem(problem),
      isLikelyReachable: (address) => this.directory.isLikelyReachable(address),
    });
    this.updates = new MembershipUpdates({
      hall,
      directory: this.directory,
      peers: this.peers,
      now,
      random,
      readAddress: () => this.ownAddress,
      listReachable: () => this.listReachable(),
      send: (address, frame) => this.send(address, frame),
      sendToOwnHall: (frame) => this.sendToHall(hall, frame),
    });
  }

  /** Binds the listener. Rejects if the address is in use. */
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

  /** Incarnation number of this box. */
  get incarnation(): number {
    return this.detector.incarnation;
  }

  /** Time between two heartbeats. */
  get heartbeatIntervalMs(): number {
    if (this.isFullMesh) return Math.max(HEARTBEAT_MS, HEARTBEAT_MS_PER_BOX * this.countBoxes());
    return Math.max(SPARSE_HEARTBEAT_MS, SPARSE_HEARTBEAT_MS_PER_BOX * this.links.size);
  }

  /** Whether the fleet is small enough for every box to link to every other box and to send it its loads. */
  get isFullMesh(): boolean {
    return this.directory.isFullMesh;
  }

  /** Peers whose last heartbeat is recent. */
  listRecentlySeen(): KnownPeer[] {
    return this.peers.listSeenSince(this.now() - this.heartbeatTimeoutMs);
  }

  /** Last heartbeats of the recently seen peers to which a link is up and that are not down. */
  listReachable(): Heartbeat[] {
    return this.listRecentlySeen()
      .map((peer) => peer.heartbeat)
      .filter(({ address }) => this.links.isUp(address) && !this.detector.isDown(address));
  }

  /**
   * Boxes that may serve tunnels: reachable peers whose heartbeats state it, and contacts in other halls of a large fleet, from
   * which this box gets no heartbeats.
   */
  listTunnelPeers(): TunnelPeer[] {
    const peers = this.listReachable()
      .filter(({ servesTunnels = false }) => servesTunnels)
      .map(({ address, hall, isStopping }): TunnelPeer => {
        return { address, hall, availability: isStopping ? 'stopping' : 'serving' };
      });
    if (this.isFullMesh) return peers;
    const contacts = this.directory
      .listContacts()
      .filter(({ address }) => this.peers.findIncarnation(address) === undefined)
      .map((contact): TunnelPeer => ({ ...contact, availability: 'unknown' }));
    return [...peers, ...contacts];
  }

  /** Whether this box has received a heartbeat of a peer, or its seeds name no other box. */
  get hasJoinedFleet(): boolean {
    return this.peers.size > 0 || this.options.seeds.every((seed) => seed === this.ownAddress);
  }

  /** Addresses of the known peers of the own hall, whether up or down. */
  listHallPeers(): string[] {
    return this.peers.listHall(this.options.hall);
  }

  /** Names of the known halls other than the own one, also of those that are cut off. */
  listOtherHalls(): string[] {
    return this.directory.listHalls().filter((hall) => hall !== this.options.hall);
  }

  /** Number of known boxes of the fleet, including this one; seeds count even before their first heartbeat. */
  countBoxes(): number {
    return this.directory.countBoxes();
  }

  /** Number of outgoing links, including those that are not up yet. */
  get linkCount(): number {
    return this.links.size;
  }

  /** Runs once per tick of the loop. */
  tick(): void {
    const nowMs = this.now();
    if (nowMs - this.maintainedAtMs >= MAINTAIN_MS) this.maintainLinks();
    if (!this.isFullMesh) this.apply(this.detector.tick(() => this.listHallLinks(), nowMs));
  }

  /** Sends a heartbeat to all peers, and an introduction or a summary when one is due. */
  broadcast(heartbeat: Heartbeat): void {
    this.maintainLinks();
    this.links.writeToAll(encodePeerFrame(heartbeat));
    this.updates.handleHeartbeatSent();
  }

  /** Sends a frame to the box at an address, if a link to it is up. */
  send(address: string, frame: PeerFrame): void {
    if (this.links.isUp(address)) this.links.write(address, encodePeerFrame(frame));
  }

  /** Sends a frame to those of the given boxes to which a link is up; the frame is encoded once. */
  sendToEach(addresses: readonly string[], frame: PeerFrame): void {
    const packet = encodePeerFrame(frame);
    for (const address of addresses) this.links.write(address, packet);
  }

  /** Sends a frame to the peers of a hall. */
  sendToHall(hall: string, frame: PeerFrame): void {
    const packet = encodePeerFrame(frame);
    for (const address of this.peers.listHall(hall)) this.links.write(address, packet);
  }

  /** Closes all links. */
  close(): void {
    this.links.close();
    this.options.transport.close();
  }

  /** Time without a heartbeat after which a peer no longer counts as recently seen. */
  private get heartbeatTimeoutMs(): number {
    return (this.isFullMesh ? MISSED_HEARTBEATS : MISSED_SPARSE_HEARTBEATS) * this.heartbeatIntervalMs;
  }

  /** Boxes of the own hall to which a link is up, including those found to be down. */
  private listHallLinks(): string[] {
    return this.listHallPeers().filter((address) => this.links.isUp(address));
  }

  private maintainLinks(): void {
    if (this.ownAddress === '') return;
    const nowMs = this.now();
    this.maintainedAtMs = nowMs;
    for (const address of this.peers.forgetSilent(nowMs)) this.detector.forget(address);
    this.links.maintain(new Set(this.directory.listLinkTargets()), this.heartbeatTimeoutMs);
    if (!this.isFullMesh) this.updates.sendChanged();
  }

  /** First frames on a new link. */
  private createInitialFrames(address: string): PeerFrame[] {
    return [this.handlers.createHeartbeat(), ...this.updates.listInitialSummaries(address)];
  }

  private acceptLink(connection: PeerConnection): ConnectionEvents {
    const reply = (frame: PeerFrame): void => connection.write(encodePeerFrame(frame));
    let isFirst = true;
    return {
      onUp: () => {},
      onFrame: (frame) => {
        this.handleFrame(frame, reply);
        if (frame.type === 'heartbeat') reply(this.updates.createReply(frame, isFirst));
        isFirst = false;
      },
      onProblem: (problem) => this.handlers.onProblem(problem),
      onClosed: () => {},
    };
  }

  /** @param reply sends a frame back on the connection on which this one was received */
  private handleFrame(frame: PeerFrame, reply: Reply): void {
    this.handlers.onFrameRead(frame.type);
    if (isMembershipFrame(frame)) return this.handleMembership(frame, reply);
    // Tunnels have connections of their own; on a link such a frame has no meaning.
    if (isTunnelFrame(frame)) return;
    if (frame.type === 'heartbeat') this.recordHeartbeat(frame, reply);
    this.handlers.onFrame(frame, reply);
  }

  private handleMembership(frame: MembershipFrame, reply: Reply): void {
    const nowMs = this.now();
    switch (frame.type) {
      case 'heartbeatHeard':
        // Nothing to do: the link on which it was received has already recorded it.
        return;
      case 'introduction':
        this.directory.handleIntroduction(frame);
        return this.maintainLinks();
      case 'hallSummary':
        return this.directory.handleSummary(frame);
      case 'probe':
        reply(this.detector.answerProbe(frame));
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

  private recordHeartbeat(heartbeat: Heartbeat, reply: Reply): void {
    const { address, incarnation } = heartbeat;
    const previousIncarnation = this.peers.findIncarnation(address) ?? incarnation;
    this.directory.markSeen(heartbeat);
    this.peers.record(heartbeat, this.now());
    this.apply(this.detector.recordIncarnation(address, incarnation));
    const downReport = this.detector.findDownReport(address);
    if (downReport !== undefined) reply(downReport);
    // The peer is reachable now, so the next attempt to connect is not awaited. If it has restarted, the link to its
    // previous incarnation is dead.
    if (incarnation > previousIncarnation) this.links.reconnect(address);
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
          this.handlers.onStateChange(effect.address, 'down', effect.reason);
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
