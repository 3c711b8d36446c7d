/**
 * The HTTP server for callers; an exchange handles each request.
 *
 * During a graceful shutdown the server keeps accepting for a while, because callers are still sent here until the
 * platform has noticed that the box is not ready. It then closes idle connections and stops after the last response.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { formatRawProblem } from '@hazelwalk/core';
import type { ResultCode } from '@hazelwalk/core';
import { CallerConnections, deriveCallerTotals, isAnnouncedTooLarge } from '@hazelwalk/http';
import type {
  BegunCall,
  CallerResourceLimits,
  CallerStream,
  MachineResources,
  UnreadRefusal,
} from '@hazelwalk/http';
import { afterSocketReads } from '../afterSocketReads.js';
import type { StopLog } from '../observability/stopLog.js';
import type { CallerLimits } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import { Exchange } from './exchange.js';
import { pickElsewhereMs, sendRefusal } from './refusal.js';

/** The parser refuses request heads larger than this, whatever the configuration allows. */
const PARSER_MAX_HEADER_BYTES = 65_536;
/**
 * Idle connections are kept this much longer than the idle timeout that callers know, so that no request is sent on a
 * connection that is being closed.
 */
const IDLE_MARGIN_MS = 3_000;
/** Interval of the checks for request heads that take too long. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000;
/** Length of the queue of connections to be accepted; if it is full, a caller is delayed by seconds. */
const BACKLOG = 1_024;
/** Bytes that a header line adds to name and value: colon, space and line end. */
const HEADER_LINE_OVERHEAD_BYTES = 4;

/** The machine of the box, and what callers may take of it. */
export interface CallerServerOptions {
  readonly machine: MachineResources;
  readonly callerResources: CallerResourceLimits;
}

/** Serves callers. */
export class CallerServer {
  private readonly server: Server;
  private readonly connections: CallerConnections;

