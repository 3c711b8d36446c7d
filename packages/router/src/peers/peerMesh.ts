/**
 * Links to the other boxes. Each box sends on the links it made and hears on those made to it. Boxes find each other
 * from a few seed addresses: heartbeats carry the addresses that their sender knows.
 */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { Problem } from '@hazelwalk/core';
import type { Heartbeat, PeerFrame } from './peerFrames.js';
import { encodePeerFrame, PeerFrameReader } from './peerFrames.js';

/** Pace of heartbeats in a small fleet. */
const HEARTBEAT_MS = 300;
/** Heartbeats slow down with the boxes that get them, so that a box's control traffic does not grow with the fleet. */
const HEARTBEAT_MS_PER_BOX = 30;
/** In a larger fleet heartbeats only say that a box is there and what it knows; loads travel by `LoadRelay`. */
const MAX_FLAT_BOXES = 16;
/** Pace of these sparse heartbeats, for each box and at least: a broken link says sooner that a box is gone. */
const SPARSE_HEARTBEAT_MS_PER_BOX = 60;
const SPARSE_HEARTBEAT_MS = 5_000;
/** A peer that missed so many heartbeats no longer counts its load, and its link is made anew. */
const MISSED_HEARTBEATS = 8;
const MISSED_SPARSE_HEARTBEATS = 3;
/**
 * A peer unheard for this long no longer counts as a box of the fleet. Longer than halls are cut off from each other
 * for a moment: the retry budget is shared by all boxes, also by those that cannot be heard.
 */
const MEMBER_LIFE_MS = 120_000;
/** An address that gave no sign for this long is forgotten. */
const ADDRESS_LIFE_MS = 30_000;
/** Pace of attempts to reach a peer. */
const REDIAL_MS = 1_000;
/** A link that takes no bytes for so many unsent ones is stuck. */
const MAX_UNSENT_BYTES = 262_144;
/** Every so many heartbeats one peer is told the known addresses, also if it knows as many others. */
const ADDRESSES_EVERY = 8;
/** One peer that knows fewer boxes is told the addresses in this time: news spread in seconds and cost little. */
const TELL_MS = 300;

const HEARTBEAT_HEARD = encodePeerFrame({ type: 'heartbeatHeard' });

interface PeerLink {
  readonly address: string;
  socket: Socket | undefined;
  dialledAtMs: number;
  /** When the peer was last heard, on whatever link. */
  heardAtMs: number;
  /** When the peer last confirmed a heartbeat on this link. */
  confirmedAtMs: number;
}

/** What the mesh tells. */
export interface PeerMeshHandlers {
  /** What to say on a link that just came up. */
  readonly createHeartbeat: () => Heartbeat;
  readonly onFrame: (frame: PeerFrame) => void;
  readonly onProblem: (problem: Problem) => void;
}

/** What is known of a peer that sent a heartbeat. */
export interface PeerState {
  readonly heartbeat: Heartbeat;
  readonly heardAtMs: number;
}

/** All links of one box. */
export class PeerMesh {
  private readonly server: Server;
  private readonly links = new Map<string, PeerLink>();
  private readonly peers = new Map<string, PeerState>();
  private readonly accepted = new Set<Socket>();
  private heartbeatCount = 0;
  private ownAddress = '';
  private readonly seedCount: number;
  /** Others come to this box first to learn of the fleet. */
  private isSeed = false;
  private toldAddressesAtMs = -Infinity;
  private isClosed = false;

  constructor(
    seeds: readonly string[],
    private readonly handlers: PeerMeshHandlers,
    private readonly now: () => number,
  ) {
    this.server = createServer((socket) => this.acceptLink(socket));
    this.seedCount = seeds.length;
    for (const seed of seeds) this.learnAddress(seed);
  }

  /** Binds the listener. Rejects if the address is taken. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        this.server.off('error', reject);
        this.ownAddress = `${host}:${(this.server.address() as AddressInfo).port}`;
        this.forgetOwnAddress();
        resolve();
      });
    });
  }

  /** Address at which this box accepts peers; empty before it is bound. */
  get address(): string {
    return this.ownAddress;
  }

