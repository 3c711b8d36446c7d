/** One box's view of the loads of the others: what it knows, how complete that is, and how old. */
import type { LoadList } from '../systems/loadExchange.js';
import { applyPeerLoads } from '../systems/loadExchange.js';
import { REPORT_TTL_MS } from '../systems/recentReports.js';
import type { EndpointTable } from '../tables/endpointTable.js';
import type { LoadCoverage } from './loadFrames.js';
import type { PeerMesh } from './peerMesh.js';

/** A sum of less than this share of the boxes is partial. Some may be missing for a moment as boxes join and leave. */
const MIN_WHOLE_SHARE = 0.9;

/** Completeness and age of a box's view of the loads of other boxes. */
export interface LoadViewStatus {
  /** `missing`: nothing was received for so long that the loads of other boxes count as zero. */
  readonly extent: 'whole' | 'partial' | 'missing';
  /** Number of boxes whose loads are known, including this one. */
  readonly boxes: number;
  /** Age of the oldest of these loads. */
  readonly ageMs: number;
}

/** Dependencies of the view. */
export interface LoadViewOptions {
  readonly mesh: Pick<PeerMesh, 'isFullMesh' | 'countBoxes'>;
  readonly table: EndpointTable;
  readonly now: () => number;
}

/** The loads that were applied last. */
export class LoadView {
  private coverage: LoadCoverage = { boxes: 1, ageMs: 0 };
  private appliedAtMs = -Infinity;

  constructor(private readonly options: LoadViewOptions) {}

  /** Writes the loads of other boxes into the table. */
  apply(lists: readonly LoadList[], { boxes, ageMs }: LoadCoverage): void {
    this.coverage = { boxes, ageMs };
    this.appliedAtMs = this.options.now();
    applyPeerLoads(this.options.table, lists);
  }

  /** Completeness and age of the view. */
  readStatus(): LoadViewStatus {
    const { mesh, now } = this.options;
    const ageMs = this.readAgeMs();
    if (!mesh.isFullMesh && now() - this.appliedAtMs > REPORT_TTL_MS)
      return { extent: 'missing', boxes: 1, ageMs };
    const { boxes } = this.coverage;
    return { extent: boxes < MIN_WHOLE_SHARE * mesh.countBoxes() ? 'partial' : 'whole', boxes, ageMs };
  }

  /** Age of the oldest loads that are known; infinite before the first. */
  readAgeMs(): number {
    return this.coverage.ageMs + this.options.now() - this.appliedAtMs;
  }
}