  constructor(
    private readonly context: RouterContext,
    private readonly stopLog: StopLog,
    { machine, callerResources }: CallerServerOptions,
  ) {
    this.server = createServer(
      {
        maxHeaderSize: PARSER_MAX_HEADER_BYTES,
        connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (req, res) => this.acceptRequest(req, res),
    );
    this.connections = new CallerConnections(this.server, {
      totals: deriveCallerTotals(machine, callerResources),
      limits: callerResources,
      now: context.now,
      readMaxHeadBytes: () => this.limits?.maxHeaderBytes ?? PARSER_MAX_HEADER_BYTES,
      formatRefusal: (reason) => this.formatUnread(reason),
      onEvicted: (reason) => context.metrics.callerEvictions.inc({ reason }),
    });
    this.server.on('clientError', (error: NodeJS.ErrnoException, stream) =>
      this.handleParseError(error, stream as CallerStream),
    );
    this.server.on('checkContinue', (req: IncomingMessage, res: ServerResponse) => {
      if (!isAnnouncedTooLarge(req, this.limits?.maxBodyBytes ?? Infinity)) res.writeContinue();
      this.acceptRequest(req, res);
    });
  }

  /** Applies the limits of a new configuration. */
  applyLimits(limits: CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  }

  /** Binds the server. Rejects if the address is taken. */
  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ host, port, backlog: BACKLOG }, () => {
        this.server.off('error', reject);
        resolve();
      });
    });
  }

  /** Port on which the server listens; 0 if it is not bound. */
  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  }

  /** Number of open connections. */
  get openCount(): number {
    return this.connections.size;
  }

  /** Whether new connections are accepted. */
  get isAccepting(): boolean {
    return this.server.listening;
  }

  /** From now on, each response asks its caller to use the connection for no further request. */
  closeAfterResponses(): void {
    this.connections.closeAfterResponses();
  }

  /** Refuses new connections, after those that have come up were accepted; those that are open stay so. */
  stopAccepting(): void {
    afterSocketReads(() => {
      if (this.isAccepting) this.connections.stopAccepting();
    });
  }

  /** Closes the connections that are not about to be used again. */
  closeIdle(): void {
    this.stopLog.countClosedIdle(this.connections.closeIdle());
  }

  /** Closes all connections, after what has arrived on them was read and what was written is delivered. */
  closeAll(): void {
    afterSocketReads(() => this.connections.closeAll());
  }

  /** Stops accepting connections and closes all of them. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Lets connections give way that stand still, and counts what callers hold. */
  tick(): void {
    if (!this.connections.tick()) return;
    const { metrics, log } = this.context;
    const { connections, heldBytes, heapBytes, waitingBodies } = this.connections.use;
    metrics.callerConnections.set(connections);
    metrics.callerBytes.set({ kind: 'buffers' }, heldBytes);
    metrics.callerBytes.set({ kind: 'objects' }, heapBytes);
    metrics.waitingBodies.set(waitingBodies);
    const evicted = this.connections.takeEvictions();
    if (Object.keys(evicted).length > 0)
      log.write('notable', 'callersEvicted', { ...evicted, ...this.connections.use });
  }

  private get limits(): CallerLimits | undefined {
    return this.context.readIndex()?.configuration.limits;
  }

  private acceptRequest(req: IncomingMessage, res: ServerResponse): void {
    const arrivedAtMs = this.context.now();
    this.connections.accept(req, res, {
      begin: (call) => this.handleRequest(req, res, call, arrivedAtMs),
      refuse: () => this.refuse(req, res, 'boxFull', readRequestId(this.context, req)),
    });
  }

  private handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
    call: BegunCall,
    arrivedAtMs: number,
  ): void {
    const { context, limits } = this;
    if (limits !== undefined && measureHead(req) > limits.maxHeaderBytes) {
      return this.refuse(req, res, 'headersTooLarge', '');
    }
    const request = context.dialect.readRequest(req.headers);
    if (request === undefined) return this.refuse(req, res, 'malformedRequest', '');
    if (context.readRemainingMs() <= 0) return this.refuse(req, res, 'stopping', request.requestId);
    new Exchange(context, { req, res, request, ...call, arrivedAtMs }).start();
  }

  private refuse(req: IncomingMessage, res: ServerResponse, code: ResultCode, requestId: string): void {
    const { context } = this;
    context.metrics.outcomes.inc({ outcome: code });
    context.log.write('notable', 'requestRefused', { code, path: req.url, requestId });
    req.resume();
    const retryAfterMs = code === 'stopping' || code === 'boxFull' ? pickElsewhereMs() : 0;
    sendRefusal(res, context.dialect, { code, ran: 'no', retryAfterMs }, requestId, true);
  }

  /** Formats the response for a connection that gives way, or whose head is too large, before its request was read. */
  private formatUnread(code: UnreadRefusal): string {
    this.context.metrics.outcomes.inc({ outcome: code });
    const retryAfterMs = code === 'boxFull' ? pickElsewhereMs() : 0;
    return formatRawProblem({ code, ran: 'no', retryAfterMs });
  }

  private handleParseError(error: NodeJS.ErrnoException, stream: CallerStream): void {
    const code = classifyParseError(error);
    if (code !== undefined) {
      this.context.metrics.outcomes.inc({ outcome: code });
      this.context.log.write('notable', 'requestRefused', { code, detail: error.code });
      if (stream.bytesWritten === 0)
        return stream.endWith(formatRawProblem({ code, ran: 'no', retryAfterMs: 0 }));
    }
    stream.destroy();
  }
}

/** Returns the result code for a request head that could not be parsed; undefined if the connection merely broke. */
function classifyParseError(error: NodeJS.ErrnoException): ResultCode | undefined {
  if (error.code === 'HPE_HEADER_OVERFLOW') return 'headersTooLarge';
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT' || error.code?.startsWith('HPE_') === true)
    return 'malformedRequest';
  return undefined;
}

function readRequestId({ dialect }: RouterContext, req: IncomingMessage): string {
  return dialect.readRequest(req.headers)?.requestId ?? '';
}

function measureHead(req: IncomingMessage): number {
  const text = (req.method?.length ?? 0) + (req.url?.length ?? 0) + req.rawHeaders.length * 2;
  return req.rawHeaders.reduce((sum, part) => sum + part.length, text + HEADER_LINE_OVERHEAD_BYTES);
}
