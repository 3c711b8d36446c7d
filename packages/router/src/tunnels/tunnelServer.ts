/**
 * Extends connections of other boxes to endpoints that they do not reach themselves. The box that asks decides everything about
 * the requests; this one only passes bytes on, over a direct connection of its own and never over another tunnel.
 */
import type { Socket } from 'node:net';
import type { Result } from '@hazelwalk/core';
import { encodePeerFrame, PeerFrameReader } from '../peers/peerFrameCodec.js';
import type { DialFailure } from '../tables/endpointPath.js';
import type { StopPhase } from '../systems/gracefulShutdown.js';
import { isLeaving } from '../systems/endpointNotices.js';
import { isClosing } from '../systems/gracefulShutdown.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import { shuffle } from '../systems/shuffle.js';
import { KEEP_ALIVE_PROBE_MS } from '../proxy/dialTcp.js';
import { wasReset } from '../proxy/wasReset.js';
import type { TunnelPeer } from './tunnelCandidates.js';
import { findPeerProblem, MAX_TUNNEL_CANDIDATES } from './tunnelCandidates.js';
import type { TunnelRefusal, TunnelRequest } from './tunnelFrames.js';
import { formatTunnelName } from './tunnelFrames.js';
import type { TunnelLog } from './tunnelLog.js';
import { TunnelStream } from './tunnelStream.js';

/** Endpoints to which a box connects to find out whether a refused connection is due to its own path. */
const MAX_COMPARED_ENDPOINTS = 3;

/** Dependencies of the server. */
export interface TunnelServerOptions {
  readonly table: Pick<EndpointTable, 'byId' | 'findByTag'>;
  /** Tunnels that the box serves at a time. */
  readonly maxTunnels: number;
  /** Connects to an endpoint directly. */
  readonly dial: (row: EndpointRow) => Promise<Result<Socket, DialFailure>>;
  /** Boxes that serve tunnels. */
  readonly listPeers: () => readonly TunnelPeer[];
  readonly isEnabled: () => boolean;
  readonly readStopPhase: () => StopPhase;
  /** Time until this box has to exit; infinite while no stop is in progress. */
  readonly readRemainingMs: () => number;
  /** Called when a connection to an endpoint fails. */
  readonly onDialFailed: (row: EndpointRow) => void;
  readonly log: TunnelLog;
  readonly now: () => number;
}

/** Serves the tunnels of other boxes. */
export class TunnelServer {
  private readonly open = new Set<TunnelStream>();
  /** Tunnels whose connection to the endpoint is being established. */
  private dialing = 0;

  constructor(private readonly options: TunnelServerOptions) {}

  /** Number of tunnels that are open. */
  get size(): number {
    return this.open.size;
  }

  /** Asks the other boxes to use their tunnels for no further request, as this box is about to stop. */
  retireAll(): void {
    const remainingMs = this.options.readRemainingMs();
    for (const tunnel of this.open) tunnel.retire(remainingMs);
  }

  /**
   * Handles a request for a tunnel.
   *
   * @param socket the connection on which it was received; nothing else reads from it
   */
  async serve(request: TunnelRequest, socket: Socket): Promise<void> {
    const { table, log, onDialFailed, dial, readStopPhase } = this.options;
    const row = table.findByTag(request.endpointTag);
    const refusal = this.findRefusal(row);
    if (refusal !== undefined || row === undefined)
      return this.refuse(request, socket, refusal ?? 'unknownEndpoint');
    socket.pause();
    this.dialing += 1;
    const dialed = await dial(row);
    this.dialing -= 1;
    if (dialed.err) {
      onDialFailed(row);
      return this.refuse(request, socket, await this.findDialRefusal(row, dialed.val));
    }
    const phase = readStopPhase();
    const isStopping = socket.destroyed || isClosing(phase);
    if (isStopping || isLeaving(row)) {
      dialed.val.destroy();
      return this.refuse(request, socket, isStopping ? 'stopping' : 'unknownEndpoint');
    }
    socket.setNoDelay().setKeepAlive(true, KEEP_ALIVE_PROBE_MS);
    const remainingMs = this.options.readRemainingMs();
    const closesInMs = remainingMs === Infinity ? undefined : remainingMs;
    socket.write(encodePeerFrame({ type: 'tunnelReply', result: 'open', closesInMs }));
    const name = formatTunnelName(request.address, request.number);
    const tunnel = new TunnelStream(socket, new PeerFrameReader());
    this.forward(tunnel, dialed.val, name, row);
    // It carries one request, so that it does not hold up the stop.
    if (phase === 'lingering') tunnel.retire(remainingMs);
    log.recordServed(name, row, this.open.size);
  }

