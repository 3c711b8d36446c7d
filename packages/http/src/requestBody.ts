/** Buffers the body of a request, so that the request can be sent again. */
import type { IncomingMessage } from 'node:http';
import { ChunkQueue } from '@hazelwalk/core';

/** Size limit and callbacks for reading a body. */
export interface RequestBodyHandlers {
  /** Largest accepted body in bytes; called for each chunk, because the configuration may change in between. */
  readonly readLimit: () => number;
  readonly onTooLarge: () => void;
  /** Called with the whole body; undefined if there is none. */
  readonly onComplete: (body: Buffer | undefined) => void;
  /** Called if the request has to give way to others before its body is complete. */
  readonly onEvicted: () => void;
}

/** Memory for a body. */
export interface BodyMemory {
  /** Asks for memory; no more than a few kilobytes arrive until it is granted. */
  request(bytes: number): void;
  /** A part of the body has arrived. */
  countPart(): void;
  /** Keeps so much of it, until the request has ended. */
  keep(bytes: number): void;
}

/** A body up to this size is read without asking for memory. */
const SMALL_BODY_BYTES = 16_384;

/** Length that a request announces for its body; undefined if it comes in chunks, 0 if there is none. */
function readAnnouncedBytes(req: IncomingMessage): number | undefined {
  if (req.headers['transfer-encoding'] !== undefined) return undefined;
  return Number(req.headers['content-length'] ?? 0);
}

/**
 * Whether the body of a request is known to be too large before it is read.
 *
 * @example isAnnouncedTooLarge(req, 1_000_000) // true for `Content-Length: 1000001`, false for a body in chunks
 */
export function isAnnouncedTooLarge(req: IncomingMessage, limitBytes: number): boolean {
  return (readAnnouncedBytes(req) ?? 0) > limitBytes;
}

/** Reads the body of a request. One that is announced as too large is refused before it is read. */
export function readRequestBody(
  req: IncomingMessage,
  memory: BodyMemory,
  handlers: RequestBodyHandlers,
): void {
  if (isAnnouncedTooLarge(req, handlers.readLimit())) return handlers.onTooLarge();
  new BodyReader(req, memory, handlers, readAnnouncedBytes(req));
}

class BodyReader {
  private readonly received = new ChunkQueue();
  private hasMemory = false;
  private isTooLarge = false;

  constructor(
    req: IncomingMessage,
    private readonly memory: BodyMemory,
    private readonly handlers: RequestBodyHandlers,
    private readonly announcedBytes: number | undefined,
  ) {
    req.on('data', (chunk: Buffer) => this.handleChunk(chunk));
    req.on('end', () => this.handleEnd());
  }

  private handleChunk(chunk: Buffer): void {
    this.memory.countPart();
    if (this.isTooLarge) return;
    const limitBytes = this.handlers.readLimit();
    this.isTooLarge = this.received.bytes + chunk.length > limitBytes;
    if (this.isTooLarge) return this.refuse();
    this.received.push(chunk);
    if (this.hasMemory || this.received.bytes <= SMALL_BODY_BYTES) return;
    this.hasMemory = true;
    this.memory.request(this.announcedBytes ?? limitBytes);
  }

  private refuse(): void {
    this.received.clear();
    this.memory.keep(0);
    this.handlers.onTooLarge();
  }

  private handleEnd(): void {
    if (this.isTooLarge) return;
    const { bytes } = this.received;
    this.memory.keep(bytes);
    this.handlers.onComplete(bytes === 0 ? undefined : this.received.takeAll());
  }
}
