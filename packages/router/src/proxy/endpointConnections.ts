/**
 * Pools of connections to endpoints: one request at a time on each connection, kept alive between requests, within the
 * number that an endpoint accepts. A connection is established before a request is assigned to it, so that a failure to
 * connect proves that nothing was sent.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { Err, Ok } from '@hazelwalk/core';
import type { Result } from '@hazelwalk/core';
import { Client } from './httpClient.js';
import type { EndpointRow } from '../tables/endpointTable.js';

/**
 * Links between halls take a few milliseconds; if connecting takes longer than this, the link is cut or the host is
 * down.
 */
const CONNECT_TIMEOUT_MS = 250;
/** Idle time after which TCP keep-alive probes are sent. */
const KEEP_ALIVE_PROBE_MS = 5_000;
/** Idle connections are closed after this, or earlier if the endpoint announced a shorter time. */
const IDLE_TIMEOUT_MS = 60_000;
/** Share of an endpoint's connections that all boxes together may use. */
const USABLE_CONNECTIONS_SHARE = 0.9;

/** Starts to connect to a host and port. */
export type Dial = (address: { readonly host: string; readonly port: number }) => Socket;

/** Connects over TCP. Idle connections are probed, so that a lost link closes them. */
const dialTcp: Dial = ({ host, port }) =>
  connect({ host, port, noDelay: true, keepAlive: true, keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS });

/** Why no connection was acquired. Nothing was sent in any of these cases. */
export type ConnectFailure =
  /** No process listens on the port: the process of the endpoint has ended. */
  | 'connectRefused'
  | 'connectTimedOut'
  /** Any other network error. */
  | 'connectBroken'
  | 'connectionLimit';

/** One open connection. */
export interface EndpointConnection {
  readonly client: Client;
  readonly socket: Socket;
  idleSinceMs: number;
  /** Whether it has carried an earlier request. */
  isKept: boolean;
}

interface EndpointPool {
  readonly idle: EndpointConnection[];
  openCount: number;
}

/** Dependencies of the connection pools. */
export interface EndpointConnectionsOptions {
  readonly countBoxes: () => number;
  readonly now: () => number;
  /** Connects to endpoints; by default over TCP. */
  readonly dial?: Dial | undefined;
  /** Called for each new connection. */
  readonly onOpened: () => void;
}

/** The connections of one box to all endpoints. */
export class EndpointConnections {
  private readonly pools = new Map<string, EndpointPool>();

  constructor(private readonly options: EndpointConnectionsOptions) {}

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
    const share = Math.floor(
      (maxConnections * USABLE_CONNECTIONS_SHARE) / Math.max(1, this.options.countBoxes()),
    );
    if (pool.openCount >= Math.max(1, share)) return Err('connectionLimit');
    return this.open(row, pool);
  }

  /** Returns a connection to its pool after a complete response. */
  release(row: EndpointRow, connection: EndpointConnection): void {
    // An endpoint that responded before it read the whole request body may never read the rest.
    if (connection.socket.writableLength > 0) connection.socket.destroy();
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

  /** Closes all idle connections. */
  close(): void {
    for (const endpointId of [...this.pools.keys()]) this.forget(endpointId);
  }

  /** Checks whether an endpoint accepts connections; nothing is sent. */
  async check(row: EndpointRow): Promise<Result<void, ConnectFailure>> {
    const socket = await this.connectSocket(row);
    if (socket.err) return socket;
    socket.val.destroy();
    return Ok(undefined);
  }

  private findPool(endpointId: string): EndpointPool {
    let pool = this.pools.get(endpointId);
    if (pool === undefined) {
      pool = { idle: [], openCount: 0 };
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
    const connected = await this.connectSocket(row);
    if (connected.err) {
      pool.openCount -= 1;
      return connected;
    }
    this.options.onOpened();
    const socket = connected.val;
    const connection = {
      client: createClient(row, socket),
      socket,
      idleSinceMs: this.options.now(),
      isKept: false,
    };
    socket.once('close', () => {
      pool.openCount -= 1;
      const at = pool.idle.indexOf(connection);
      if (at >= 0) pool.idle.splice(at, 1);
    });
    return Ok(connection);
  }

  private connectSocket(row: EndpointRow): Promise<Result<Socket, ConnectFailure>> {
    const { dial = dialTcp } = this.options;
    return new Promise((resolve) => {
      const socket = dial(row.listing);
      const timer = setTimeout(() => {
        socket.destroy();
        resolve(Err('connectTimedOut'));
      }, CONNECT_TIMEOUT_MS);
      socket.once('connect', () => {
        clearTimeout(timer);
        resolve(Ok(socket));
      });
      // This listener stays for the lifetime of the socket; an error is always followed by `close`, which updates the
      // pool.
      socket.on('error', (error: NodeJS.ErrnoException) => {
        clearTimeout(timer);
        resolve(Err(error.code === 'ECONNREFUSED' ? 'connectRefused' : 'connectBroken'));
      });
    });
  }
}

/** Creates a client for one socket; it does not reconnect. */
function createClient(row: EndpointRow, socket: Socket): Client {
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
        isLost ? callback(new Error('the connection is closed'), null) : callback(null, socket),
      );
    },
  });
}