  /** Time between two heartbeats. */
  get paceMs(): number {
    const boxes = this.countBoxes();
    if (this.isFlat) return Math.max(HEARTBEAT_MS, HEARTBEAT_MS_PER_BOX * boxes);
    return Math.max(SPARSE_HEARTBEAT_MS, SPARSE_HEARTBEAT_MS_PER_BOX * boxes);
  }

  /** Whether the fleet is small enough for every box to tell every other its loads. */
  get isFlat(): boolean {
    return this.countBoxes() <= MAX_FLAT_BOXES;
  }

  /** Peers that were heard lately. */
  listFresh(): PeerState[] {
    const leastMs = this.now() - this.lifeMs;
    return [...this.peers.values()].filter((peer) => peer.heardAtMs >= leastMs);
  }

  /** Last heartbeats of the fresh peers to which a link is up. */
  listLinked(): Heartbeat[] {
    return this.listFresh()
      .map((peer) => peer.heartbeat)
      .filter((heartbeat) => isUp(this.links.get(heartbeat.address)));
  }

  /** Boxes of the fleet, this one included, as far as it knows; seeds count even before they are heard. */
  countBoxes(): number {
    const leastMs = this.now() - MEMBER_LIFE_MS;
    let count = 1;
    for (const peer of this.peers.values()) if (peer.heardAtMs >= leastMs) count += 1;
    return Math.max(count, this.seedCount);
  }

  /** Sends a heartbeat to all peers. Now and then one of them is told the known addresses: news of a box spread so. */
  broadcast(heartbeat: Heartbeat): void {
    this.dialMissing();
    const packet = encodePeerFrame(heartbeat);
    for (const link of this.links.values()) this.write(link, packet);
    this.heartbeatCount += 1;
    if (this.heartbeatCount % ADDRESSES_EVERY === 1) this.tellAddresses(heartbeat);
  }

  /** Sends a frame to the box at an address. */
  send(address: string, frame: PeerFrame): void {
    const link = this.links.get(address);
    if (link !== undefined) this.write(link, encodePeerFrame(frame));
  }

  /** Sends a frame to the peers of a hall. */
  sendToHall(hall: string, frame: PeerFrame): void {
    const packet = encodePeerFrame(frame);
    for (const { heartbeat } of this.peers.values()) {
      const link = this.links.get(heartbeat.address);
      if (heartbeat.hall === hall && link !== undefined) this.write(link, packet);
    }
  }

  /** Closes all links. */
  close(): void {
    this.isClosed = true;
    this.server.close();
    for (const link of this.links.values()) link.socket?.destroy();
    for (const socket of this.accepted) socket.destroy();
  }

  private tellAddresses(heartbeat: Heartbeat): void {
    const links = [...this.links.values()];
    const link = links[Math.floor(Math.random() * links.length)];
    if (link !== undefined) this.write(link, encodePeerFrame(this.addAddresses(heartbeat)));
  }

  /** Not every box starts with a seed that lives; whoever knows more helps. */
  private tellIfBehind(heartbeat: Heartbeat): void {
    const nowMs = this.now();
    if (heartbeat.boxes >= this.countBoxes() || nowMs - this.toldAddressesAtMs < TELL_MS) return;
    const link = this.links.get(heartbeat.address);
    if (link === undefined || !isUp(link)) return;
    this.toldAddressesAtMs = nowMs;
    this.write(link, encodePeerFrame(this.addAddresses(this.handlers.createHeartbeat())));
  }

  private addAddresses(heartbeat: Heartbeat): Heartbeat {
    return { ...heartbeat, knownAddresses: [...this.links.keys()] };
  }

  /** How long a peer counts as heard: so many of its heartbeats may be missed. */
  private get lifeMs(): number {
    return (this.isFlat ? MISSED_HEARTBEATS : MISSED_SPARSE_HEARTBEATS) * this.paceMs;
  }

  private write(link: PeerLink, packet: Buffer): void {
    const { socket } = link;
    if (socket === undefined || !isUp(link)) return;
    if (socket.writableLength > MAX_UNSENT_BYTES) return void socket.destroy();
    socket.write(packet);
  }

