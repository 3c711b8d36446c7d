/** Connections between boxes as the mesh sees them, and the real ones over TCP. */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { Problem } from '@hazelwalk/core';
import type { PeerFrame } from './peerFrames.js';
import { PeerFrameReader } from './peerFrameCodec.js';

/** What happens on a connection. After `onClosed` nothing more comes. */
export interface ConnectionEvents {
  /** It came up. Not called for accepted ones, which are up from the start. */
  readonly onUp: () => void;
  readonly onFrame: (frame: PeerFrame) => void;
  /** Bytes that are no frame; the connection ends. */
  readonly onProblem: (problem: Problem) => void;
  readonly onClosed: () => void;
}

/** One connection to another box. */
export interface PeerConnection {
  readonly isUp: boolean;
  /** Bytes that the other end did not take yet. */
  readonly unsentBytes: number;
  /** Sends an encoded frame; does nothing on a closed connection. */
  write(packet: Buffer): void;
  /** Ends it at once. */
  destroy(): void;
}

/** Makes and accepts connections. */
export interface PeerTransport {
  /**
   * Accepts connections; returns the address at which others reach this box. Rejects if the address is taken.
   *
   * @param onAccepted gives the events of a connection that was just accepted
   */
  listen(
    host: string,
    port: number,
    onAccepted: (connection: PeerConnection) => ConnectionEvents,
  ): Promise<string>;
  /** Begins to connect to an address (host:port). */
  connect(address: string, events: ConnectionEvents): PeerConnection;
  /** Stops accepting and ends all accepted connections. */
  close(): void;
}

/** Reads the frames that a chunk of a connection completes. */
export type ReadFrames = (reader: PeerFrameReader, chunk: Buffer) => ReturnType<PeerFrameReader['push']>;

/** Connections over TCP. */
export class TcpTransport implements PeerTransport {
  private readonly accepted = new Set<Socket>();
  private server: Server | undefined;

  /** @param readFrames reads the frames that a chunk completes; lets its time be measured */
  constructor(private readonly readFrames: ReadFrames = (reader, chunk) => reader.push(chunk)) {}

  listen(
    host: string,
    port: number,
    onAccepted: (connection: PeerConnection) => ConnectionEvents,
  ): Promise<string> {
    const server = createServer((socket) => {
      this.accepted.add(socket);
      socket.on('close', () => this.accepted.delete(socket));
      this.attachEvents(socket, onAccepted(new TcpConnection(socket)));
    });
    this.server = server;
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => {
        server.off('error', reject);
        resolve(`${host}:${(server.address() as AddressInfo).port}`);
      });
    });
  }

  connect(address: string, events: ConnectionEvents): PeerConnection {
    const colon = address.lastIndexOf(':');
    const host = address.slice(0, colon);
    const port = Number(address.slice(colon + 1));
    const socket = connect({ host, port, noDelay: true });
    socket.on('connect', () => events.onUp());
    this.attachEvents(socket, events);
    return new TcpConnection(socket);
  }

  close(): void {
    this.server?.close();
    for (const socket of this.accepted) socket.destroy();
  }

  private attachEvents(socket: Socket, events: ConnectionEvents): void {
    const reader = new PeerFrameReader();
    // An error is always followed by `close`, which is what counts.
    socket.on('error', () => socket.destroy());
    socket.on('close', () => events.onClosed());
    socket.on('data', (chunk: Buffer) => {
      const frames = this.readFrames(reader, chunk);
      if (frames.err) {
        events.onProblem(frames.val);
        socket.destroy();
        return;
      }
      for (const frame of frames.val) events.onFrame(frame);
    });
  }
}

class TcpConnection implements PeerConnection {
  constructor(private readonly socket: Socket) {}

  get isUp(): boolean {
    return !this.socket.connecting && !this.socket.destroyed;
  }

  get unsentBytes(): number {
    return this.socket.writableLength;
  }

  write(packet: Buffer): void {
    if (this.isUp) this.socket.write(packet);
  }

  destroy(): void {
    this.socket.destroy();
  }
}
