/**
 * Connections to endpoints: one request at a time on each, kept open between requests, within the number that an
 * endpoint accepts. A connection is made before a request is handed to it, so that a failure to connect proves that
 * nothing was sent.
 */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { Err, Ok } from '@hazelwalk/core';
import type { Result } from '@hazelwalk/core';
import { Client } from './httpClient.js';
import type { EndpointRow } from '../tables/endpointTable.js';

/** Links between halls take some milliseconds; a connection that is not up by then meets a cut or a dead host. */
const CONNECT_TIMEOUT_MS = 250;
/** Kept connections carry keep-alive probes after this much silence. */
const KEEP_ALIVE_PROBE_MS = 5_000;
/** A connection idle for longer is closed by this side, unless the endpoint announced less. */
const IDLE_MS = 60_000;
/** Part of an endpoint's connections that all boxes together may use. */
const USED_CONNECTIONS_SHARE = 0.9;

/** Why there is no connection. Nothing was sent in any of these cases. */
export type ConnectFailure =
  /** Nobody listens there: the process that did has ended. */
  | 'connectRefused'
  | 'connectTimedOut'
  /** Any other error of the network. */
  | 'connectBroken'
  | 'connectionLimit';

/** One open connection. */
export interface EndpointConnection {
  readonly client: Client;
  readonly socket: Socket;
  idleSinceMs: number;
  /** It carried a request before the present one. */
  isKept: boolean;
}

interface EndpointPool {
  readonly idle: EndpointConnection[];
  openCount: number;
}

/** What the pools need to know. */
export interface EndpointConnectionsOptions {
  readonly countBoxes: () => number;
  readonly now: () => number;
  /** Called for each new connection. */
  readonly onOpened: () => void;
}

/** The connections of one box to all endpoints. */
export class EndpointConnections {
  private readonly pools = new Map<string, EndpointPool>();

  constructor(private readonly options: EndpointConnectionsOptions) {}

  /**
   * Takes an idle connection or makes a new one.
   *
   * @param maxIdleMs a connection that rested for longer is not used
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
      (maxConnections * USED_CONNECTIONS_SHARE) / Math.max(1, this.options.countBoxes()),
    );
    if (pool.openCount >= Math.max(1, share)) return Err('connectionLimit');
    return this.open(row, pool);
  }

  /** Gives a connection back after a whole answer. */
  release(row: EndpointRow, connection: EndpointConnection): void {
    // An endpoint that answered before it read the whole body may never read the rest.
    if (connection.socket.writableLength > 0) connection.socket.destroy();
    const pool = this.pools.get(row.listing.id);
    // An endpoint that is gone meanwhile is not asked again.
    if (pool === undefined) connection.socket.destroy();
    if (pool === undefined || connection.socket.destroyed) return;
    connection.idleSinceMs = this.options.now();
    connection.isKept = true;
    pool.idle.push(connection);
  }

  /** Closes the idle connections of an endpoint that is gone. */
  forget(endpointId: string): void {
    for (const connection of this.pools.get(endpointId)?.idle ?? []) connection.socket.destroy();
    this.pools.delete(endpointId);
  }

  /** Closes the idle connections of an endpoint: one like them says nothing, and the next request needs a sound one. */
  retireIdle(endpointId: string): void {
    for (const connection of this.pools.get(endpointId)?.idle.splice(0) ?? []) connection.socket.destroy();
  }

  /** Closes all idle connections. */
  close(): void {
    for (const endpointId of [...this.pools.keys()]) this.forget(endpointId);
  }

  /** Finds out whether an endpoint accepts connections; nothing is sent. */
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

  /** The connection used last is the least likely to have been closed at the other end. */
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
    const made = await this.connectSocket(row);
    if (made.err) {
      pool.openCount -= 1;
      return made;
    }
    this.options.onOpened();
    const socket = made.val;
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
    const { host, port } = row.listing;
    return new Promise((resolve) => {
      const socket = connect({
        host,
        port,
        noDelay: true,
        keepAlive: true,
        keepAliveInitialDelay: KEEP_ALIVE_PROBE_MS,
      });
      const timer = setTimeout(() => {
        socket.destroy();
        resolve(Err('connectTimedOut'));
      }, CONNECT_TIMEOUT_MS);
      socket.once('connect', () => {
        clearTimeout(timer);
        resolve(Ok(socket));
      });
      // Stays for the life of the socket: an error is always followed by `close`, which is what counts.
      socket.on('error', (error: NodeJS.ErrnoException) => {
        clearTimeout(timer);
        resolve(Err(error.code === 'ECONNREFUSED' ? 'connectRefused' : 'connectBroken'));
      });
    });
  }
}

/** A client that lives and dies with one socket. */
function createClient(row: EndpointRow, socket: Socket): Client {
  let isUsed = false;
  return new Client(`http://${row.listing.host}:${row.listing.port}`, {
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: IDLE_MS,
    connect: (_options, callback) => {
      const isLost = isUsed || socket.destroyed;
      isUsed = true;
      // The library does not go on with its queue if it is called back at once.
      queueMicrotask(() =>
        isLost ? callback(new Error('the connection is closed'), null) : callback(null, socket),
      );
    },
  });
}
