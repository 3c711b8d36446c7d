/** The parts of a box that keep streams at the software version that began them. */
import type { RouterMetrics } from '../observability/metrics.js';
import type { ListProofs } from '../published/listProofs.js';
import type { PeerMesh } from '../peers/peerMesh.js';
import type { PublishedState } from '../published/publishedState.js';
import type { EndpointTable } from '../tables/endpointTable.js';
import { OriginLookup } from './originLookup.js';
import { SoftwareVersions } from './softwareVersions.js';
import { StreamOrigins } from './streamOrigins.js';
import { StreamTracker } from './streamTracker.js';
import { VersionNotices } from './versionNotices.js';

/** A caller takes a stream up within this time, or within twice the longest timeout of a stream if that is more. */
const MIN_RETENTION_MS = 30_000;

/** Interval at which the number of known streams is measured. */
const MEASURE_INTERVAL_MS = 1_000;

/** Settings and dependencies of the parts. */
export interface BoxStreamsOptions {
  readonly hall: string;
  readonly mesh: PeerMesh;
  readonly table: EndpointTable;
  readonly state: PublishedState;
  readonly proofs: ListProofs;
  readonly metrics: RouterMetrics;
  readonly rank: (address: string) => number;
  readonly now: () => number;
}

/** The streams of one box, and what it knows of those of other boxes. */
export class BoxStreams {
  readonly tracker: StreamTracker;
  readonly lookup: OriginLookup;
  readonly notices: VersionNotices;
  private readonly origins = new StreamOrigins();
  private readonly versions: SoftwareVersions;
  private measuredAtMs = -Infinity;

  constructor(private readonly options: BoxStreamsOptions) {
    const { hall, mesh, table, state, proofs, rank, now } = options;
    const { origins } = this;
    const readRetentionMs = (): number => Math.max(MIN_RETENTION_MS, 2 * (state.index?.longestStreamMs ?? 0));
    const readUnbrokenSinceMs = (): number => state.unbrokenSinceMs;
    this.versions = new SoftwareVersions({ table, now, readUnbrokenSinceMs, readRetentionMs });
    const { versions } = this;
    this.tracker = new StreamTracker({ mesh, hall, rank, origins, versions, now, readRetentionMs });
    this.lookup = new OriginLookup({ mesh, hall, origins, versions, proofs, now, readRetentionMs });
    this.notices = new VersionNotices({ mesh, hall, rank, versions, now });
  }

  /** Runs once a tick. */
  tick(nowMs: number): void {
    this.versions.tick(nowMs);
    this.notices.tick(nowMs);
    this.tracker.tick(nowMs);
    this.lookup.tick(nowMs);
    if (nowMs - this.measuredAtMs < MEASURE_INTERVAL_MS) return;
    this.measuredAtMs = nowMs;
    this.options.metrics.knownStreams.set(this.origins.size);
  }
}
