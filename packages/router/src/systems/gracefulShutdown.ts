/** A planned stop: the box takes callers until the platform sends no more, and ends when the last one has its answer. */
import type { DecisionLog } from '../observability/decisionLog.js';

/**
 * After a stop is requested callers are still sent here until the platform has noticed: two checks, a second apart.
 * Later connections are refused, also where the platform goes on for lack of other boxes: work that begins now could
 * not be finished.
 */
const STOP_LINGER_MS = 2_300;
/** A stopping box ends this long before it would be killed. */
const STOP_MARGIN_MS = 500;

/** What a planned stop works with. */
export interface GracefulShutdownOptions {
  readonly now: () => number;
  readonly log: DecisionLog;
  /** The process is killed this long after the stop was requested. */
  readonly graceMs: number;
  /** Requests under way. */
  readonly countExchanges: () => number;
  /** Refuses later connections of callers. */
  readonly stopAccepting: () => void;
  readonly onStopped: () => void;
}

/** The stop of one box. */
export class GracefulShutdown {
  private requestedAtMs: number | undefined;

  constructor(private readonly options: GracefulShutdownOptions) {}

  get isInProgress(): boolean {
    return this.requestedAtMs !== undefined;
  }

  /** Begins the stop; does nothing if it has begun. */
  request(): void {
    if (this.isInProgress) return;
    const { now, log, countExchanges } = this.options;
    this.requestedAtMs = now();
    log.write('lifecycle', 'stopping', { requestsInFlight: countExchanges() });
  }

  /** Runs once a tick. */
  tick(): void {
    if (this.requestedAtMs === undefined) return;
    const { now, graceMs, countExchanges, stopAccepting: refuseNew, onStopped } = this.options;
    const stoppingMs = now() - this.requestedAtMs;
    if (stoppingMs < STOP_LINGER_MS) return;
    refuseNew();
    const isLate = stoppingMs >= graceMs - STOP_MARGIN_MS;
    if (countExchanges() === 0 || isLate) onStopped();
  }
}