  /** Refuses a tunnel; names boxes that may serve it if the endpoint is not the reason. */
  private refuse({ address }: TunnelRequest, socket: Socket, result: TunnelRefusal): void {
    const others = findPeerProblem(result) === undefined ? undefined : this.listOtherServers(address);
    socket.on('error', () => socket.destroy());
    socket.end(encodePeerFrame({ type: 'tunnelReply', result, others }));
  }

  /** A few boxes that state that they serve tunnels; others may be cut off like this one. */
  private listOtherServers(requester: string): Pick<TunnelPeer, 'address' | 'hall'>[] {
    const peers = this.options.listPeers();
    const servers = peers.filter(
      ({ address, availability }) => availability === 'serving' && address !== requester,
    );
    const named = shuffle(servers, Math.random).slice(0, MAX_TUNNEL_CANDIDATES);
    return named.map(({ address, hall }) => ({ address, hall }));
  }

  private findRefusal(row: EndpointRow | undefined): TunnelRefusal | undefined {
    const { isEnabled, readStopPhase } = this.options;
    if (!isEnabled()) return 'turnedOff';
    if (isClosing(readStopPhase())) return 'stopping';
    if (this.open.size + this.dialing >= this.options.maxTunnels) return 'full';
    // The other box may lack the change: its request would be sent to an endpoint that has left.
    if (row === undefined || isLeaving(row)) return 'unknownEndpoint';
    const isDark = row.health.type === 'unreachable' && !row.health.isProcessGone;
    return isDark || row.path.type === 'tunnel' ? 'noPath' : undefined;
  }

  /**
   * Finds what a failed connection shows about the endpoint. A refusal is its own only if this box still reaches another one:
   * where the box is cut off, too, connections to all of them may be refused.
   */
  private async findDialRefusal(row: EndpointRow, failure: DialFailure): Promise<TunnelRefusal> {
    if (failure !== 'connectRefused') return failure;
    for (const other of this.listOthers(row)) {
      const dialed = await this.options.dial(other);
      if (dialed.err) continue;
      dialed.val.destroy();
      return 'connectRefused';
    }
    return 'noPath';
  }

  /** Endpoints that this box reached last. Several, as others may have ended together with this one. */
  private listOthers(row: EndpointRow): EndpointRow[] {
    return [...this.options.table.byId.values()]
      .filter((other) => other !== row && other.health.type !== 'unreachable' && other.path.type === 'direct')
      .sort((a, b) => b.lastResponseAtMs - a.lastResponseAtMs)
      .slice(0, MAX_COMPARED_ENDPOINTS);
  }

  /** Passes bytes on in both directions, each no faster than its reader accepts them, until either side ends. */
  private forward(tunnel: TunnelStream, endpoint: Socket, name: string, row: EndpointRow): void {
    const { log, now } = this.options;
    const openedAtMs = now();
    this.open.add(tunnel);
    tunnel.pipe(endpoint, { end: false });
    endpoint.pipe(tunnel, { end: false });
    endpoint.on('end', () => (wasReset(endpoint) ? tunnel.reset() : tunnel.end()));
    endpoint.on('error', () => tunnel.reset());
    endpoint.on('close', () => {
      // After a regular end, what is still buffered is delivered first.
      if (!tunnel.writableEnded) tunnel.destroy();
    });
    // The other box closes the tunnel where it would have closed a connection of its own.
    tunnel.on('end', () => endpoint.destroy());
    tunnel.on('error', () => endpoint.destroy());
    tunnel.on('close', () => {
      this.open.delete(tunnel);
      endpoint.destroy();
      const { receivedBytes, sentBytes } = tunnel;
      log.recordServedEnd(name, row, this.open.size, { receivedBytes, sentBytes, ageMs: now() - openedAtMs });
    });
  }
}
