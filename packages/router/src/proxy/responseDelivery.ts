/**
 * Delivers a response to the caller. A plain response is buffered until it is complete, so that a broken one can be
 * replaced; a stream is delivered event by event.
 */
import type { ServerResponse } from 'node:http';
import { ChunkQueue } from '@hazelwalk/core';
import type { ResponseHead } from './attemptEvent.js';
import { EventSplitter } from './eventSplitter.js';
import { selectResponseHeaders } from './forwardHeaders.js';

/** A plain response longer than this is delivered before it is complete. */
const MAX_BUFFERED_BYTES = 262_144;

/** What becomes of bytes of a response. */
export type PushResult =
  | 'taken'
  /** The caller reads more slowly than they arrive. */
  | 'full'
  /** They are part of no event that ends in time: the response is none. */
  | 'endless';

/** A response that is being delivered to the caller. */
export interface ResponseDelivery {
  readonly status: number;
  /** Whether anything was sent to the caller. */
  readonly hasStarted: boolean;
  /** Whether it can continue with the events of another endpoint: the last event that was sent must have an id. */
  readonly canResume: boolean;
  readonly lastEventId: string | undefined;
  /** Adds bytes of the response. */
  push(chunk: Buffer): PushResult;
  /** Whether the response may end here. */
  isComplete(): boolean;
  /** Drops an incomplete event before another endpoint continues the stream. */
  prepareResume(): void;
  /** Sends what is left and ends the response. */
  finish(): void;
}

/** Creates the delivery that fits the route and the content type of a response. */
export function createDelivery(
  res: ServerResponse,
  head: ResponseHead,
  isStream: boolean,
  isResumable: boolean,
): ResponseDelivery {
  const contentType = String(head.headers['content-type'] ?? '');
  if (isStream && contentType.startsWith('text/event-stream'))
    return new StreamDelivery(res, head, isResumable);
  return new BufferedDelivery(res, head);
}

function writeHead(res: ServerResponse, head: ResponseHead): void {
  res.writeHead(head.status, selectResponseHeaders(head.headers));
}

function write(res: ServerResponse, bytes: Buffer): PushResult {
  return res.write(bytes) ? 'taken' : 'full';
}

class BufferedDelivery implements ResponseDelivery {
  readonly status: number;
  readonly canResume = false;
  readonly lastEventId = undefined;
  hasStarted = false;
  private readonly buffered = new ChunkQueue();

  constructor(
    private readonly res: ServerResponse,
    private readonly head: ResponseHead,
  ) {
    this.status = head.status;
  }

  push(chunk: Buffer): PushResult {
    if (this.hasStarted) return write(this.res, chunk);
    this.buffered.push(chunk);
    if (this.buffered.bytes <= MAX_BUFFERED_BYTES) return 'taken';
    this.hasStarted = true;
    writeHead(this.res, this.head);
    return write(this.res, this.buffered.takeAll());
  }

  isComplete(): boolean {
    return true;
  }

  prepareResume(): void {}

  finish(): void {
    if (this.hasStarted) return void this.res.end();
    this.hasStarted = true;
    const body = this.buffered.takeAll();
    this.res.setHeader('content-length', body.length);
    writeHead(this.res, this.head);
    this.res.end(body);
  }
}

class StreamDelivery implements ResponseDelivery {
  readonly status: number;
  hasStarted = false;
  lastEventId: string | undefined;
  private readonly splitter = new EventSplitter();

  constructor(
    private readonly res: ServerResponse,
    private readonly head: ResponseHead,
    private readonly isResumable: boolean,
  ) {
    this.status = head.status;
  }

  push(chunk: Buffer): PushResult {
    const events = this.splitter.push(chunk);
    if (this.splitter.isOverlong) return 'endless';
    if (events === undefined) return 'taken';
    this.lastEventId = events.lastEventId ?? this.lastEventId;
    this.sendHeadOnce();
    return write(this.res, events.bytes);
  }

  get canResume(): boolean {
    return this.isResumable && this.lastEventId !== undefined;
  }

  /** A stream that ends inside an event was broken off, even if its response ends as it should. */
  isComplete(): boolean {
    return !this.splitter.isInsideEvent;
  }

  prepareResume(): void {
    this.splitter.reset();
  }

  finish(): void {
    this.sendHeadOnce();
    this.res.end(this.splitter.takeRest());
  }

  private sendHeadOnce(): void {
    if (this.hasStarted) return;
    this.hasStarted = true;
    writeHead(this.res, this.head);
  }
}
