/**
 * The HTTP server for callers; an exchange handles each request.
 *
 * During a graceful shutdown the server keeps accepting for a while, because callers are still sent here until the
 * platform has noticed that the box is not ready. It then closes idle connections and stops after the last response.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { formatRawProblem } from '@hazelwalk/core';
import type { ResultCode } from '@hazelwalk/core';
import { CallerConnections } from '@hazelwalk/http';
import { afterSocketReads } from '../afterSocketReads.js';
import type { StopLog } from '../observability/stopLog.js';
import type { CallerLimits } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import { Exchange } from './exchange.js';
import type { RequestArrival } from './exchange.js';
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

/** Serves callers. */
export class CallerServer {
  private readonly server: Server;
  private readonly connections: CallerConnections;

  constructor(
    private readonly context: RouterContext,
    private readonly stopLog: StopLog,
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
    this.connections = new CallerConnections(this.server, context.now);
    this.server.on('clientError', (error: NodeJS.ErrnoException, socket) =>
      this.handleParseError(error, socket as Socket),
    );
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

  private acceptRequest(req: IncomingMessage, res: ServerResponse): void {
    const arrivedAtMs = this.context.now();
    this.connections.accept(req, res, (earlierOnConnection) =>
      this.handleRequest(req, res, { arrivedAtMs, earlierOnConnection }),
    );
  }

  private handleRequest(req: IncomingMessage, res: ServerResponse, arrival: RequestArrival): void {
    const { context } = this;
    const limits = context.readIndex()?.configuration.limits;
    if (limits !== undefined && measureHead(req) > limits.maxHeaderBytes) {
      return this.refuse(req, res, 'headersTooLarge', '');
    }
    const request = context.dialect.readRequest(req.headers);
    if (request === undefined) return this.refuse(req, res, 'malformedRequest', '');
    if (context.readRemainingMs() <= 0) return this.refuse(req, res, 'stopping', request.requestId);
    new Exchange(context, { req, res, request, ...arrival }).start();
  }

  private refuse(req: IncomingMessage, res: ServerResponse, code: ResultCode, requestId: string): void {
    const { context } = this;
    context.metrics.outcomes.inc({ outcome: code });
    context.log.write('notable', 'requestRefused', { code, path: req.url, requestId });
    req.resume();
    const retryAfterMs = code === 'stopping' ? pickElsewhereMs() : 0;
    sendRefusal(res, context.dialect, { code, ran: 'no', retryAfterMs }, requestId, true);
  }

  private handleParseError(error: NodeJS.ErrnoException, socket: Socket): void {
    const code = classifyParseError(error);
    if (code !== undefined) {
      this.context.metrics.outcomes.inc({ outcome: code });
      this.context.log.write('notable', 'requestRefused', { code, detail: error.code });
      if (socket.writable && socket.bytesWritten === 0)
        return void socket.end(formatRawProblem({ code, ran: 'no', retryAfterMs: 0 }));
    }
    socket.destroy();
  }
}

/** Returns the result code for a request head that could not be parsed; undefined if the connection merely broke. */
function classifyParseError(error: NodeJS.ErrnoException): ResultCode | undefined {
  if (error.code === 'HPE_HEADER_OVERFLOW') return 'headersTooLarge';
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT' || error.code?.startsWith('HPE_') === true)
    return 'malformedRequest';
  return undefined;
}

function measureHead(req: IncomingMessage): number {
  const text = (req.method?.length ?? 0) + (req.url?.length ?? 0) + req.rawHeaders.length * 2;
  return req.rawHeaders.reduce((sum, part) => sum + part.length, text + HEADER_LINE_OVERHEAD_BYTES);
}
