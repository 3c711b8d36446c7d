/**
 * Pools of connections to endpoints: one request at a time on each connection, kept alive between requests, within the
 * number that an endpoint accepts. A connection is established before a request is assigned to it, so that a failure to
 * connect proves that nothing was sent.
 */
import type { Duplex } from 'node:stream';
import type { Socket } from 'node:net';
import { Err, Ok } from '@hazelwalk/core';
import type { Result } from '@hazelwalk/core';
import type { DialFailure } from '../tables/endpointPath.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import type { DialedConnection } from './endpointDialer.js';
import { EndpointDialer } from './endpointDialer.js';
import { Client } from './httpClient.js';

/** Idle connections are closed after this, or earlier if the endpoint announced a shorter time. */
const IDLE_TIMEOUT_MS = 60_000;
/** Share of an endpoint's connections that all boxes together may use. */
const USABLE_CONNECTIONS_SHARE = 0.9;
/**
 * Share of the connections not in use that one box may take beyond its own part: most callers may come to one box of each hall, while
 * the others keep idle connections.
 */
const LENT_SHARE = 0.25;

/** Why no connection was acquired. Nothing was sent in any of these cases. */
export type ConnectFailure = DialFailure | 'connectionLimit';

/** One open connection. */
export interface EndpointConnection extends DialedConnection {
  readonly client: Client;
  idleSinceMs: number;
  /** Whether it has carried an earlier request. */
  isKept: boolean;
  /** It carries no further request: the box that it passes through is about to stop, or a better path has been found. */
  isRetired: boolean;
  /** When it is closed, as that box exits; infinite if it is not about to. */
  closesAtMs: number;
}

interface EndpointPool {
  readonly idle: EndpointConnection[];
  readonly open: Set<EndpointConnection>;
  /** Open connections, and those that are being established. */
  openCount: number;
}

/** Dependencies of the connection pools. */
export interface EndpointConnectionsOptions {
  readonly countBoxes: () => number;
  readonly now: () => number;
  /** Connects to endpoints; by default directly. */
  readonly dialer?: EndpointDialer | undefined;
  /** Called for each new connection. */
  readonly onOpened: () => void;
}

/** The connections of one box to all endpoints. */
export class EndpointConnections {
  private readonly pools = new Map<string, EndpointPool>();
  private readonly dialer: EndpointDialer;

  constructor(private readonly options: EndpointConnectionsOptions) {
    this.dialer = options.dialer ?? new EndpointDialer({ now: options.now });
  }

  /**
   * Takes an idle connection or opens a new one.
   *
   * @param maxIdleMs a connection that has been idle for longer is not used
   * @param maxConnections connections that the endpoint accepts from all boxes
   */
  async acquire(
    row: EndpointRow,
    maxIdleMs: number,
    maxConnections: number,
  ): Promise<Result<EndpointConnection, ConnectFailure>> {
    const pool = this.findPool(row.listing.id);
    const idle = this.takeIdle(pool, maxIdleMs);
    if (idle !== undefined) return Ok(idle);
    if (countUsable(pool) >= this.readLimit(row, maxConnections)) return Err('connectionLimit');
    return this.open(row, pool);
  }

  /** Returns a connection to its pool after a complete response. */
  release(row: EndpointRow, connection: EndpointConnection): void {
    // An endpoint that responded before it read the whole request body may never read the rest.
    if (connection.socket.writableLength > 0 || connection.isRetired) connection.socket.destroy();
    const pool = this.pools.get(row.listing.id);
    // The endpoint has been removed in the meantime.
    if (pool === undefined) connection.socket.destroy();
    if (pool === undefined || connection.socket.destroyed) return;
    connection.idleSinceMs = this.options.now();
    connection.isKept = true;
    pool.idle.push(connection);
  }

  /** Closes the idle connections of an endpoint that was removed. */
  forget(endpointId: string): void {
    for (const connection of this.pools.get(endpointId)?.idle ?? []) connection.socket.destroy();
    this.pools.delete(endpointId);
  }

  /**
   * Closes the idle connections of an endpoint after one of its connections went silent: the next request gets a new
   * one.
   */
  retireIdle(endpointId: string): void {
    for (const connection of this.pools.get(endpointId)?.idle.splice(0) ?? []) connection.socket.destroy();
  }

  /** Uses the open connections of one kind to an endpoint for no further request. */
  retire(endpointId: string, kind: 'direct' | 'tunnel'): void {
    const pool = this.pools.get(endpointId);
    if (pool === undefined) return;
    for (const connection of [...pool.open]) {
      if ((connection.tunnel === undefined) === (kind === 'direct')) retireConnection(connection, pool);
    }
  }

  /** Closes all idle connections. */
  close(): void {
    for (const endpointId of [...this.pools.keys()]) this.forget(endpointId);
  }

