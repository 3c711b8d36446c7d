/** Tells in metrics and logs what a box knows of the loads of the others, and how old that is. */
import type { LoadViewStatus } from '../peers/loadRelay.js';
import type { DecisionLog } from './decisionLog.js';
import type { RouterMetrics } from './metrics.js';

/** What is written to. */
export interface LoadViewLogOptions {
  readonly log: DecisionLog;
  readonly metrics: RouterMetrics;
  readonly countBoxes: () => number;
}

/** Sets the gauges each time, and writes a line when loads begin or cease to be known. */
export class LoadViewLog {
  private extent: LoadViewStatus['extent'] | undefined;

  constructor(private readonly options: LoadViewLogOptions) {}

  /** Takes note of what is known now. */
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
