/**
 * Connects to endpoints: directly, or through another box where direct connections fail. A box that is cut off from endpoints
 * serves its callers that way; for all decisions a tunnel is a connection of this box like any other.
 */
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { Err, Ok } from '@hazelwalk/core';
import type { Result } from '@hazelwalk/core';
import type { DialFailure } from '../tables/endpointPath.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import type { TunnelFailure } from '../tunnels/tunnelCandidates.js';
import type { OpenTunnel, TunnelClient } from '../tunnels/tunnelClient.js';
import type { Dial } from './dialTcp.js';
import { dialTcp } from './dialTcp.js';
import { raceConnections } from './raceConnections.js';
import { wasReset } from './wasReset.js';

/**
 * Links between halls take a few milliseconds; if connecting takes longer than this, the link is cut or the host is
 * down.
 */
const CONNECT_TIMEOUT_MS = 250;
/** A way that has not led to a connection after this gets company: the next one is tried beside it. */
const NEXT_WAY_DELAY_MS = 100;
/** A request goes to another endpoint after this. */
export const ALL_WAYS_TIMEOUT_MS = 300;
/** The same for an endpoint that is reached through tunnels: other endpoints are mostly reached no sooner. */
const TUNNELLED_TIMEOUT_MS = 1_000;
/** After tunnels to an endpoint failed, they are not tried again for this long; doubles with each time in a row. */
export const MIN_TUNNEL_PAUSE_MS = 250;
const MAX_TUNNEL_PAUSE_MS = 4_000;

/** An established connection to an endpoint. */
export interface DialedConnection {
  readonly socket: Duplex;
  /** Name of the tunnel that it is, in the logs of both boxes; undefined for a direct connection. */
  readonly tunnel: string | undefined;
  /** Whether it ended by a reset. */
  readonly wasReset: () => boolean;
  /** Time after which the other end closes it, counted from now, as a box on the way exits; infinite if none is about to. */
  readonly closesInMs: number;
  /**
   * Sets what is called when the other end asks for no further request on it, with the time after which it closes; a direct
   * connection never does.
   */
  readonly setRetireHandler: (onRetire: (closesInMs: number) => void) => void;
}

/** Why one way to connect failed. */
type WayFailure =
  | { readonly way: 'direct'; readonly failure: DialFailure }
  | { readonly way: 'tunnel'; readonly failure: TunnelFailure };

type Way = () => Promise<Result<DialedConnection, WayFailure>>;

/** Dependencies and callbacks of the dialer. */
export interface EndpointDialerOptions {
  /** Starts to connect; by default over TCP. */
  readonly dial?: Dial | undefined;
  /** Opens tunnels; without it, all connections are direct. */
  readonly tunnels?: Pick<TunnelClient, 'listCandidates' | 'open'> | undefined;
  readonly now: () => number;
  /** Called when a direct connection failed while a tunnel succeeded. */
  readonly onTunnelled?: ((row: EndpointRow, reason: DialFailure) => void) | undefined;
  /** Called when a direct connection succeeded. */
  readonly onDirect?: ((row: EndpointRow) => void) | undefined;
}

/** One attempt to connect to an endpoint, on all ways. */
interface ConnectAttempt {
  readonly row: EndpointRow;
  readonly startedAtMs: number;
  readonly isTunnelFirst: boolean;
  hasTriedTunnels?: boolean;
  /** A tunnel was opened. */
  isTunnelled?: boolean;
  /** Why the direct connection failed. */
  failure?: DialFailure;
}

interface TunnelPause {
  readonly lengthMs: number;
  readonly untilMs: number;
}

/** Connects one box to endpoints. */
export class EndpointDialer {
  /** Endpoints to which no tunnel could be opened. */
  private readonly pauses = new WeakMap<EndpointRow, TunnelPause>();
  /** When a direct connection to an endpoint last succeeded. */
  private readonly directAtMs = new WeakMap<EndpointRow, number>();

  constructor(private readonly options: EndpointDialerOptions) {}

  /**
   * Connects to an endpoint on its path; if that fails, in the other way. Returns `connectRefused` only if no other box
   * contradicts.
   *
   * @example (await dialer.connect(row)).map(({ tunnel }) => tunnel) // Ok(undefined) for a direct connection
   */
  async connect(row: EndpointRow): Promise<Result<DialedConnection, DialFailure>> {
    const attempt: ConnectAttempt = {
      row,
      startedAtMs: this.options.now(),
      isTunnelFirst: row.path.type === 'tunnel',
    };
    const connected = await raceConnections(this.listWays(attempt), {
      staggerMs: NEXT_WAY_DELAY_MS,
      limitMs: attempt.isTunnelFirst ? TUNNELLED_TIMEOUT_MS : ALL_WAYS_TIMEOUT_MS,
      isFinal: ({ way, failure }) => way === 'tunnel' && failure === 'connectRefused',
      discard: ({ socket }) => socket.destroy(),
    });
    if (connected.ok) return connected;
    // Another connection has found the path through other boxes meanwhile; this failure is older than that.
    if (!attempt.isTunnelFirst && row.path.type === 'tunnel') return this.connect(row);
    if (attempt.hasTriedTunnels === true) this.pauseTunnels(attempt);
    return Err(summarizeFailures(connected.val));
  }

