/** The links that a box made: kept to the addresses that it needs, made anew where they are missing or stuck. */
import type { PeerFrame } from './peerFrames.js';
import { encodePeerFrame } from './peerFrameCodec.js';
import type { ConnectionEvents, PeerConnection, PeerTransport } from './peerTransport.js';

/** Pace of attempts to reach a peer that was heard lately. */
const REDIAL_MS = 1_000;
/** The same for a box that reaches nobody yet: it may have started a moment before its seeds. */
const LONE_REDIAL_MS = 200;
/** Pace of attempts to reach one that was not: a hall that was cut off for long is found again within this. */
const SLOW_REDIAL_MS = 15_000;
/** A link that is not needed is kept for a moment: needs change while boxes find each other. */
const SPARE_LINK_MS = 2_000;
/** A link that takes no bytes for so many unsent ones is stuck. */
const MAX_UNSENT_BYTES = 262_144;

interface PeerLink {
  readonly address: string;
  connection: PeerConnection | undefined;
  readonly neededAtMs: number;
  dialledAtMs: number;
  /** When the peer last said anything on this link: it only answers there. */
  confirmedAtMs: number;
}

/** What the links need to know. */
export interface PeerLinksOptions {
  readonly transport: PeerTransport;
  readonly now: () => number;
  /** What to send on a link that just came up. */
  readonly createInitialFrames: (address: string) => readonly PeerFrame[];
  /** A frame came on a link. */
  readonly onFrame: (frame: PeerFrame, answer: (frame: PeerFrame) => void) => void;
  readonly onProblem: ConnectionEvents['onProblem'];
  /** Whether an address is worth an attempt at the fast pace. */
  readonly isLikelyReachable: (address: string) => boolean;
}

/** All links that one box made. */
export class PeerLinks {
  private readonly links = new Map<string, PeerLink>();
  private isClosed = false;

  constructor(private readonly options: PeerLinksOptions) {}

  /** Addresses to which there is, or should be, a link. */
  get size(): number {
    return this.links.size;
  }

  /** Whether a link to an address is up. */
  isUp(address: string): boolean {
    return this.links.get(address)?.connection?.isUp === true;
  }

  /**
   * Makes the links that are needed and missing, and drops those that are not needed or stuck.
   *
   * @param lifeMs a link on which the peer said nothing for so long is stuck
   */
  maintain(wanted: ReadonlySet<string>, lifeMs: number): void {
    if (this.isClosed) return;
    const nowMs = this.options.now();
    for (const address of wanted) if (!this.links.has(address)) this.add(address);
    for (const link of this.links.values()) {
      if (!wanted.has(link.address)) this.dropIfSpare(link, nowMs);
      else if (link.connection === undefined) this.redialIfDue(link, nowMs);
      else if (isStuck(link, link.connection, nowMs, lifeMs)) this.breakLink(link);
    }
  }

  /** Tries at once to reach a peer that was just heard, unless a link to it is up or under way. */
  redialNow(address: string): void {
    const link = this.links.get(address);
    if (link !== undefined && link.connection === undefined) this.dial(link);
  }

  /** Makes the link to an address anew: it may have gone silent. */
  reconnect(address: string): void {
    const link = this.links.get(address);
    if (link === undefined) return;
    this.breakLink(link);
    this.dial(link);
  }

  /** Sends an encoded frame, if the link to the address is up. */
  write(address: string, packet: Buffer): void {
    const link = this.links.get(address);
    const connection = link?.connection;
    if (link === undefined || connection?.isUp !== true) return;
    if (connection.unsentBytes > MAX_UNSENT_BYTES) this.breakLink(link);
    else connection.write(packet);
  }

  /** Sends an encoded frame on all links. */
  writeToAll(packet: Buffer): void {
    for (const address of this.links.keys()) this.write(address, packet);
  }

  /** Ends all links. */
  close(): void {
    this.isClosed = true;
    for (const link of this.links.values()) link.connection?.destroy();
  }

  private add(address: string): void {
    const link: PeerLink = {
      address,
      connection: undefined,
      neededAtMs: this.options.now(),
      dialledAtMs: -Infinity,
      confirmedAtMs: -Infinity,
    };
    this.links.set(address, link);
    this.dial(link);
  }

  private dropIfSpare(link: PeerLink, nowMs: number): void {
    if (nowMs - link.neededAtMs < SPARE_LINK_MS) return;
    this.links.delete(link.address);
    this.breakLink(link);
  }

  private redialIfDue(link: PeerLink, nowMs: number): void {
    if (nowMs - link.dialledAtMs >= this.readPaceMs(link.address)) this.dial(link);
  }

  private readPaceMs(address: string): number {
    if (!this.options.isLikelyReachable(address)) return SLOW_REDIAL_MS;
    const isAlone = ![...this.links.values()].some((link) => link.connection?.isUp === true);
    return isAlone ? LONE_REDIAL_MS : REDIAL_MS;
  }

  private breakLink(link: PeerLink): void {
    const { connection } = link;
    link.connection = undefined;
    connection?.destroy();
  }

  private dial(link: PeerLink): void {
    if (this.isClosed) return;
    const { transport, createInitialFrames: createGreetings, onFrame, onProblem, now } = this.options;
    link.dialledAtMs = now();
    const connection: PeerConnection = transport.connect(link.address, {
      onUp: () => {
        for (const frame of createGreetings(link.address)) connection.write(encodePeerFrame(frame));
      },
      onFrame: (frame) => {
        link.confirmedAtMs = now();
        onFrame(frame, (answer) => connection.write(encodePeerFrame(answer)));
      },
      onProblem,
      onClosed: () => {
        if (link.connection === connection) link.connection = undefined;
      },
    });
    link.connection = connection;
  }
}

function isStuck(link: PeerLink, connection: PeerConnection, nowMs: number, lifeMs: number): boolean {
  const ageMs = nowMs - link.dialledAtMs;
  if (!connection.isUp) return ageMs >= REDIAL_MS;
  // An open link on which nothing is confirmed is stuck behind a cut, or went silent while others to this peer work.
  return ageMs >= lifeMs && nowMs - link.confirmedAtMs >= lifeMs;
}
