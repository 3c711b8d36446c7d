/**
 * Graceful shutdown: the box accepts callers until the platform sends no more, and stops when the last one has its
 * response.
 */
import type { DecisionLog } from '../observability/decisionLog.js';

/**
 * After a stop is requested, callers are still sent here until the platform has detected it, which takes two checks,
 * a second apart. Later connections are refused, even if the platform keeps sending callers for lack of other boxes:
 * requests accepted now could not be finished.
 */
const STOP_LINGER_MS = 2_300;
/** A box that is shutting down stops this long before it would be killed. */
const STOP_MARGIN_MS = 500;

/** How far the shutdown of a box has come. */
export type StopPhase =
  /** No stop was requested. */
  | 'running'
  /** It is to stop, and accepts what still comes. */
  | 'lingering'
  /** It accepts nothing more, and waits for what is in progress. */
  | 'finishing';

/** Settings, dependencies and callbacks of the shutdown. */
export interface GracefulShutdownOptions {
  readonly now: () => number;
  readonly log: DecisionLog;
  /** The process is killed this long after the stop was requested. */
  readonly graceMs: number;
  /** Number of requests in flight. */
  readonly countExchanges: () => number;
  /** Number of tunnels that other boxes use. */
  readonly countTunnels: () => number;
  /** Asks the other boxes to use their tunnels for no further request. */
  readonly retireTunnels: () => void;
  /** Refuses new connections of callers. */
  readonly stopAccepting: () => void;
  readonly onStopped: () => void;
}

/** The shutdown of one box. */
export class GracefulShutdown {
  private requestedAtMs: number | undefined;

  constructor(private readonly options: GracefulShutdownOptions) {}

  get isInProgress(): boolean {
    return this.requestedAtMs !== undefined;
  }

  get phase(): StopPhase {
    if (this.requestedAtMs === undefined) return 'running';
    return this.options.now() - this.requestedAtMs < STOP_LINGER_MS ? 'lingering' : 'finishing';
  }

  /** Time since the stop was requested; 0 before. */
  get sinceRequestMs(): number {
    return this.requestedAtMs === undefined ? 0 : this.options.now() - this.requestedAtMs;
  }

  /** Starts the shutdown; does nothing if it has started. */
  request(): void {
    if (this.isInProgress) return;
    const { now, log, countExchanges, countTunnels, retireTunnels } = this.options;
    this.requestedAtMs = now();
    log.write('lifecycle', 'stopping', { requestsInFlight: countExchanges(), tunnels: countTunnels() });
    retireTunnels();
  }

  /** Runs once a tick. */
  tick(): void {
    if (this.requestedAtMs === undefined) return;
    const { now, graceMs, countExchanges, countTunnels, stopAccepting, onStopped } = this.options;
    if (this.phase === 'lingering') return;
    stopAccepting();
    const isLate = now() - this.requestedAtMs >= graceMs - STOP_MARGIN_MS;
    if (countExchanges() + countTunnels() === 0 || isLate) onStopped();
  }
}
