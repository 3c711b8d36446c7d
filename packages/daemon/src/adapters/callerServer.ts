/**
 * The callers' interface: chats on the usual chat-completions path, plain services at `/services/NAME`.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { BoxId, RequestHead, ResultCode, StreamFrame } from '@hazelwalk/core';
import { formatRawProblem } from '@hazelwalk/core';
import { CallerConnections, deriveCallerTotals, isAnnouncedTooLarge } from '@hazelwalk/http';
import type {
  BegunCall,
  CallerResourceLimits,
  CallerStream,
  CallerUse,
  EvictionCounts,
  MachineResources,
  RequestBodyHandlers,
  UnreadRefusal,
} from '@hazelwalk/http';
import { z } from 'zod';
import type { EmitEvent } from '../coreLoop.js';
import { listenOn } from './addresses.js';
import type { ResponseSink } from './exchange.js';
import { Exchange } from './exchange.js';
import type { HeaderPairs } from './headers.js';
import { HEADER, listEndToEndHeaders, readHeader } from './headers.js';
import type { Metrics } from './metrics.js';
import { sendProblem } from './problemJson.js';

const CHAT_PATH = '/v1/chat/completions';
const TICKET_PATH = '/v1/tickets';
/** Bodies of plain services up to this size are sent in one frame; those of keyed calls must not be larger. */
const MAX_INLINE_BYTES = 65_536;
const SERVICE_PATTERN = /^\/services\/([^/?]+)([/?].*)?$/;
const MAX_DEADLINE_MS = 3_600_000;
/** The caller sets no deadline, so that of the service applies. */
const NO_DEADLINE_MS = 0;
const DEFAULT_PRIORITY = 0;
const MAX_PRIORITY = 9;
/** Interval at which connections that are not used any more are closed. */
const IDLE_CHECK_MS = 50;

/** Interval at which connections that stand still are looked for. */
const STALL_CHECK_MS = 250;
/** Interval at which the HTTP server looks for heads and bodies that take too long. */
const TIMEOUT_CHECK_MS = 1_000;
/** Retry time of a caller that had to give way; another box may have room at once. */
const GIVEN_WAY_RETRY_MS = 1_000;

const chatBodySchema = z.object({ model: z.string().min(1), messages: z.array(z.unknown()).min(1) });

/** Settings and callbacks of the daemon that the server uses. */
export interface CallerServerOptions {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  /** Longest time until the head of a request, and until the whole request, has arrived. */
  readonly headerTimeoutMs: number;
  readonly bodyTimeoutMs: number;
  readonly machine: MachineResources;
  readonly callerResources: CallerResourceLimits;
  /** Called at most once a second with the connections that had to give way, by reason. */
  readonly onEvicted: (evicted: EvictionCounts, use: CallerUse) => void;
  readonly createRequestId: () => string;
  readonly isReady: () => boolean;
  readonly emit: EmitEvent;
  readonly send: (to: BoxId, frame: StreamFrame) => void;
  readonly metrics: Metrics;
  /** Issues an idempotency key for a call that may not be repeated. */
  readonly createTicket: () => string;
  /** Sinks of the responses of open requests, by request id. */
  readonly sinks: Map<string, ResponseSink>;
}

/** Serves the requests of callers. */
export class CallerServer {
  private readonly server: Server;
  private readonly connections: CallerConnections;
  private readonly stallChecks: NodeJS.Timeout;
  /** The core takes no more requests. */
  private isClosing = false;

