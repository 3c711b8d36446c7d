/**
 * The connection of a caller as the HTTP parser reads it: in slices, when it is the caller's turn, and not while it has to wait. The
 * parser itself would take whatever has arrived, on all connections, before the loop goes on.
 */
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import type { ReadingTurns } from './readingTurns.js';
import { TurnTaker } from './readingTurns.js';

/** Bytes that are parsed at a time: they hold some hundred small requests, or some hundred chunks of a byte, at most. */
export const SLICE_BYTES = 4_096;
/** The same within a body whose bytes are used at once. */
export const BODY_SLICE_BYTES = 16_384;
/** After a response that ends the connection, a caller that is still sending can read it for this long, while it sends so much. */
const LINGER_MS = 500;
const LINGER_BYTES = 4_194_304;

/** Decisions and callbacks of the owner of a connection. */
export interface CallerStreamHandlers {
  /** Whether a body is being received. */
  readonly isInBody: () => boolean;
  /** Bytes that may be parsed at a time. */
  readonly readSliceBytes: () => number;
  /** Whether nothing more is to be parsed for now. */
  readonly isHeld: () => boolean;
  readonly onParsed: (bytes: number) => void;
  /** The bytes that are received and not parsed, or written and not taken, have changed much. */
  readonly onBuffered: () => void;
  /** Some of what was written has been taken by the caller. */
  readonly onTaken: () => void;
}

/** One connection. */
export class CallerStream extends Duplex {
  /** Whether a caller that is still sending gets some time to read the last response; it keeps its descriptor meanwhile. */
  mayLinger = true;
  private handlers: CallerStreamHandlers | undefined;
  private isWanted = false;
  private hasEnded = false;
  private isLingering = false;
  private lingeredBytes = 0;
  private lingerTimer: NodeJS.Timeout | undefined;
  private readonly taker = new TurnTaker(() => this.readSlice());

  constructor(
    private readonly socket: Socket,
    private readonly turns: ReadingTurns,
  ) {
    super({ decodeStrings: false });
    // Read in parts: what is not parsed yet stays in the socket, which is then read no further.
    socket.on('readable', () => this.handleReadable());
    socket.on('end', () => this.handleEnd());
    socket.on('timeout', () => this.emit('timeout'));
    socket.on('error', (error) => this.destroy(error));
    socket.on('close', () => this.destroy());
  }

  /** Sets who decides about this connection. */
  setHandlers(handlers: CallerStreamHandlers): void {
    this.handlers = handlers;
  }

  get bytesRead(): number {
    return this.socket.bytesRead;
  }

  get bytesWritten(): number {
    return this.socket.bytesWritten;
  }

  get remoteAddress(): string | undefined {
    return this.socket.remoteAddress;
  }

  /** Bytes that are received and not parsed. */
  get unreadBytes(): number {
    return this.readableLength + this.socket.readableLength;
  }

  /** Sets the timeout of the HTTP server for connections without a request. */
  setTimeout(timeoutMs: number): this {
    this.socket.setTimeout(timeoutMs);
    return this;
  }

  /** Goes on after `isHeld` has changed. */
  proceed(): void {
    if (this.mayParse) this.turns.read(this.taker);
  }

  /** Closes the connection once what was written is delivered. A caller that is still sending can read it first. */
  destroySoon(): void {
    if (this.isLingering || this.destroyed) return;
    const isSending = this.socket.readableLength > 0 || this.handlers?.isInBody() === true;
    if (this.writable) this.end();
    if (isSending && this.mayLinger) return this.linger();
    this.destroyWhenFinished();
  }

  /** Writes a last response for what cannot be parsed or is not read any further, and closes the connection. */
  endWith(response: string): void {
    if (this.isLingering || !this.writable) return void this.destroy();
    this.end(response);
    if (this.mayLinger) this.linger();
    else this.destroyWhenFinished();
  }

  override _read(): void {
    this.isWanted = true;
    if (this.mayParse) process.nextTick(() => this.proceed());
  }

  override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.socket.write(chunk, encoding, (error) => this.finishWrite(done, error));
    if (this.socket.writableNeedDrain) this.handlers?.onBuffered();
  }

  override _writev(
    chunks: readonly { chunk: Buffer | string; encoding: BufferEncoding }[],
    done: (error?: Error | null) => void,
  ): void {
    this.socket.cork();
    chunks.forEach(({ chunk, encoding }, index) => {
      if (index < chunks.length - 1) this.socket.write(chunk, encoding);
      else this._write(chunk, encoding, done);
    });
    this.socket.uncork();
  }

  override _final(done: (error?: Error | null) => void): void {
    this.socket.end(() => done());
  }

  override _destroy(error: Error | null, done: (error: Error | null) => void): void {
    clearTimeout(this.lingerTimer);
    this.turns.remove(this.taker);
    this.socket.destroy();
    done(error);
  }

  private get mayParse(): boolean {
    const isOpen = !this.destroyed && !this.isLingering;
    return isOpen && this.isWanted && this.socket.readableLength > 0 && this.handlers?.isHeld() !== true;
  }

  private finishWrite(done: (error?: Error | null) => void, error?: Error | null): void {
    done(error);
    if (!error) this.handlers?.onTaken();
  }

  private handleReadable(): void {
    if (this.isLingering) return this.discard();
    this.proceed();
    if (this.socket.readableLength > 0) this.handlers?.onBuffered();
  }

  private handleEnd(): void {
    this.hasEnded = true;
    if (this.isLingering) this.destroy();
    else this.push(null);
  }

  /** Passes a slice to the parser. Returns whether the next one may follow at once. */
  private readSlice(): boolean {
    if (!this.mayParse || this.handlers === undefined) return false;
    const bytes = Math.min(this.socket.readableLength, this.handlers.readSliceBytes());
    const slice = this.socket.read(bytes) as Buffer;
    this.isWanted = this.push(slice);
    if (this.destroyed) return false;
    this.handlers.onParsed(slice.length);
    return this.mayParse;
  }

  private discard(): void {
    const chunk = this.socket.read() as Buffer | null;
    this.lingeredBytes += chunk?.length ?? 0;
    if (this.lingeredBytes > LINGER_BYTES) this.destroy();
  }

  private destroyWhenFinished(): void {
    if (this.writableFinished) this.destroy();
    else this.once('finish', () => this.destroy());
  }

  /** Reads and drops what still comes: a connection that is closed with unread bytes resets, and its response may be lost. */
  private linger(): void {
    this.isLingering = true;
    this.turns.remove(this.taker);
    if (this.hasEnded) return this.destroyWhenFinished();
    this.discard();
    this.lingerTimer = setTimeout(() => this.destroy(), LINGER_MS).unref();
  }
}
