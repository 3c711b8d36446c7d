/**
 * Graceful shutdown: the box serves callers as long as the platform sends them, but sends on only what can end before the box has
 * to exit, and exits when the last caller has its response and has closed its connection, or has not gone on using it.
 */
import type { DecisionLog } from '../observability/decisionLog.js';

/**
 * After a stop is requested, callers are still sent here until the platform has detected it, which takes two checks,
 * a second apart. Then connections that nobody uses are closed, and the box exits once there is nothing left to do.
 */
const STOP_LINGER_MS = 2_300;
/** The kill comes this much sooner than the box knows if it read the signal late; a short grace time leaves less. */
const MAX_RESERVE_MS = 500;
const RESERVE_SHARE = 1 / 8;
/** Shares of the reserve that are left when responses should have ended, when the rest is cut off, and when the box exits at last. */
const ANSWERED_RESERVE_SHARE = 3 / 4;
const CUT_OFF_RESERVE_SHARE = 3 / 8;
const EXIT_RESERVE_SHARE = 1 / 4;
/** Interval at which the last steps look whether what was written is delivered. */
const DELIVERY_CHECK_MS = 10;

/** How far the shutdown of a box has come. */
export type StopPhase =
  /** No stop was requested. */
  | 'running'
  /** It is to stop, and waits until no more callers are sent here. */
  | 'lingering'
  /** It exits once nothing is in progress; what comes all the same is served if it can end in time. */
  | 'finishing'
  /** What was in progress has been cut off; what was written to callers is delivered. */
  | 'ending';

/** Whether a box in this phase takes on nothing more for other boxes. */
export function isClosing(phase: StopPhase): boolean {
  switch (phase) {
    case 'running':
    case 'lingering':
      return false;
    case 'finishing':
    case 'ending':
      return true;
  }
}

/** Times of a shutdown, in milliseconds after it was requested. */
export interface StopTimes {
  /** Until when callers may still be sent here. */
  readonly lingerMs: number;
  /** By when each response has to have ended that is begun during the shutdown; then connections are refused. */
  readonly answeredMs: number;
  /** When what is still in progress is cut off. */
  readonly cutOffMs: number;
  /** When the box exits at the latest. */
  readonly exitMs: number;
}

/**
 * Divides the time until the process is killed.
 *
 * @example divideGraceTime(8_000) // { lingerMs: 2_300, answeredMs: 7_625, cutOffMs: 7_812.5, exitMs: 7_875 }
 */
export function divideGraceTime(graceMs: number): StopTimes {
  const reserveMs = Math.min(MAX_RESERVE_MS, RESERVE_SHARE * graceMs);
  const answeredMs = graceMs - ANSWERED_RESERVE_SHARE * reserveMs;
  return {
    lingerMs: Math.min(STOP_LINGER_MS, answeredMs),
    answeredMs,
    cutOffMs: graceMs - CUT_OFF_RESERVE_SHARE * reserveMs,
    exitMs: graceMs - EXIT_RESERVE_SHARE * reserveMs,
  };
}

/** The callers of a box, as its shutdown deals with them. */
export interface StoppingCallers {
  /** Open connections. */
  readonly openCount: number;
  /** Whether new connections are accepted. */
  readonly isAccepting: boolean;
  /** From now on, each response asks its caller to use the connection for no further request. */
  closeAfterResponses(): void;
  /** Refuses new connections. */
  stopAccepting(): void;
  /** Closes the connections that are not about to be used again. */
  closeIdle(): void;
  /** Closes all connections, each as soon as what was written to it is delivered. */
  closeAll(): void;
}

/** Settings, dependencies and callbacks of the shutdown. */
export interface GracefulShutdownOptions {
  readonly now: () => number;
  readonly log: DecisionLog;
  /** The process is killed this long after the stop was requested. */
  readonly graceMs: number;
  readonly callers: StoppingCallers;
  /** Number of requests in flight. */
  readonly countExchanges: () => number;
  /** Number of tunnels that other boxes use. */
  readonly countTunnels: () => number;
  /** Asks the other boxes to use their tunnels for no further request. */
  readonly retireTunnels: () => void;
  /** Ends the requests in progress, as the box exits. */
  readonly cutOff: () => void;
  /** Calls `tick` after a delay: the usual ticks come too seldom for the last steps. */
  readonly wakeAfter: (delayMs: number) => void;
  readonly onStopped: () => void;
}

/** The shutdown of one box. */
export class GracefulShutdown {
  private requestedAtMs: number | undefined;
  private hasCutOff = false;
  private hasStopped = false;
  private readonly times: StopTimes;

  constructor(private readonly options: GracefulShutdownOptions) {
    this.times = divideGraceTime(options.graceMs);
  }

  get isInProgress(): boolean {
    return this.requestedAtMs !== undefined;
  }

  get phase(): StopPhase {
    if (this.requestedAtMs === undefined) return 'running';
    if (this.hasCutOff) return 'ending';
    return this.sinceRequestMs < this.times.lingerMs ? 'lingering' : 'finishing';
  }

  /** Time since the stop was requested; 0 before. */
  get sinceRequestMs(): number {
    return this.requestedAtMs === undefined ? 0 : this.options.now() - this.requestedAtMs;
  }

  /** Time left for responses to end; infinite while no stop is in progress. */
  get remainingMs(): number {
    return this.requestedAtMs === undefined ? Infinity : this.times.answeredMs - this.sinceRequestMs;
  }

  /** Starts the shutdown; does nothing if it has started. */
  request(): void {
    if (this.isInProgress) return;
    const { now, log, callers, countExchanges, countTunnels, retireTunnels, wakeAfter } = this.options;
    this.requestedAtMs = now();
    log.write('lifecycle', 'stopping', { requestsInFlight: countExchanges(), tunnels: countTunnels() });
    callers.closeAfterResponses();
    retireTunnels();
    wakeAfter(this.times.cutOffMs);
    wakeAfter(this.times.exitMs);
  }

  /** Runs once a tick, and when a step is due. */
  tick(): void {
    const sinceMs = this.sinceRequestMs;
    if (!this.isInProgress || this.hasStopped || sinceMs < this.times.lingerMs) return;
    const { callers, countExchanges, countTunnels, wakeAfter } = this.options;
    if (sinceMs >= this.times.cutOffMs) this.cutOffOnce();
    else callers.closeIdle();
    const openCount = countExchanges() + countTunnels() + callers.openCount;
    // A connection that came up just before they were refused is still served: the box exits at a later tick.
    const isDone = openCount === 0 && !callers.isAccepting;
    if (isDone || sinceMs >= this.times.exitMs) return this.stop();
    if (openCount === 0 || sinceMs >= this.times.answeredMs) callers.stopAccepting();
    if (this.hasCutOff) wakeAfter(DELIVERY_CHECK_MS);
  }

  private cutOffOnce(): void {
    if (this.hasCutOff) return;
    this.hasCutOff = true;
    this.options.cutOff();
    this.options.callers.closeAll();
  }

  private stop(): void {
    this.hasStopped = true;
    this.options.onStopped();
  }
}
