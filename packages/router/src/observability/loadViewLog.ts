/** Reports in metrics and logs how much a box knows about the loads of the other boxes, and how old that data is. */
import type { LoadViewStatus } from '../peers/loadRelay.js';
import type { DecisionLog } from './decisionLog.js';
import type { RouterMetrics } from './metrics.js';

/** Dependencies of the log. */
export interface LoadViewLogOptions {
  readonly log: DecisionLog;
  readonly metrics: RouterMetrics;
  readonly countBoxes: () => number;
}

/** Updates the gauges on each call, and writes a log line when the extent of the known loads changes. */
export class LoadViewLog {
  private extent: LoadViewStatus['extent'] | undefined;

  constructor(private readonly options: LoadViewLogOptions) {}

  /** Records the current state of the known loads. */
  record({ extent, boxes, ageMs }: LoadViewStatus): void {
    const { log, metrics, countBoxes } = this.options;
    metrics.loadBoxes.set(boxes);
    metrics.loadAgeMs.set(ageMs);
    if (extent === this.extent) return;
    const before = this.extent;
    this.extent = extent;
    const fleetBoxes = countBoxes();
    log.write('notable', 'loadKnowledge', { extent, before, boxes, fleetBoxes, ageMs: Math.round(ageMs) });
  }
}
