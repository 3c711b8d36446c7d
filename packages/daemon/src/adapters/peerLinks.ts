/**
 * Links to the other boxes: one TCP connection for each direction of each pair. This box sends on the connection that it
 * opened and receives on the one that the peer opened.
 */
import { connect, createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import type { BoxId, BoxRecord, ControlFrame, Frame, Problem, StreamFrame } from '@hazelwalk/core';
import { isControlTraffic } from '@hazelwalk/core';
import type { HelloFrame, WireFrame } from '@hazelwalk/wire';
import { encodeFrame, FrameDecoder, PROTOCOL_VERSION } from '@hazelwalk/wire';
import type { EmitEvent } from '../coreLoop.js';
import { listenOn, splitAddress } from './addresses.js';
import type { AdapterCounter, Metrics } from './metrics.js';

const MIN_RECONNECT_MS = 100;
const MAX_RECONNECT_MS = 2_000;

interface OutgoingLink {
  readonly record: BoxRecord;
  socket: Socket | undefined;
  reconnectMs: number;
  timer: NodeJS.Timeout | undefined;
}

/** Bytes sent to peers, by kind of traffic. */
export interface PeerBytes {
  controlSent: number;
  requestSent: number;
}

/** Identity of this box and callbacks of the daemon that the links use. */
export interface PeerLinksOptions {
  readonly self: BoxRecord;
  readonly incarnation: string;
  readonly emit: EmitEvent;
  readonly onStreamFrame: (from: BoxId, frame: StreamFrame) => void;
  readonly onProblem: (problem: Problem) => void;
  readonly metrics: Metrics;
}

function isStreamFrame(frame: Frame): frame is StreamFrame {
  return (
    frame.type === 'answerHead' || frame.type === 'data' || frame.type === 'end' || frame.type === 'credit'
  );
}

function endSocket(socket: Socket): Promise<void> {
  if (socket.destroyed) return Promise.resolve();
  return new Promise((resolve) => {
    socket.once('close', resolve);
    socket.end(() => resolve());
  });
}

/** Keeps links to peers and sends and receives frames on them. */
export class PeerLinks {
  readonly bytes: PeerBytes = { controlSent: 0, requestSent: 0 };
  private readonly server: Server;
  private readonly outgoing = new Map<BoxId, OutgoingLink>();
  private readonly incoming = new Map<BoxId, Socket>();
  private readonly acceptedSockets = new Set<Socket>();
  private isClosed = false;
  private self: BoxRecord;

  constructor(private readonly options: PeerLinksOptions) {
    this.self = options.self;
    this.server = createServer((socket) => this.acceptPeer(socket));
  }

  /** Binds the peer listener; from then on hello frames contain the address to which it is bound. */
  async listen(address: string): Promise<string> {
    const peerAddress = await listenOn(this.server, address);
    this.self = { ...this.self, peerAddress };
    return peerAddress;
  }

  /** Keeps links to exactly these boxes and to those that have connected to this one. */
  connectTo(records: readonly BoxRecord[]): void {
    const wanted = new Map(records.map((record) => [record.id, record]));
    for (const [id, link] of this.outgoing) {
      const record = wanted.get(id);
      const hasSameAddress = record?.peerAddress === link.record.peerAddress;
      if (!hasSameAddress && !(record === undefined && this.incoming.has(id))) this.dropLink(id, link);
    }
    for (const record of records) this.openLink(record);
  }

  /** Sends a frame. It is lost if the link is down; the core gets a `peerDown` event when a link breaks. */
  send(to: BoxId, frame: Frame): void {
    this.write(to, encodeFrame(frame), isControlTraffic(frame));
  }

  /** Sends one frame to several peers, encoding it once. */
  broadcast(to: readonly BoxId[], frame: ControlFrame): void {
    const packet = encodeFrame(frame);
    const isControl = isControlTraffic(frame);
    for (const id of to) this.write(id, packet, isControl);
  }

  /** Closes all links once the frames that were sent have left: the last one may hand over this box's keys. */
  async close(): Promise<void> {
    this.isClosed = true;
    this.server.close();
    const sockets = [...this.outgoing.values()].flatMap((link) => link.socket ?? []);
    await Promise.all(sockets.filter((socket) => !socket.connecting).map(endSocket));
    for (const [id, link] of this.outgoing) this.dropLink(id, link);
    for (const socket of this.acceptedSockets) socket.destroy();
  }

  private write(to: BoxId, packet: Buffer, isControl: boolean): void {
    const socket = this.outgoing.get(to)?.socket;
    if (socket === undefined || socket.destroyed) return;
    this.corkForTurn(socket);
    socket.write(packet);
    if (isControl) this.bytes.controlSent += packet.length;
    else this.bytes.requestSent += packet.length;
  }

  /** Corks the socket so that all frames of one turn of Node's event loop are written in a single system call. */
  private corkForTurn(socket: Socket): void {
    if (socket.writableCorked > 0) return;
    socket.cork();
    setImmediate(() => socket.uncork());
  }

  private openLink(record: BoxRecord): void {
    if (this.outgoing.has(record.id) || record.id === this.self.id || this.isClosed) return;
    const link: OutgoingLink = {
      record,
      socket: undefined,
      reconnectMs: MIN_RECONNECT_MS,
      timer: undefined,
    };
    this.outgoing.set(record.id, link);
    this.connectLink(link);
  }

  private connectLink(link: OutgoingLink): void {
    const { self } = this;
    const { incarnation } = this.options;
    const socket = connect({ ...splitAddress(link.record.peerAddress), noDelay: true });
    link.socket = socket;
    const hello: HelloFrame = { type: 'hello', protocolVersion: PROTOCOL_VERSION, incarnation, box: self };
    socket.write(encodeFrame(hello));
    socket.on('connect', () => {
      link.reconnectMs = MIN_RECONNECT_MS;
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.handleOutgoingClosed(link, socket));
    // Peers never write on a connection that they accepted; reading from it detects when they close it.
    socket.resume();
  }

  private handleOutgoingClosed(link: OutgoingLink, socket: Socket): void {
    if (link.socket !== socket || this.isClosed) return;
    link.socket = undefined;
    this.options.emit({ type: 'peerDown', boxId: link.record.id });
    link.timer = setTimeout(() => this.connectLink(link), link.reconnectMs * (0.5 + Math.random()));
    link.reconnectMs = Math.min(MAX_RECONNECT_MS, link.reconnectMs * 2);
  }

  private dropLink(id: BoxId, link: OutgoingLink): void {
    clearTimeout(link.timer);
    const { socket } = link;
    link.socket = undefined;
    socket?.destroy();
    this.outgoing.delete(id);
  }

  private acceptPeer(socket: Socket): void {
    const decoder = new FrameDecoder();
    let peer: BoxId | undefined;
    this.acceptedSockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => socket.destroy());
    socket.on('data', (chunk: Buffer) => {
      const frames = decoder.push(chunk);
      if (frames.err) return this.rejectPeer(socket, frames.val);
      for (const frame of frames.val) {
        if (socket.destroyed) return;
        if (peer === undefined) peer = this.handleHello(socket, frame);
        else if (frame.type !== 'hello') this.dispatchFrame(peer, frame);
      }
    });
    socket.on('close', () => {
      this.acceptedSockets.delete(socket);
      const end = decoder.finish();
      if (end.err && !this.isClosed) this.reportProblem(end.val);
      if (peer !== undefined) this.handleIncomingClosed(peer, socket);
    });
  }

  private handleHello(socket: Socket, frame: WireFrame): BoxId | undefined {
    if (frame.type !== 'hello') {
      this.rejectPeer(socket, {
        code: 'frameMalformed',
        at: 'peer',
        detail: 'the first frame is not a hello',
      });
      return undefined;
    }
    if (frame.protocolVersion !== PROTOCOL_VERSION) {
      const detail = `version ${frame.protocolVersion} from ${frame.box.id}, version ${PROTOCOL_VERSION} here`;
      this.rejectPeer(socket, { code: 'frameVersion', at: 'peer', detail });
      return undefined;
    }
    this.incoming.set(frame.box.id, socket);
    this.options.emit({ type: 'peerUp', record: frame.box, incarnation: frame.incarnation });
    this.openLink(frame.box);
    return frame.box.id;
  }

  private dispatchFrame(from: BoxId, frame: Frame): void {
    if (isStreamFrame(frame)) this.options.onStreamFrame(from, frame);
    else this.options.emit({ type: 'frame', from, frame });
  }

  private handleIncomingClosed(peer: BoxId, socket: Socket): void {
    if (this.incoming.get(peer) !== socket) return;
    this.incoming.delete(peer);
    if (!this.isClosed) this.options.emit({ type: 'peerDown', boxId: peer });
  }

  private rejectPeer(socket: Socket, problem: Problem): void {
    this.reportProblem(problem);
    socket.destroy();
  }

  private reportProblem(problem: Problem): void {
    this.options.metrics.count(`peer.${problem.code}` as AdapterCounter);
    this.options.onProblem(problem);
  }
}