  constructor(private readonly options: CallerServerOptions) {
    const { maxHeaderBytes, headerTimeoutMs, bodyTimeoutMs, machine, callerResources, metrics } = options;
    this.server = createServer(
      {
        maxHeaderSize: maxHeaderBytes,
        headersTimeout: headerTimeoutMs,
        requestTimeout: bodyTimeoutMs,
        connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      },
      (req, res) => this.accept(req, res),
    );
    this.connections = new CallerConnections(this.server, {
      totals: deriveCallerTotals(machine, callerResources),
      limits: callerResources,
      now: () => performance.now(),
      readMaxHeadBytes: () => maxHeaderBytes,
      formatRefusal: (reason) => this.formatUnread(reason),
      onEvicted: (reason) => metrics.count(`caller.evicted.${reason}`),
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, stream) =>
      this.refuseRaw(error, stream as CallerStream),
    );
    this.server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) => {
      const isTooLarge = req.url === CHAT_PATH && isAnnouncedTooLarge(req, options.maxBodyBytes);
      if (!isTooLarge) res.writeContinue();
      this.accept(req, res);
    });
    this.stallChecks = setInterval(() => this.checkStalls(), STALL_CHECK_MS).unref();
  }

  /** Binds the listener. */
  listen(address: string): Promise<string> {
    return listenOn(this.server, address);
  }

  /** From now on, each response asks its caller to use the connection for no further request. */
  closeAfterResponses(): void {
    this.connections.closeAfterResponses();
  }

  /**
   * Stops listening. Requests that still arrive are refused, and connections are closed when they are not used any more. Resolves
   * once all are closed.
   */
  close(): Promise<void> {
    this.isClosing = true;
    this.closeAfterResponses();
    const checks = setInterval(() => this.connections.closeIdle(), IDLE_CHECK_MS);
    return new Promise((resolve) => {
      this.connections.stopAccepting(() => {
        clearInterval(checks);
        clearInterval(this.stallChecks);
        resolve();
      });
    });
  }

  private checkStalls(): void {
    this.connections.tick();
    const evicted = this.connections.takeEvictions();
    if (Object.keys(evicted).length > 0) this.options.onEvicted(evicted, this.connections.use);
  }

  private accept(req: IncomingMessage, res: ServerResponse): void {
    this.connections.accept(req, res, {
      begin: (call) => this.handle(req, res, call),
      refuse: () => this.refuse(req, res, 'boxFull'),
    });
  }

  private handle(req: IncomingMessage, res: ServerResponse, { readBody }: BegunCall): void {
    if (this.isClosing) return this.refuse(req, res, 'stopping');
    const url = req.url ?? '/';
    const service = SERVICE_PATTERN.exec(url);
    if (url === '/healthz') return void res.end('ok\n');
    if (url === '/readyz') return this.sendReadiness(res);
    if (url === TICKET_PATH && req.method === 'POST') return this.sendTicket(res);
    if (url === CHAT_PATH && req.method === 'POST') {
      const { maxBodyBytes } = this.options;
      return readBody(
        this.createBodyHandlers(req, res, maxBodyBytes, (body) => this.startChat(req, res, body)),
      );
    }
    if (service !== null) return this.handlePlain(req, res, readBody, service[1] ?? '', service[2] ?? '/');
    this.refuse(req, res, 'notFound');
  }

  private sendReadiness(res: ServerResponse): void {
    const isReady = this.options.isReady();
    res.statusCode = isReady ? 200 : 503;
    res.end(isReady ? 'ready\n' : 'not ready\n');
  }

  private sendTicket(res: ServerResponse): void {
    res.setHeader('content-type', 'application/json');
    res.end(JSON.stringify({ key: this.options.createTicket() }));
  }

  private createBodyHandlers(
    req: IncomingMessage,
    res: ServerResponse,
    maxBytes: number,
    onBody: (body: Buffer) => void,
  ): RequestBodyHandlers {
    return {
      readLimit: () => maxBytes,
      onTooLarge: () => this.refuse(req, res, 'bodyTooLarge'),
      onEvicted: () => this.refuse(req, res, 'boxFull'),
      onComplete: (body = Buffer.alloc(0)) => onBody(body),
    };
  }

  private startChat(req: IncomingMessage, res: ServerResponse, body: Buffer): void {
    const chat = parseChatBody(body);
    if (chat === undefined) return this.refuse(req, res, 'malformedRequest');
    this.start(req, res, { kind: 'model', service: chat.model, path: CHAT_PATH, body });
  }

  /** A small body of known length is read completely, so that the request can be retried; any other body is streamed. */
  private handlePlain(
    req: IncomingMessage,
    res: ServerResponse,
    readBody: BegunCall['readBody'],
    service: string,
    rest: string,
  ): void {
    const path = rest.startsWith('/') ? rest : `/${rest}`;
    const target = { kind: 'plain', service, path } as const;
    const lengthBytes = Number(req.headers['content-length'] ?? NaN);
    if (lengthBytes > 0 && lengthBytes <= MAX_INLINE_BYTES) {
      const start = (body: Buffer): void => this.start(req, res, { ...target, body });
      return readBody(this.createBodyHandlers(req, res, MAX_INLINE_BYTES, start));
    }
    const isStreamedKeyedCall = req.headers[HEADER.key] !== undefined && announcesBody(req);
    if (isStreamedKeyedCall) return this.refuse(req, res, 'bodyTooLarge');
    this.start(req, res, target);
  }

  private start(req: IncomingMessage, res: ServerResponse, target: RequestTarget): void {
    const requestId = this.options.createRequestId();
    const given = listEndToEndHeaders(req.rawHeaders);
    const hasId = readHeader(given, HEADER.requestId) !== undefined;
    const headers: HeaderPairs = hasId ? given : [...given, [HEADER.requestId, requestId]];
    const head = buildHead(req, headers, target, requestId);
    if (head === undefined) return this.refuse(req, res, 'malformedRequest');
    const { emit, send, sinks, metrics } = this.options;
    const echoedId = readHeader(headers, HEADER.requestId) ?? requestId;
    sinks.set(requestId, new Exchange({ requestId, echoedId, head, req, res, emit, send }));
    res.on('close', () => sinks.delete(requestId));
    metrics.count('request.accepted');
    emit({ type: 'callerRequest', requestId, head });
  }

  private refuse(req: IncomingMessage, res: ServerResponse, code: ResultCode): void {
    this.options.metrics.count(`refusal.${code}`);
    const requestId = String(req.headers[HEADER.requestId] ?? this.options.createRequestId());
    sendProblem(res, { code, ran: 'no', retryAfterMs: readRetryMs(code) }, requestId, !req.complete);
  }

  private formatUnread(code: UnreadRefusal): string {
    this.options.metrics.count(`refusal.${code}`);
    return formatRawProblem({ code, ran: 'no', retryAfterMs: readRetryMs(code) });
  }

  private refuseRaw(error: NodeJS.ErrnoException, stream: CallerStream): void {
    if (error.code === 'ECONNRESET') return void stream.destroy();
    const code: ResultCode = error.code === 'HPE_HEADER_OVERFLOW' ? 'headersTooLarge' : 'malformedRequest';
    this.options.metrics.count(`refusal.${code}`);
    stream.endWith(formatRawProblem({ code, ran: 'no', retryAfterMs: 0 }));
  }
}

