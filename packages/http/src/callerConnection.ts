/** One connection of a caller: its requests, its responses, and how it gives way. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallerAccount } from './callerAccount.js';
import { readPhase } from './callerAccount.js';
import type { CallerLedger, EvictionReason } from './callerLedger.js';
import type { CallerStream } from './callerStream.js';
import { BODY_SLICE_BYTES, SLICE_BYTES } from './callerStream.js';
import type { BodyMemory, RequestBodyHandlers } from './requestBody.js';
import { readRequestBody } from './requestBody.js';

/** Why a caller gets a last response for something that was not read as a whole. */
export type UnreadRefusal = 'boxFull' | 'headersTooLarge';

/** A request that is begun. */
export interface BegunCall {
  /** Requests that its connection carried before. */
  readonly earlierOnConnection: number;
  /** Reads its body, as far as the box has room for it. */
  readonly readBody: (handlers: RequestBodyHandlers) => void;
}

/** What becomes of a request. */
export interface CallHandlers {
  /** Called once the responses before it on its connection have been delivered. */
  readonly begin: (call: BegunCall) => void;
  /** Called instead if the box has no room for it. */
  readonly refuse: () => void;
}

/** What a connection needs from its server. */
export interface CallerConnectionOptions {
  readonly ledger: CallerLedger;
  readonly queuedRequests: number;
  readonly now: () => number;
  /** Largest head in bytes; a connection whose unfinished head is larger is refused. */
  readonly readMaxHeadBytes: () => number;
  readonly formatRefusal: (reason: UnreadRefusal) => string;
  /** Called when what the connection holds has grown. */
  readonly onGrown: () => void;
}

/** A request on a connection. */
interface CallerCall {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  /** Whether the caller lets the connection be used again. */
  readonly isReusable: boolean;
  readonly begin: () => void;
}

/** One connection, its requests and its responses. */
export class CallerConnection {
  readonly account: CallerAccount;
  private readonly calls: CallerCall[] = [];
  private requestCount = 0;
  private idleSinceMs: number;
  private bytesBeforeIdle = 0;
  /** The request that was read last; its body may not be complete. */
  private lastRequest: IncomingMessage | undefined;
  /** Whether a part of a request came with the slice being parsed: a head, or bytes of a body. */
  private isPartInSlice = false;
  private isClosing = false;
  private isWaitingForMemory = false;
  private onBodyEvicted: (() => void) | undefined;

  constructor(
    private readonly stream: CallerStream,
    private readonly options: CallerConnectionOptions,
  ) {
    const nowMs = options.now();
    this.idleSinceMs = nowMs;
    this.account = options.ledger.open(nowMs);
    stream.setHandlers({
      isInBody: () => this.isInBody,
      isHeld: () => this.isHeld,
      readSliceBytes: () => (this.account.isReadingBody ? BODY_SLICE_BYTES : SLICE_BYTES),
      onParsed: (bytes) => this.handleParsed(bytes),
      onBuffered: () => {
        this.countBuffered();
        options.onGrown();
      },
      onTaken: () => this.handleTaken(),
    });
    stream.once('close', () => options.ledger.close(this.account));
  }

  /** Time without a request; 0 while one is in progress or has begun to arrive. */
  get idleMs(): number {
    const isIdle = this.calls.length === 0 && this.stream.bytesRead === this.bytesBeforeIdle;
    return isIdle ? this.options.now() - this.idleSinceMs : 0;
  }

  /** Begins a request after those before it; refuses it if the box has no room. */
  add(req: IncomingMessage, res: ServerResponse, handlers: CallHandlers): void {
    const { ledger } = this.options;
    const earlierOnConnection = this.requestCount;
    this.requestCount += 1;
    this.lastRequest = req;
    this.isPartInSlice = true;
    const hasRoom = ledger.hasRoomForRequest;
    const readBody = (bodyHandlers: RequestBodyHandlers): void => this.readBody(req, bodyHandlers);
    const begin = hasRoom ? () => handlers.begin({ earlierOnConnection, readBody }) : handlers.refuse;
    this.calls.push({ req, res, isReusable: res.shouldKeepAlive, begin });
    ledger.update(this.account, { requests: this.calls.length });
    res.once('close', () => this.handleDelivered());
    // After this event, what the request has buffered is used.
    req.on('resume', () => process.nextTick(() => this.stream.proceed()));
    if (this.calls.length === 1) this.calls[0]?.begin();
  }

  /** Lets the last response that is asked for announce that the connection closes after it. */
  closeAfterResponses(): void {
    for (const { res, isReusable } of this.calls) if (!res.headersSent) res.shouldKeepAlive = isReusable;
    const last = this.calls.at(-1);
    if (last !== undefined && !last.res.headersSent) last.res.shouldKeepAlive = false;
  }

  /** Closes the connection after the response in progress; requests behind it stay without an answer. */
  close(): void {
    if (this.calls.length === 0) return this.stream.destroySoon();
    this.isClosing = true;
    this.calls.length = 1;
    this.calls[0]?.res.once('close', () => this.stream.destroySoon());
  }

