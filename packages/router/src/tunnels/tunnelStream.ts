/**
 * One end of an open tunnel as a byte stream. Bytes travel in frames, so that the end of the connection to the endpoint differs
 * from the loss of the tunnel itself: only then is a response without a length complete.
 */
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import type { PeerFrame } from '../peers/peerFrames.js';
import { isTunnelFrame } from '../peers/peerFrames.js';
import type { PeerFrameReader } from '../peers/peerFrameCodec.js';
import { encodePeerFrame } from '../peers/peerFrameCodec.js';

/** Bytes in one frame at most; the receiver buffers a frame until it is whole. */
const MAX_DATA_BYTES = 65_536;

/** Why a tunnel ended before its data did. */
export class TunnelError extends Error {
  constructor(
    /** `lost`: the other box or the link to it failed; `reset`: the endpoint reset its connection. */
    readonly reason: 'lost' | 'reset',
  ) {
    super(reason === 'lost' ? 'the tunnel was lost' : 'the endpoint reset the connection');
  }
}

/**
 * Whether an error means that a tunnel failed, and not the endpoint behind it.
 *
 * @example isTunnelLost(new TunnelError('lost')) // true
 */
export function isTunnelLost(error: unknown): boolean {
  return error instanceof TunnelError && error.reason === 'lost';
}

/** Joins chunks that fit into one frame, such as a head and a small body; others stay as they are, without a copy. */
function joinSmall(chunks: readonly Buffer[]): Buffer[] {
  const bytes = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
  return bytes <= MAX_DATA_BYTES ? [Buffer.concat(chunks)] : [...chunks];
}

/** One end of a tunnel. */
export class TunnelStream extends Duplex {
  /** Bytes received from the other box, and sent to it. */
  receivedBytes = 0;
  sentBytes = 0;
  /** The other end reported the end of the data. */
  private hasEnded = false;
  /** The other box has asked to use the tunnel for no further request. */
  private isRetired = false;
  private onRetire: (closesInMs: number) => void = () => {};
  private toldClosesInMs = Infinity;

  /** @param early frames that arrived together with the reply to the request for the tunnel */
  constructor(
    private readonly socket: Socket,
    private readonly reader: PeerFrameReader,
    early: readonly PeerFrame[] = [],
  ) {
    super();
    // A frame that arrived early may end the tunnel before its user can listen.
    this.on('error', () => {});
    for (const frame of early) this.handleFrame(frame);
    socket.on('data', (chunk: Buffer) => this.handleChunk(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.handleClose());
  }

  /**
   * Sets what is called when the other box asks to use the tunnel for no further request, also if it has done so already; it gets the
   * time until the tunnel closes.
   */
  setRetireHandler(onRetire: (closesInMs: number) => void): void {
    this.onRetire = onRetire;
    if (this.isRetired) onRetire(this.toldClosesInMs);
  }

  /** Asks the other box to use the tunnel for no further request, and to expect its end after a time. */
  retire(closesInMs: number): void {
    if (!this.socket.writableEnded) this.socket.write(encodePeerFrame({ type: 'tunnelRetire', closesInMs }));
  }

  /** Reports that the endpoint reset its connection, and closes the tunnel. */
  reset(): void {
    if (!this.destroyed && !this.socket.writableEnded)
      this.socket.end(encodePeerFrame({ type: 'tunnelEnd', isReset: true }));
    this.destroy();
  }

  override _read(): void {
    this.socket.resume();
  }

  override _write(chunk: Buffer, _encoding: BufferEncoding, done: (error?: Error | null) => void): void {
    if (chunk.length === 0) return done();
    const bytes = chunk.subarray(0, MAX_DATA_BYTES);
    this.sentBytes += bytes.length;
    // One frame after another: each is a copy, and a body may be large and its reader slow.
    this.socket.write(encodePeerFrame({ type: 'tunnelData', bytes }), (error) => {
      if (error) done(new TunnelError('lost'));
      else this._write(chunk.subarray(MAX_DATA_BYTES), 'binary', done);
    });
  }

  override _writev(chunks: { chunk: Buffer }[], done: (error?: Error | null) => void): void {
    this.writeInTurn(joinSmall(chunks.map(({ chunk }) => chunk)), done);
  }

  private writeInTurn([first, ...rest]: readonly Buffer[], done: (error?: Error | null) => void): void {
    if (first === undefined) return done();
    this._write(first, 'binary', (error) => {
      if (error) done(error);
      else this.writeInTurn(rest, done);
    });
  }

  override _final(done: () => void): void {
    this.socket.end(encodePeerFrame({ type: 'tunnelEnd', isReset: false }), done);
  }

  override _destroy(error: Error | null, done: (error: Error | null) => void): void {
    // What was written before the end is still delivered.
    if (this.socket.writableEnded) this.socket.destroySoon();
    else this.socket.destroy();
    done(error);
  }

  private handleChunk(chunk: Buffer): void {
    const frames = this.reader.push(chunk);
    if (frames.err) return void this.destroy(new TunnelError('lost'));
    for (const frame of frames.val) this.handleFrame(frame);
  }

  private handleFrame(frame: PeerFrame): void {
    if (!isTunnelFrame(frame)) return void this.destroy(new TunnelError('lost'));
    switch (frame.type) {
      case 'tunnelData':
        this.receivedBytes += frame.bytes.length;
        if (!this.push(frame.bytes)) this.socket.pause();
        return;
      case 'tunnelEnd':
        if (frame.isReset) return void this.destroy(new TunnelError('reset'));
        this.hasEnded = true;
        this.push(null);
        return;
      case 'tunnelRetire':
        this.isRetired = true;
        this.toldClosesInMs = frame.closesInMs ?? Infinity;
        return this.onRetire(this.toldClosesInMs);
      case 'tunnelRequest':
      case 'tunnelReply':
        this.destroy(new TunnelError('lost'));
    }
  }

  private handleClose(): void {
    // After a regular end, a reader that is behind still gets what has arrived.
    if (!this.hasEnded && !this.destroyed) this.destroy(new TunnelError('lost'));
  }
}