  /** Checks whether an endpoint accepts connections, directly or through another box; nothing is sent. */
  async check(row: EndpointRow): Promise<Result<void, DialFailure>> {
    return closeAfter(await this.dialer.connect(row));
  }

  /** Checks whether an endpoint accepts direct connections; nothing is sent. */
  async checkDirectly(row: EndpointRow): Promise<Result<void, DialFailure>> {
    return closeAfter(await this.dialer.connectDirectly(row));
  }

  /** Connections that this box may have to an endpoint: an equal part, or more if the others use few. */
  private readLimit({ peersInFlight }: EndpointRow, maxConnections: number): number {
    const usable = maxConnections * USABLE_CONNECTIONS_SHARE;
    const part = usable / Math.max(1, this.options.countBoxes());
    return Math.max(1, Math.floor(Math.max(part, (usable - peersInFlight) * LENT_SHARE)));
  }

  private findPool(endpointId: string): EndpointPool {
    let pool = this.pools.get(endpointId);
    if (pool === undefined) {
      pool = { idle: [], open: new Set(), openCount: 0 };
      this.pools.set(endpointId, pool);
    }
    return pool;
  }

  /** Takes the connection that was used last: it is the least likely to have been closed by the endpoint. */
  private takeIdle(pool: EndpointPool, maxIdleMs: number): EndpointConnection | undefined {
    const nowMs = this.options.now();
    for (;;) {
      const connection = pool.idle.at(-1);
      if (connection === undefined) return undefined;
      if (!connection.socket.destroyed && nowMs - connection.idleSinceMs > maxIdleMs) return undefined;
      pool.idle.pop();
      if (!connection.socket.destroyed && connection.socket.readable) return connection;
    }
  }

  private async open(
    row: EndpointRow,
    pool: EndpointPool,
  ): Promise<Result<EndpointConnection, ConnectFailure>> {
    pool.openCount += 1;
    const connected = await this.dialer.connect(row);
    if (connected.err) {
      pool.openCount -= 1;
      return connected;
    }
    this.options.onOpened();
    const { socket, closesInMs } = connected.val;
    socket.prependListener('error', hideReset);
    const nowMs = this.options.now();
    const connection: EndpointConnection = {
      ...connected.val,
      client: createClient(row, socket),
      idleSinceMs: nowMs,
      isKept: false,
      isRetired: false,
      closesAtMs: nowMs + closesInMs,
    };
    pool.open.add(connection);
    connection.setRetireHandler((retiredClosesInMs) => {
      connection.closesAtMs = this.options.now() + retiredClosesInMs;
      retireConnection(connection, pool);
    });
    socket.once('close', () => {
      pool.openCount -= 1;
      pool.open.delete(connection);
      removeIdle(pool, connection);
    });
    return Ok(connection);
  }
}

/**
 * Closes a connection whose response is not read to its end. Without an error, undici takes the close for the end of a response
 * without a length, and fails with an assertion if the response is held back at the moment.
 *
 * @example closeInResponse(connection.socket) // its request ends with an error
 */
export function closeInResponse(socket: Duplex): void {
  socket.destroy(new Error('closed by this box'));
}

/** The same holds for a reset by the endpoint, which undici knows by this code. */
function hideReset(error: NodeJS.ErrnoException): void {
  if (error.code === 'ECONNRESET') delete error.code;
}

/** Uses a connection for no further request; closes it if it is idle. */
function retireConnection(connection: EndpointConnection, pool: EndpointPool): void {
  connection.isRetired = true;
  if (removeIdle(pool, connection)) connection.socket.destroy();
}

/** Counts open connections without those that are about to end: after a cut they may hang until their requests expire. */
function countUsable({ open, openCount }: EndpointPool): number {
  return openCount - [...open].filter(({ isRetired }) => isRetired).length;
}

/** Removes a connection from the idle ones; returns whether it was idle. */
function removeIdle(pool: EndpointPool, connection: EndpointConnection): boolean {
  const at = pool.idle.indexOf(connection);
  if (at >= 0) pool.idle.splice(at, 1);
  return at >= 0;
}

function closeAfter(connected: Result<DialedConnection, DialFailure>): Result<void, DialFailure> {
  if (connected.err) return connected;
  connected.val.socket.destroy();
  return Ok(undefined);
}

/** Creates a client for one socket; it does not reconnect. */
function createClient(row: EndpointRow, socket: Duplex): Client {
  let isUsed = false;
  return new Client(`http://${row.listing.host}:${row.listing.port}`, {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    connect: (_options, callback) => {
      const isLost = isUsed || socket.destroyed;
      isUsed = true;
      // Undici does not continue with its queue if the callback is called synchronously.
      queueMicrotask(() =>
        isLost ? callback(new Error('the connection is closed'), null) : callback(null, socket as Socket),
      );
    },
  });
}
