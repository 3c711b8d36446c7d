/**
 * The open connections of callers, and what the box grants them. Requests on one connection are begun one after another: a response
 * can be delivered only after those before it, and how long they take is not known when a request is read.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Server as NetServer } from 'node:net';
import type { Socket } from 'node:net';
import type { CallerAccount } from './callerAccount.js';
import type { CallHandlers, UnreadRefusal } from './callerConnection.js';
import { CallerConnection } from './callerConnection.js';
import type { CallerUse, Eviction, EvictionReason } from './callerLedger.js';
import { CallerLedger } from './callerLedger.js';
import type { CallerResourceLimits, CallerTotals } from './callerResources.js';
import { CallerStream } from './callerStream.js';
import { ReadingTurns } from './readingTurns.js';

/**
 * During a shutdown a connection is kept open for this long after a response: a response that began before the shutdown did not
 * announce that the connection closes, and a caller that goes on at once sends its next request within a round trip.
 */
const FOLLOW_UP_MS = 250;
/** Interval at which connections that stand still are looked for. */
const STALL_CHECK_MS = 250;

/** Shortest interval between two reports of connections that gave way, so that a log of them stays small. */
const MIN_REPORT_INTERVAL_MS = 1_000;

/** Connections that gave way, by reason. */
export type EvictionCounts = Partial<Record<EvictionReason, number>>;

/** Resources and callbacks of the server whose connections these are. */
export interface CallerConnectionsOptions {
  /** What all connections may take together. */
  readonly totals: CallerTotals;
  readonly limits: CallerResourceLimits;
  readonly now: () => number;
  /** Largest head in bytes. */
  readonly readMaxHeadBytes: () => number;
  /** Formats the response for a request that was not read as a whole. */
  readonly formatRefusal: (reason: UnreadRefusal) => string;
  /** Called for each connection that had to give way. */
  readonly onEvicted: (reason: EvictionReason) => void;
}

/** Keeps the open connections of one server. */
export class CallerConnections {
  private readonly open = new Map<object, CallerConnection>();
  private readonly byAccount = new Map<CallerAccount, CallerConnection>();
  private readonly ledger: CallerLedger;
  private readonly turns: ReadingTurns;
  private areClosing = false;
  private checkedAtMs = 0;
  private evicted: EvictionCounts = {};
  private takenAtMs = -Infinity;

  constructor(
    private readonly server: Server,
    private readonly options: CallerConnectionsOptions,
  ) {
    const { totals, limits, now } = options;
    this.ledger = new CallerLedger(totals, limits, now());
    this.turns = new ReadingTurns({ turnMs: limits.turnMs, now });
    interceptSockets(server, (socket) => this.createStream(socket));
  }

  /** Number of open connections. */
  get size(): number {
    return this.open.size;
  }

  /** What callers hold at the moment. */
  get use(): CallerUse {
    return this.ledger.use;
  }

  /** Begins a request once the responses before it on its connection have been delivered, or refuses it. */
  accept(req: IncomingMessage, res: ServerResponse, handlers: CallHandlers): void {
    const connection = this.open.get(req.socket);
    if (connection === undefined) return void res.destroy();
    connection.add(req, res, handlers);
    this.makeRoom();
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

  /**
   * Lets connections give way that stand still; to be called at least every few hundred milliseconds. Returns whether it looked:
   * more frequent calls do nothing.
   */
  tick(): boolean {
    const nowMs = this.options.now();
    if (nowMs - this.checkedAtMs < STALL_CHECK_MS) return false;
    this.checkedAtMs = nowMs;
    for (const connection of this.open.values()) connection.countBuffered();
    this.evictAll(this.ledger.listStalled(nowMs));
    return true;
  }

  /** Takes the number of connections that gave way since the last call, by reason; none once a second has not passed. */
  takeEvictions(): EvictionCounts {
    const nowMs = this.options.now();
    if (nowMs - this.takenAtMs < MIN_REPORT_INTERVAL_MS) return {};
    this.takenAtMs = nowMs;
    const taken = this.evicted;
    this.evicted = {};
    return taken;
  }

  private createStream(socket: Socket): CallerStream {
    const { limits, now, readMaxHeadBytes, formatRefusal } = this.options;
    const stream = new CallerStream(socket, this.turns);
    const connection = new CallerConnection(stream, {
      ledger: this.ledger,
      queuedRequests: limits.queuedRequests,
      now,
      readMaxHeadBytes,
      formatRefusal,
      onGrown: () => this.makeRoom(),
    });
    this.open.set(stream, connection);
    this.byAccount.set(connection.account, connection);
    stream.once('close', () => {
      this.open.delete(stream);
      this.byAccount.delete(connection.account);
    });
    this.makeRoom();
    return stream;
  }

  /** Lets connections give way while callers hold more than they may. */
  private makeRoom(): void {
    if (this.ledger.isExceeded) this.evictAll(this.ledger.listExcess(this.options.now()));
  }

  private evictAll(evictions: readonly Eviction[]): void {
    for (const { account, reason } of evictions) {
      const connection = this.byAccount.get(account);
      if (connection === undefined) continue;
      this.evicted[reason] = (this.evicted[reason] ?? 0) + 1;
      this.options.onEvicted(reason);
      connection.evict(reason);
    }
  }
}

/** Lets an HTTP server read its connections through streams of ours, instead of the sockets themselves. */
function interceptSockets(server: Server, createStream: (socket: Socket) => CallerStream): void {
  const listeners = server.listeners('connection');
  server.removeAllListeners('connection');
  server.on('connection', (socket: Socket) => {
    const stream = createStream(socket);
    for (const listener of listeners) listener.call(server, stream);
  });
}
