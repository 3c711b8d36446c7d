/** Interface of the connections between boxes, and its implementation over TCP. */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { Problem } from '@hazelwalk/core';
import type { TunnelRequest } from '../tunnels/tunnelFrames.js';
import type { PeerFrame } from './peerFrames.js';
import { PeerFrameReader } from './peerFrameCodec.js';

/** Callbacks of a connection. None is called after `onClosed`. */
export interface ConnectionEvents {
  /** The connection is established. Not called for accepted connections, which are up from the start. */
  readonly onUp: () => void;
  readonly onFrame: (frame: PeerFrame) => void;
  /** The received bytes are not a valid frame. The connection is closed. */
  readonly onProblem: (problem: Problem) => void;
  readonly onClosed: () => void;
}

/** One connection to another box. */
export interface PeerConnection {
  readonly isUp: boolean;
  /** Bytes in the send buffer that the other end has not accepted yet. */
  readonly unsentBytes: number;
  /** Sends an encoded frame; does nothing on a closed connection. */
  write(packet: Buffer): void;
  /** Closes the connection at once. */
  destroy(): void;
}

/** Opens and accepts connections. */
export interface PeerTransport {
  /**
   * Accepts connections; returns the address at which others reach this box. Rejects if the address is in use.
   *
   * @param onAccepted returns the callbacks of a connection that was just accepted
   */
  listen(
    host: string,
    port: number,
    onAccepted: (connection: PeerConnection) => ConnectionEvents,
  ): Promise<string>;
  /** Starts to connect to an address (host:port). */
  connect(address: string, events: ConnectionEvents): PeerConnection;
  /** Stops accepting connections and closes all accepted ones. */
  close(): void;
}

/** Takes over a connection that was accepted and whose first frame asks for a tunnel. */
export type OnTunnelRequest = (request: TunnelRequest, socket: Socket) => void;

/**
 * Splits an address into host and port.
 *
 * @example parseAddress('10.0.0.1:8229') // { host: '10.0.0.1', port: 8229 }
 */
export function parseAddress(address: string): { readonly host: string; readonly port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Reads the frames that a chunk of a connection completes. */
export type ReadFrames = (reader: PeerFrameReader, chunk: Buffer) => ReturnType<PeerFrameReader['push']>;

/** Connections over TCP. */
export class TcpTransport implements PeerTransport {
  private readonly accepted = new Set<Socket>();
  private server: Server | undefined;

  /**
   * @param readFrames reads the frames that a chunk completes; can be replaced to measure the time this takes
   * @param onTunnelRequest without it, connections that ask for a tunnel are closed
   */
  constructor(
    private readonly readFrames: ReadFrames = (reader, chunk) => reader.push(chunk),
    private readonly onTunnelRequest: OnTunnelRequest = (_request, socket) => socket.destroy(),
  ) {}

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
    const socket = connect({ ...parseAddress(address), noDelay: true });
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
    // An error is always followed by `close`, which reports the end of the connection.
    socket.on('error', () => socket.destroy());
    socket.on('close', () => events.onClosed());
    const handleChunk = (chunk: Buffer): void => {
      const frames = this.readFrames(reader, chunk);
      if (frames.err) {
        events.onProblem(frames.val);
        socket.destroy();
        return;
      }
      for (const frame of frames.val) {
        if (frame.type !== 'tunnelRequest') {
          events.onFrame(frame);
          continue;
        }
        socket.off('data', handleChunk);
        return this.onTunnelRequest(frame, socket);
      }
    };
    socket.on('data', handleChunk);
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
