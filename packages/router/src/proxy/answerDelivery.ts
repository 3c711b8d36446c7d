/**
 * Hands an answer to the caller. A plain answer is held until it is whole, so that a broken one can be replaced; a
 * stream is passed on event by event as it arrives.
 */
import type { ServerResponse } from 'node:http';
import type { AnswerHead } from './attempt.js';
import { EventSplitter } from './eventSplitter.js';
import { isCloseDelimited, keepAnswered } from './forwardHeaders.js';

/** A plain answer longer than this is passed on before it is whole. */
const MAX_HELD_BYTES = 262_144;

/** An answer on its way to the caller. */
export interface AnswerDelivery {
  readonly status: number;
  /** Whether the caller has seen any of it. */
  readonly hasStarted: boolean;
  /** Whether it can go on with the events of another endpoint. */
  readonly canResume: boolean;
  readonly lastEventId: string | undefined;
  /** Takes bytes of the answer; false if the caller reads more slowly than they come. */
  push(chunk: Buffer): boolean;
  /** Whether it may end here. */
  isWhole(): boolean;
  /** Drops what cannot be continued before another endpoint goes on. */
  prepareResume(): void;
  /** Ends it as whole. */
  finish(): void;
}

/** Chooses how an answer is handed over. */
export function createDelivery(
  res: ServerResponse,
  head: AnswerHead,
  isStream: boolean,
  isResumable: boolean,
): AnswerDelivery {
  const contentType = String(head.headers['content-type'] ?? '');
  if (isStream && contentType.startsWith('text/event-stream'))
    return new StreamDelivery(res, head, isResumable);
  return new HeldDelivery(res, head);
}

function writeHead(res: ServerResponse, head: AnswerHead): void {
  res.writeHead(head.status, keepAnswered(head.headers));
}

class HeldDelivery implements AnswerDelivery {
  readonly status: number;
  readonly canResume = false;
  readonly lastEventId = undefined;
  hasStarted = false;
  private readonly held: Buffer[] = [];
  private heldBytes = 0;

  constructor(
    private readonly res: ServerResponse,
    private readonly head: AnswerHead,
  ) {
    this.status = head.status;
  }

  push(chunk: Buffer): boolean {
    if (this.hasStarted) return this.res.write(chunk);
    this.held.push(chunk);
    this.heldBytes += chunk.length;
    if (this.heldBytes <= MAX_HELD_BYTES) return true;
    this.hasStarted = true;
    writeHead(this.res, this.head);
    return this.res.write(Buffer.concat(this.held));
  }

  isWhole(): boolean {
    return true;
  }

  prepareResume(): void {}

  finish(): void {
    if (this.hasStarted) return void this.res.end();
    this.hasStarted = true;
    const body = Buffer.concat(this.held);
    this.res.setHeader('content-length', body.length);
    writeHead(this.res, this.head);
    this.res.end(body);
  }
}

class StreamDelivery implements AnswerDelivery {
  readonly status: number;
  hasStarted = false;
  lastEventId: string | undefined;
  private readonly splitter = new EventSplitter();
  private readonly isCloseDelimited: boolean;

  constructor(
    private readonly res: ServerResponse,
    private readonly head: AnswerHead,
    readonly canResume: boolean,
  ) {
    this.status = head.status;
    this.isCloseDelimited = isCloseDelimited(head.headers);
  }

  push(chunk: Buffer): boolean {
    const events = this.splitter.push(chunk);
    if (events === undefined) return true;
    this.lastEventId = events.lastEventId ?? this.lastEventId;
    this.begin();
    return this.res.write(events.bytes);
  }

  /** Without a length, an end inside an event is the only sign that the answer was cut off. */
  isWhole(): boolean {
    return !this.isCloseDelimited || this.splitter.pendingBytes.length === 0;
  }

  prepareResume(): void {
    this.splitter.reset();
  }

  finish(): void {
    this.begin();
    this.res.end(this.splitter.pendingBytes);
  }

  private begin(): void {
    if (this.hasStarted) return;
    this.hasStarted = true;
    writeHead(this.res, this.head);
  }
}