  /** Seeds may name this box itself. */
  private forgetOwnAddress(): void {
    this.isSeed = this.links.delete(this.ownAddress);
  }

  private learnAddress(address: string): void {
    if (address === this.ownAddress || this.links.has(address)) return;
    const link: PeerLink = {
      address,
      socket: undefined,
      dialledAtMs: -Infinity,
      heardAtMs: this.now(),
      confirmedAtMs: -Infinity,
    };
    this.links.set(address, link);
    if (this.ownAddress !== '') this.dial(link);
  }

  private dialMissing(): void {
    const nowMs = this.now();
    // Counts all peers, so it is read once and not for each link.
    const { lifeMs } = this;
    for (const link of this.links.values()) {
      if (nowMs - link.heardAtMs > ADDRESS_LIFE_MS) this.forget(link);
      else if (link.socket === undefined && nowMs - link.dialledAtMs >= REDIAL_MS) this.dial(link);
      else if (isStuck(link, nowMs, lifeMs)) link.socket?.destroy();
    }
  }

  private forget(link: PeerLink): void {
    this.links.delete(link.address);
    link.socket?.destroy();
  }

  private dial(link: PeerLink): void {
    if (this.isClosed) return;
    const colon = link.address.lastIndexOf(':');
    const socket = connect({
      host: link.address.slice(0, colon),
      port: Number(link.address.slice(colon + 1)),
      noDelay: true,
    });
    link.dialledAtMs = this.now();
    link.socket = socket;
    // A box that just started learns at once what its peers know, and from the seeds who they are.
    socket.on('connect', () => {
      const heartbeat = this.handlers.createHeartbeat();
      socket.write(encodePeerFrame(this.isSeed ? this.addAddresses(heartbeat) : heartbeat));
    });
    // An error is always followed by `close`, after which the link is dialled again.
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      if (link.socket === socket) link.socket = undefined;
    });
    // The peer only confirms on this link: whatever comes does.
    socket.on('data', () => (link.confirmedAtMs = this.now()));
  }

  private acceptLink(socket: Socket): void {
    const reader = new PeerFrameReader();
    this.accepted.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.accepted.delete(socket));
    socket.on('data', (chunk: Buffer) => {
      const frames = reader.push(chunk);
      if (frames.err) {
        this.handlers.onProblem(frames.val);
        socket.destroy();
        return;
      }
      for (const frame of frames.val) this.handleFrame(frame);
      if (frames.val.some((frame) => frame.type === 'heartbeat')) socket.write(HEARTBEAT_HEARD);
    });
  }

  private handleFrame(frame: PeerFrame): void {
    if (frame.type === 'heartbeat') this.noteHeartbeat(frame);
    this.handlers.onFrame(frame);
  }

  private noteHeartbeat(heartbeat: Heartbeat): void {
    const nowMs = this.now();
    this.learnAddress(heartbeat.address);
    const link = this.links.get(heartbeat.address);
    if (link !== undefined) {
      link.heardAtMs = nowMs;
      // A peer that started again is there before the next attempt to reach it would be due.
      if (link.socket === undefined) this.dial(link);
    }
    this.peers.set(heartbeat.address, { heartbeat, heardAtMs: nowMs });
    this.tellIfBehind(heartbeat);
    for (const address of heartbeat.knownAddresses ?? []) this.learnAddress(address);
  }
}

function isUp(link: PeerLink | undefined): boolean {
  const socket = link?.socket;
  return socket !== undefined && !socket.connecting && !socket.destroyed;
}

function isStuck(link: PeerLink, nowMs: number, lifeMs: number): boolean {
  const { socket } = link;
  if (socket === undefined) return false;
  const ageMs = nowMs - link.dialledAtMs;
  if (socket.connecting) return ageMs >= REDIAL_MS;
  // An open link on which nothing is confirmed is stuck behind a cut, or went silent while others to this peer work.
  return ageMs >= lifeMs && nowMs - link.confirmedAtMs >= lifeMs;
}