  /** Lets the connection give way. What was not read is refused or closed; what is being answered is answered. */
  evict(reason: EvictionReason): void {
    if (reason === 'unread') return void this.stream.destroy();
    const { ledger, formatRefusal } = this.options;
    const phase = readPhase(this.account);
    this.stream.mayLinger = reason !== 'connections';
    if (phase !== 'serving') ledger.markLeaving(this.account);
    switch (phase) {
      case 'silent':
      case 'idle':
        return void this.stream.destroy();
      case 'head':
        return this.stream.endWith(formatRefusal('boxFull'));
      case 'body':
        return this.evictBody();
      case 'serving':
        ledger.update(this.account, { requests: 1, headBytes: 0 });
        return this.close();
    }
  }

  /** Records what is received and not parsed, or written and not taken. */
  countBuffered(): void {
    const { unreadBytes, writableLength } = this.stream;
    this.options.ledger.update(this.account, { unparsedBytes: unreadBytes, untakenBytes: writableLength });
  }

  /** Parts that nobody uses yet would be kept one by one: a body in chunks of a byte takes hundreds of times its size so. */
  private get isHeld(): boolean {
    const isUnused = this.isInBody && (this.lastRequest?.readableLength ?? 0) > 0;
    const isQueueFull = this.calls.length >= this.options.queuedRequests;
    return this.isClosing || this.isWaitingForMemory || isUnused || isQueueFull;
  }

  private get isInBody(): boolean {
    return this.lastRequest !== undefined && !this.lastRequest.complete;
  }

  private readBody(req: IncomingMessage, handlers: RequestBodyHandlers): void {
    const { ledger } = this.options;
    const { account } = this;
    ledger.update(account, { isReadingBody: true });
    this.onBodyEvicted = handlers.onEvicted;
    // A request that was refused as it gave way is over, even if the rest of its body had arrived.
    const finish = (): boolean => {
      if (this.onBodyEvicted === undefined) return false;
      this.onBodyEvicted = undefined;
      ledger.update(account, { isReadingBody: false });
      return true;
    };
    readRequestBody(req, this.bodyMemory, {
      ...handlers,
      onTooLarge: () => {
        if (!finish()) return;
        // Its response closes the connection.
        this.isClosing = true;
        handlers.onTooLarge();
      },
      onComplete: (body) => {
        if (finish()) handlers.onComplete(body);
      },
    });
  }

  /** The memory for bodies on this connection; nothing more is parsed while it is not granted. */
  private readonly bodyMemory: BodyMemory = {
    countPart: () => {
      this.isPartInSlice = true;
    },
    request: (bytes) => {
      const goOn = (): void => {
        this.isWaitingForMemory = false;
        // Not within the parser of the connection that has given the memory back.
        process.nextTick(() => this.stream.proceed());
      };
      const grant = this.options.ledger.requestBody(this.account, bytes, goOn);
      this.isWaitingForMemory = grant === 'waiting';
    },
    keep: (bytes) => {
      this.isWaitingForMemory = false;
      this.options.ledger.keepBody(this.account, bytes);
    },
  };

  private evictBody(): void {
    const onEvicted = this.onBodyEvicted;
    this.onBodyEvicted = undefined;
    this.isClosing = true;
    this.options.ledger.update(this.account, { isReadingBody: false });
    if (onEvicted === undefined) this.stream.destroy();
    else onEvicted();
  }

  private handleParsed(bytes: number): void {
    const { ledger, now, readMaxHeadBytes, formatRefusal, onGrown } = this.options;
    const { account } = this;
    ledger.recordProgress(account, bytes, now());
    // Bytes of a body that is passed on as it comes are not seen here.
    const isUnseen = this.isInBody && !account.isReadingBody;
    const headBytes = this.isPartInSlice || isUnseen ? 0 : account.headBytes + bytes;
    this.isPartInSlice = isUnseen;
    ledger.update(account, { headBytes });
    if (!this.isInBody && headBytes > readMaxHeadBytes() + SLICE_BYTES)
      return this.stream.endWith(formatRefusal('headersTooLarge'));
    if (headBytes > 0) onGrown();
  }

  private handleTaken(): void {
    this.account.progressAtMs = this.options.now();
    if (this.account.untakenBytes > 0) this.countBuffered();
  }

  private handleDelivered(): void {
    const { ledger, now } = this.options;
    this.calls.shift();
    this.idleSinceMs = now();
    this.bytesBeforeIdle = this.stream.bytesRead;
    ledger.recordAnswer(this.account, this.idleSinceMs);
    ledger.update(this.account, {
      requests: this.calls.length,
      isReadingBody: false,
    });
    ledger.keepBody(this.account, 0);
    // After a response that closes its connection, the socket is ending, though not destroyed yet.
    if (!this.stream.writable) return;
    this.calls[0]?.begin();
    this.stream.proceed();
  }
}