  /** Connects to an endpoint directly, whatever its path. */
  async connectDirectly(row: EndpointRow): Promise<Result<DialedConnection, DialFailure>> {
    const dialed = await this.dialSocket(row);
    if (dialed.err) return dialed;
    this.directAtMs.set(row, this.options.now());
    this.options.onDirect?.(row);
    const socket = dialed.val;
    return Ok({
      socket,
      tunnel: undefined,
      wasReset: () => wasReset(socket),
      closesInMs: Infinity,
      setRetireHandler: () => {},
    });
  }

  /** Opens a TCP connection to an endpoint. */
  dialSocket(row: EndpointRow): Promise<Result<Socket, DialFailure>> {
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

  /** The ways to connect in the order in which they are tried; each tunnel is picked when it is its turn. */
  private *listWays(attempt: ConnectAttempt): Generator<Way, void> {
    const direct: Way = () => this.tryDirectly(attempt);
    // Most direct connections succeed, and then no box is looked up for a tunnel.
    if (!attempt.isTunnelFirst) yield direct;
    yield* this.listTunnelWays(attempt);
    if (attempt.isTunnelFirst) yield direct;
  }

  private *listTunnelWays(attempt: ConnectAttempt): Generator<Way, void> {
    const { tunnels, now } = this.options;
    const { row } = attempt;
    if (tunnels === undefined || now() < (this.pauses.get(row)?.untilMs ?? -Infinity)) return;
    for (const peer of tunnels.listCandidates(row)) {
      attempt.hasTriedTunnels = true;
      yield async () => {
        const opened = await tunnels.open(peer, row);
        if (opened.err) return Err({ way: 'tunnel', failure: opened.val });
        this.recordOpened(attempt);
        return Ok(describeTunnel(opened.val));
      };
    }
  }

  private async tryDirectly(attempt: ConnectAttempt): Promise<Result<DialedConnection, WayFailure>> {
    const { row } = attempt;
    const dialed = await this.connectDirectly(row);
    if (dialed.ok) return dialed;
    attempt.failure = dialed.val;
    if (attempt.isTunnelled === true) this.options.onTunnelled?.(row, dialed.val);
    return Err({ way: 'direct', failure: dialed.val });
  }

  /**
   * Records that a tunnel was opened, be it too late for this connection: the next one takes the path, unless a direct
   * connection has shown meanwhile that the box is not cut off.
   */
  private recordOpened(attempt: ConnectAttempt): void {
    const { row, startedAtMs, failure } = attempt;
    if ((this.directAtMs.get(row) ?? -Infinity) >= startedAtMs) return;
    this.pauses.delete(row);
    attempt.isTunnelled = true;
    if (failure !== undefined) this.options.onTunnelled?.(row, failure);
  }

  private pauseTunnels({ row, startedAtMs }: ConnectAttempt): void {
    const before = this.pauses.get(row);
    // Connections that began together fail together: they are one failure.
    if (before !== undefined && startedAtMs < before.untilMs) return;
    const lengthMs = Math.min(MAX_TUNNEL_PAUSE_MS, (before?.lengthMs ?? MIN_TUNNEL_PAUSE_MS / 2) * 2);
    this.pauses.set(row, { lengthMs, untilMs: this.options.now() + lengthMs });
  }
}

function describeTunnel({ stream, name, closesInMs }: OpenTunnel): DialedConnection {
  return {
    socket: stream,
    tunnel: name,
    closesInMs,
    wasReset: () => stream.errored !== null,
    setRetireHandler: (onRetire) => stream.setRetireHandler(onRetire),
  };
}

/** The failure of the direct way, unless other boxes saw something else than a refusal. */
function summarizeFailures(failures: readonly WayFailure[]): DialFailure {
  const direct = failures.find(({ way }) => way === 'direct')?.failure as DialFailure | undefined;
  const seenByOthers = failures.flatMap(({ way, failure }) => (way === 'tunnel' ? [failure] : []));
  if (seenByOthers.includes('connectRefused')) return 'connectRefused';
  if (direct === undefined) return 'connectTimedOut';
  return direct === 'connectRefused' && seenByOthers.some(isOtherObservation) ? 'connectBroken' : direct;
}

/** Whether another box saw that the endpoint, or the links to it, fail in another way than by a refusal. */
function isOtherObservation(failure: TunnelFailure): boolean {
  switch (failure) {
    case 'connectTimedOut':
    case 'connectBroken':
    case 'noPath':
      return true;
    case 'connectRefused':
    case 'unknownEndpoint':
    case 'stopping':
    case 'full':
    case 'turnedOff':
    case 'unanswered':
    case 'unsupported':
      return false;
  }
}
