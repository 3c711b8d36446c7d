/** Outgoing links of a box: one to each address that it needs, reconnected where it is missing or stuck. */
import type { PeerFrame } from './peerFrames.js';
import { encodePeerFrame } from './peerFrameCodec.js';
import type { ConnectionEvents, PeerConnection, PeerTransport } from './peerTransport.js';

/** Interval between attempts to connect to a peer that was recently seen by this box or mentioned by another. */
const REDIAL_MS = 1_000;
/** The same interval while no link is up: this box may have started a moment before its seeds. */
const ISOLATED_REDIAL_MS = 200;
/** Interval for any other peer. A hall that was cut off for long is reconnected within this time. */
const SLOW_REDIAL_MS = 15_000;
/** A link is kept at least this long even if it is not needed: needs change while boxes discover each other. */
const MIN_LINK_AGE_MS = 2_000;
/** A link with more unsent bytes than this is stuck. */
const MAX_UNSENT_BYTES = 262_144;

interface PeerLink {
  readonly address: string;
  connection: PeerConnection | undefined;
  readonly addedAtMs: number;
  dialledAtMs: number;
  /** When a frame was last received on this link. The peer sends only responses on it. */
  lastReceivedAtMs: number;
}

/** Dependencies and callbacks of the links. */
export interface PeerLinksOptions {
  readonly transport: PeerTransport;
  readonly now: () => number;
  /** Creates the first frames to send on a new link. */
  readonly createInitialFrames: (address: string) => readonly PeerFrame[];
  /** Called for each received frame; `reply` sends a frame back on the same link. */
  readonly onFrame: (frame: PeerFrame, reply: (frame: PeerFrame) => void) => void;
  readonly onProblem: ConnectionEvents['onProblem'];
  /** Whether the box at an address was recently seen or mentioned, so that connecting is retried at the short interval. */
  readonly isLikelyReachable: (address: string) => boolean;
}

/** All outgoing links of one box. */
export class PeerLinks {
  private readonly links = new Map<string, PeerLink>();
  private isClosed = false;

  constructor(private readonly options: PeerLinksOptions) {}

  /** Number of addresses to which a link is up or should be. */
  get size(): number {
    return this.links.size;
  }

  /** Whether a link to an address is up. */
  isUp(address: string): boolean {
    return this.links.get(address)?.connection?.isUp === true;
  }

  /**
   * Connects the links that are needed and missing, and closes those that are not needed or stuck.
   *
   * @param silenceTimeoutMs a link on which nothing was received for this long is stuck
   */
  maintain(needed: ReadonlySet<string>, silenceTimeoutMs: number): void {
    if (this.isClosed) return;
    const nowMs = this.options.now();
    for (const address of needed) if (!this.links.has(address)) this.add(address);
    for (const link of this.links.values()) {
      if (!needed.has(link.address)) this.dropIfUnneeded(link, nowMs);
      else if (link.connection === undefined) this.redialIfDue(link, nowMs);
      else if (isStuck(link, link.connection, nowMs, silenceTimeoutMs)) this.closeLink(link);
    }
  }

  /** Connects at once to a peer that was just seen, unless a link to it is up or connecting. */
  redialNow(address: string): void {
    const link = this.links.get(address);
    if (link !== undefined && link.connection === undefined) this.dial(link);
  }

  /** Closes the link to an address and connects again, because the link may have gone silent. */
  reconnect(address: string): void {
    const link = this.links.get(address);
    if (link === undefined) return;
    this.closeLink(link);
    this.dial(link);
  }

  /** Sends an encoded frame if the link to the address is up; closes the link if too many bytes are unsent. */
  write(address: string, packet: Buffer): void {
    const link = this.links.get(address);
    const connection = link?.connection;
    if (link === undefined || connection?.isUp !== true) return;
    if (connection.unsentBytes > MAX_UNSENT_BYTES) this.closeLink(link);
    else connection.write(packet);
  }

  /** Sends an encoded frame on all links. */
  writeToAll(packet: Buffer): void {
    for (const address of this.links.keys()) this.write(address, packet);
  }

  /** Closes all links. */
  close(): void {
    this.isClosed = true;
    for (const link of this.links.values()) link.connection?.destroy();
  }

  private add(address: string): void {
    const link: PeerLink = {
      address,
      connection: undefined,
      addedAtMs: this.options.now(),
      dialledAtMs: -Infinity,
      lastReceivedAtMs: -Infinity,
    };
    this.links.set(address, link);
    this.dial(link);
  }

  private dropIfUnneeded(link: PeerLink, nowMs: number): void {
    if (nowMs - link.addedAtMs < MIN_LINK_AGE_MS) return;
    this.links.delete(link.address);
    this.closeLink(link);
  }

  private redialIfDue(link: PeerLink, nowMs: number): void {
    if (nowMs - link.dialledAtMs >= this.readRedialIntervalMs(link.address)) this.dial(link);
  }

  private readRedialIntervalMs(address: string): number {
    if (!this.options.isLikelyReachable(address)) return SLOW_REDIAL_MS;
    const isIsolated = ![...this.links.values()].some((link) => link.connection?.isUp === true);
    return isIsolated ? ISOLATED_REDIAL_MS : REDIAL_MS;
  }

  private closeLink(link: PeerLink): void {
    const { connection } = link;
    link.connection = undefined;
    connection?.destroy();
  }

  private dial(link: PeerLink): void {
    if (this.isClosed) return;
    const { transport, createInitialFrames, onFrame, onProblem, now } = this.options;
    link.dialledAtMs = now();
    const connection: PeerConnection = transport.connect(link.address, {
      onUp: () => {
        for (const frame of createInitialFrames(link.address)) connection.write(encodePeerFrame(frame));
      },
      onFrame: (frame) => {
        link.lastReceivedAtMs = now();
        onFrame(frame, (response) => connection.write(encodePeerFrame(response)));
      },
      onProblem,
      onClosed: () => {
        if (link.connection === connection) link.connection = undefined;
      },
    });
    link.connection = connection;
  }
}

function isStuck(
  link: PeerLink,
  connection: PeerConnection,
  nowMs: number,
  silenceTimeoutMs: number,
): boolean {
  const ageMs = nowMs - link.dialledAtMs;
  if (!connection.isUp) return ageMs >= REDIAL_MS;
  // An open link on which nothing is received is cut off from the peer, or went silent while other links to it work.
  return ageMs >= silenceTimeoutMs && nowMs - link.lastReceivedAtMs >= silenceTimeoutMs;
}