function readRetryMs(code: ResultCode): number {
  return code === 'boxFull' ? GIVEN_WAY_RETRY_MS : 0;
}

interface RequestTarget {
  readonly kind: RequestHead['kind'];
  readonly service: string;
  readonly path: string;
  readonly body?: Buffer;
}

function parseChatBody(body: Buffer): { model: string } | undefined {
  try {
    const parsed = chatBodySchema.safeParse(JSON.parse(body.toString('utf8')));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}

/** Reads an integer from a header; returns undefined if the value is no integer or out of range. */
function readNumber(
  headers: HeaderPairs,
  name: string,
  fallback: number,
  min: number,
  max: number,
): number | undefined {
  const text = readHeader(headers, name);
  if (text === undefined) return fallback;
  const value = Number(text);
  return Number.isInteger(value) && value >= min && value <= max ? value : undefined;
}

/** Whether the request has a body: it has a content length or a transfer encoding (RFC 9112, section 6.3). */
function announcesBody(req: IncomingMessage): boolean {
  const length = req.headers['content-length'];
  return req.headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0');
}

/** Builds the request head for routing; returns undefined if a header of the callers' interface is missing or invalid. */
function buildHead(
  req: IncomingMessage,
  headers: HeaderPairs,
  target: RequestTarget,
  requestId: string,
): RequestHead | undefined {
  const team = readHeader(headers, HEADER.team);
  const remainingMs = readNumber(headers, HEADER.deadlineMs, NO_DEADLINE_MS, 1, MAX_DEADLINE_MS);
  const priority = readNumber(headers, HEADER.priority, DEFAULT_PRIORITY, -MAX_PRIORITY, MAX_PRIORITY);
  if (team === undefined || remainingMs === undefined || priority === undefined) return undefined;
  const chat = readHeader(headers, HEADER.chat) ?? requestId;
  const key = readHeader(headers, HEADER.key);
  const streamsBody = target.body === undefined && announcesBody(req);
  return {
    ...target,
    team,
    chat,
    priority,
    remainingMs,
    method: req.method ?? 'GET',
    headers,
    streamsBody,
    key,
  };
}
