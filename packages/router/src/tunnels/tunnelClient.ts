/** Opens tunnels to endpoints through other boxes, which connect to the endpoints in place of this one. */
import { Err, Ok } from '@hazelwalk/core';
import type { Result } from '@hazelwalk/core';
import { encodePeerFrame, PeerFrameReader } from '../peers/peerFrameCodec.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import { dialTcp } from '../proxy/dialTcp.js';
import { parseAddress } from '../peers/peerTransport.js';
import type { TunnelFailure, TunnelPeer } from './tunnelCandidates.js';
import { findPeerProblem, MAX_TUNNEL_CANDIDATES, TunnelCandidates } from './tunnelCandidates.js';
import { formatTunnelName } from './tunnelFrames.js';
import type { TunnelLog } from './tunnelLog.js';
import { isTunnelLost, TunnelStream } from './tunnelStream.js';

/** A box that has not answered after this is not waited for: it is overloaded or not reached. */
const OPEN_TIMEOUT_MS = 1_000;

/** An open tunnel. */
export interface OpenTunnel {
  readonly stream: TunnelStream;
  /** Name of the tunnel in the logs of both boxes. */
  readonly name: string;
  /** Time after which the other box closes it, counted from its opening; infinite while that box is not stopping. */
  readonly closesInMs: number;
}

/** Dependencies of the client. */
export interface TunnelClientOptions {
  readonly hall: string;
  /** Address at which this box accepts peers. */
  readonly readAddress: () => string;
  /** Boxes that may serve tunnels. */
  readonly listPeers: () => readonly TunnelPeer[];
  readonly isEnabled: () => boolean;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
  readonly now: () => number;
  readonly log: TunnelLog;
}

/** Opens the tunnels of one box. */
export class TunnelClient {
  private readonly candidates: TunnelCandidates;
  private lastNumber = 0;

  constructor(private readonly options: TunnelClientOptions) {
    this.candidates = new TunnelCandidates(options.hall, options.random);
  }

  /**
   * The boxes to ask for a tunnel to an endpoint, one after the other; those that a refusal names meanwhile come next. None if
   * tunnels are turned off.
   */
  *listCandidates({ listing }: EndpointRow): Generator<TunnelPeer, void> {
    const { isEnabled, listPeers, now } = this.options;
    if (!isEnabled()) return;
    const startedAtMs = now();
    const planned = this.candidates.choose(listPeers(), listing.hall, startedAtMs);
    const asked = new Set<string>();
    const isNew = ({ address }: TunnelPeer): boolean => !asked.has(address);
    while (asked.size < MAX_TUNNEL_CANDIDATES) {
      const named = this.candidates.listReferredSince(startedAtMs, listing.hall, now());
      const next = named.find(isNew) ?? planned.find(isNew);
      if (next === undefined) return;
      asked.add(next.address);
      yield next;
    }
  }

  /**
   * Opens a tunnel to an endpoint through a box.
   *
   * @example const opened = await client.open(peer, row); // Ok({ stream, name: '10.0.0.1:8229#7' })
   */
  async open(peer: TunnelPeer, row: EndpointRow): Promise<Result<OpenTunnel, TunnelFailure>> {
    this.lastNumber += 1;
    const number = this.lastNumber;
    const name = formatTunnelName(this.options.readAddress(), number);
    const opened = await this.request(peer, row, number);
    this.options.log.recordOpened(name, row, peer, opened.ok ? 'open' : opened.val);
    if (opened.err) {
      this.recordFailure(peer, row, opened.val);
      return opened;
    }
    this.candidates.recordOpened(peer, this.options.now());
    const { stream, closesInMs } = opened.val;
    stream.on('error', (error) => {
      if (isTunnelLost(error)) this.recordFailure(peer, row, 'unanswered');
    });
    return Ok({ stream, name, closesInMs });
  }

  private request(
    peer: TunnelPeer,
    row: EndpointRow,
    number: number,
  ): Promise<Result<Omit<OpenTunnel, 'name'>, TunnelFailure>> {
    const address = this.options.readAddress();
    return new Promise((resolve) => {
      const socket = dialTcp(parseAddress(peer.address));
      const reader = new PeerFrameReader();
      let isConnected = false;
      const stopWaiting = (): void => {
        clearTimeout(timer);
        socket.removeAllListeners('data').removeAllListeners('close');
      };
      const fail = (failure: TunnelFailure): void => {
        stopWaiting();
        socket.destroy();
        resolve(Err(failure));
      };
      const timer = setTimeout(() => fail('unanswered'), OPEN_TIMEOUT_MS);
      socket.on('error', () => socket.destroy());
      socket.once('connect', () => {
        isConnected = true;
        socket.write(encodePeerFrame({ type: 'tunnelRequest', address, number, endpointTag: row.tag }));
      });
      socket.once('close', () => fail(isConnected ? 'unsupported' : 'unanswered'));
      socket.on('data', (chunk: Buffer) => {
        const frames = reader.push(chunk);
        const [reply, ...early] = frames.ok ? frames.val : [];
        if (frames.ok && reply === undefined) return;
        if (reply?.type !== 'tunnelReply') return fail('unsupported');
        if (reply.result !== 'open') {
          this.candidates.addReferred(reply.others ?? [], this.options.now());
          return fail(reply.result);
        }
        stopWaiting();
        const { closesInMs = Infinity } = reply;
        resolve(Ok({ stream: new TunnelStream(socket, reader, early), closesInMs }));
      });
    });
  }

  private recordFailure(peer: TunnelPeer, row: EndpointRow, failure: TunnelFailure): void {
    const problem = findPeerProblem(failure);
    if (problem === undefined) return;
    this.candidates.recordProblem(peer, row.listing.hall, problem, this.options.now());
  }
}
