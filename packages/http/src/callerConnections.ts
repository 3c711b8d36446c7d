/**
 * The open connections of callers. Requests on one connection are begun one after another: a response can be delivered only after
 * those before it, and how long they take is not known when a request is read.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { Socket } from 'node:net';

/**
 * During a shutdown a connection is kept open for this long after a response: a response that began before the shutdown did not
 * announce that the connection closes, and a caller that goes on at once sends its next request within a round trip.
 */
const FOLLOW_UP_MS = 250;

/** A request on a connection. */
interface CallerCall {
  readonly res: ServerResponse;
  /** Whether the caller lets the connection be used again. */
  readonly isReusable: boolean;
  readonly begin: () => void;
}

/** Keeps the open connections of one server. */
export class CallerConnections {
  private readonly open = new Map<Socket, CallerConnection>();
  private areClosing = false;

  constructor(
    private readonly server: Server,
    private readonly now: () => number,
  ) {
    server.on('connection', (socket: Socket) => {
      this.open.set(socket, new CallerConnection(socket, now));
      socket.once('close', () => this.open.delete(socket));
    });
  }

  /** Number of open connections. */
  get size(): number {
    return this.open.size;
  }

  /**
   * Begins a request once the responses before it on its connection have been delivered.
   *
   * @param begin gets the number of requests that the connection carried before
   */
  accept({ socket }: IncomingMessage, res: ServerResponse, begin: (earlier: number) => void): void {
    const connection = this.open.get(socket);
    if (connection === undefined) return void res.destroy();
    connection.add(res, begin);
    if (this.areClosing) connection.closeAfterResponses();
  }

  /** Refuses new connections; those that are open stay so, unlike with the method of the HTTP server. */
  stopAccepting(onAllClosed?: () => void): void {
    NetServer.prototype.close.call(this.server, onAllClosed);
  }

  /** From now on, the last response on each connection asks the caller to use it for no further request. */
  closeAfterResponses(): void {
    this.areClosing = true;
    for (const connection of this.open.values()) connection.closeAfterResponses();
  }

  /** Closes the connections that nothing was received on for longer than a caller takes that goes on at once; returns their number. */
  closeIdle(): number {
    const idle = [...this.open.values()].filter(({ idleMs }) => idleMs >= FOLLOW_UP_MS);
    for (const connection of idle) connection.close();
    return idle.length;
  }

  /** Closes all connections, each as soon as what was written to it is delivered. */
  closeAll(): void {
    for (const connection of this.open.values()) connection.close();
  }
}

/** One connection, its requests and its responses. */
class CallerConnection {
  private readonly calls: CallerCall[] = [];
  private requestCount = 0;
  private idleSinceMs: number;
  private bytesBeforeIdle = 0;

  constructor(
    private readonly socket: Socket,
    private readonly now: () => number,
  ) {
    this.idleSinceMs = now();
  }

  /** Time without a request; 0 while one is in progress or has begun to arrive. */
  get idleMs(): number {
    const isIdle = this.calls.length === 0 && this.socket.bytesRead === this.bytesBeforeIdle;
    return isIdle ? this.now() - this.idleSinceMs : 0;
  }

  add(res: ServerResponse, begin: (earlier: number) => void): void {
    const earlier = this.requestCount;
    this.requestCount += 1;
    this.calls.push({ res, isReusable: res.shouldKeepAlive, begin: () => begin(earlier) });
    res.once('close', () => this.handleDelivered());
    if (this.calls.length === 1) this.calls[0]?.begin();
  }

  /** Lets the last response that is asked for announce that the connection closes after it. */
  closeAfterResponses(): void {
    for (const { res, isReusable } of this.calls) if (!res.headersSent) res.shouldKeepAlive = isReusable;
    const last = this.calls.at(-1);
    if (last !== undefined && !last.res.headersSent) last.res.shouldKeepAlive = false;
  }

  close(): void {
    if (this.calls.length === 0) return this.socket.destroySoon();
    this.calls.length = 1;
    this.calls[0]?.res.once('close', () => this.socket.destroySoon());
  }

  private handleDelivered(): void {
    this.calls.shift();
    this.idleSinceMs = this.now();
    this.bytesBeforeIdle = this.socket.bytesRead;
    // After a response that closes its connection, the socket is ending, though not destroyed yet.
    if (this.socket.writable) this.calls[0]?.begin();
  }
}
