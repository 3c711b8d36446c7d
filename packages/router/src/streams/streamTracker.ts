/**
 * Records where the streams of this box began, and reports it to other boxes while the service has more than one software
 * version: so that a caller can take a stream up at any box, also when this one is gone. With one version nothing is sent.
 */
import type { PeerMesh } from '../peers/peerMesh.js';
import type { SoftwareVersions } from './softwareVersions.js';
import type { OriginOfStream, StreamOriginsFrame } from './streamFrames.js';
import { packOrigins, unpackOrigins } from './streamFrames.js';
import type { StreamKey, StreamOrigin, StreamOrigins } from './streamOrigins.js';
import type { ReplicaCandidate } from './streamReplicas.js';
import { pickHallReplicas, pickRemoteReplica, pickReplicas } from './streamReplicas.js';

/** Interval of the reports in a larger fleet, where a relay gets those of many boxes; in a small one they go out at once. */
const RELAYED_REPORT_MS = 200;
/** Streams in one report. The rest follows in the next one. */
const MAX_STREAMS_PER_REPORT = 2_048;
/** Interval at which old origins are removed. */
const SWEEP_INTERVAL_MS = 1_000;
/** Hops of a report that a relay has passed on to another hall. */
const HOPS_TO_OTHER_HALL = 1;

/** Settings and dependencies of the tracker. */
export interface StreamTrackerOptions {
  readonly mesh: Pick<PeerMesh, 'address' | 'isFullMesh' | 'listReachable' | 'sendToEach'>;
  readonly hall: string;
  /** Rank of an address, by which all boxes agree on the relays of a hall. */
  readonly rank: (address: string) => number;
  readonly origins: StreamOrigins;
  readonly versions: SoftwareVersions;
  readonly now: () => number;
  /** How long a stream may go on after its first event. */
  readonly readRetentionMs: () => number;
}

/** A stream that goes on at this box. */
interface RunningStream {
  readonly origin: StreamOrigin;
  isReported: boolean;
}

/** The streams of one box. */
export class StreamTracker {
  private readonly running = new Map<StreamKey, RunningStream>();
  /** Streams of the own hall that this box, as a relay, has to pass on. */
  private readonly relayed: OriginOfStream[] = [];
  private reportedAtMs = -Infinity;
  private sweptAtMs = -Infinity;

  constructor(private readonly options: StreamTrackerOptions) {}

  /** Records that the first event of a stream was sent to its caller. */
  recordFirstEvent(key: StreamKey, origin: StreamOrigin): void {
    const recorded = this.options.origins.record(key, origin, this.options.now());
    this.running.set(key, { origin: recorded, isReported: false });
  }

  /** Records that a stream has ended at this box. What ended before it was reported is not taken up any more. */
  recordEnd(key: StreamKey): void {
    this.running.delete(key);
  }

  /** Runs once a tick: reports new streams and removes old ones. */
  tick(nowMs: number): void {
    const { mesh, origins, versions, readRetentionMs } = this.options;
    const intervalMs = mesh.isFullMesh ? 0 : RELAYED_REPORT_MS;
    const isDue = nowMs - this.reportedAtMs >= intervalMs;
    if (isDue && (versions.isAnyMixed || this.relayed.length > 0)) this.report(nowMs);
    if (nowMs - this.sweptAtMs < SWEEP_INTERVAL_MS) return;
    this.sweptAtMs = nowMs;
    origins.removeBefore(nowMs - readRetentionMs());
  }

  /** Keeps what another box reports. */
  handleOrigins({ hops, origins }: StreamOriginsFrame): void {
    const nowMs = this.options.now();
    const streams = unpackOrigins(origins).map(({ key, origin }) => ({
      key,
      origin: this.options.origins.record(key, origin, nowMs),
    }));
    const mustRelay = !this.options.mesh.isFullMesh && hops < HOPS_TO_OTHER_HALL;
    if (mustRelay && this.findRemoteReplica() !== undefined) this.relayed.push(...streams);
  }

  private report(nowMs: number): void {
    this.reportedAtMs = nowMs;
    const streams = this.takeUnreported();
    if (streams.length + this.relayed.length === 0) return;
    const { mesh } = this.options;
    if (mesh.isFullMesh) return this.send(pickReplicas(this.owner, this.listPeers()), streams, 0);
    const hallPeers = this.listPeers().filter(({ hall }) => hall === this.options.hall);
    this.send(pickHallReplicas(this.owner, hallPeers), streams, 0);
    const remote = this.findRemoteReplica();
    const passedOn = [...this.relayed.splice(0).slice(-MAX_STREAMS_PER_REPORT), ...streams];
    if (remote !== undefined) this.send([remote], passedOn, HOPS_TO_OTHER_HALL);
  }

  private takeUnreported(): OriginOfStream[] {
    const streams: OriginOfStream[] = [];
    for (const [key, stream] of this.running) {
      if (stream.isReported || !this.options.versions.isMixed(stream.origin.service)) continue;
      if (streams.length >= MAX_STREAMS_PER_REPORT) break;
      stream.isReported = true;
      streams.push({ key, origin: stream.origin });
    }
    return streams;
  }

  private send(addresses: readonly string[], streams: readonly OriginOfStream[], hops: number): void {
    if (streams.length === 0 || addresses.length === 0) return;
    this.options.mesh.sendToEach(addresses, { type: 'streamOrigins', hops, origins: packOrigins(streams) });
  }

  /** In a larger fleet only the first boxes of a hall have links to other halls. */
  private findRemoteReplica(): string | undefined {
    const others = this.listPeers().filter(({ hall }) => hall !== this.options.hall);
    return pickRemoteReplica(this.owner, others);
  }

  private get owner(): { address: string; hall: string; rank: (address: string) => number } {
    const { mesh, hall, rank } = this.options;
    return { address: mesh.address, hall, rank };
  }

  private listPeers(): ReplicaCandidate[] {
    return this.options.mesh
      .listReachable()
      .filter(({ tracksStreams = false, isStopping }) => tracksStreams && !isStopping);
  }
}
