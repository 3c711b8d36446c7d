/** Logs and counts the requests and connections of callers that a graceful shutdown ends. */
import type { DecisionLog, LogFields } from './decisionLog.js';
import type { RouterMetrics } from './metrics.js';

/** How far a request had come. */
export type RequestStage =
  /** Its body was being read, or the box had no configuration yet. */
  | 'reading'
  /** Nothing of it had been sent: it waited for its admission, a decision about it, or a connection. */
  | 'waiting'
  /** It had been sent to an endpoint, whose response had not reached the caller. */
  | 'sent'
  /** A part of the response had reached the caller. */
  | 'answering';

/** A request that was in progress when its box exited. */
export interface CutOffRequest {
  readonly stage: RequestStage;
  /** Time since the stop was requested at which it arrived; negative before. */
  readonly arrivedAfterStopMs: number;
  /** How many requests its connection had carried before. */
  readonly earlierOnConnection: number;
  readonly fields: LogFields;
}

/** Logs the shutdown of one box. */
export class StopLog {
  constructor(
    private readonly log: DecisionLog,
    private readonly metrics: RouterMetrics,
  ) {}

  /** Logs a request that the exit of the box cuts off. */
  logCutOff({ stage, arrivedAfterStopMs, earlierOnConnection, fields }: CutOffRequest): void {
    this.metrics.requestsCutOff.inc({ stage });
    const arrival = { arrivedAfterStopMs: Math.round(arrivedAfterStopMs), earlierOnConnection };
    this.log.write('notable', 'requestCutOff', { ...fields, stage, ...arrival });
  }

  /** Counts connections of callers that were closed between two requests. */
  countClosedIdle(connections: number): void {
    if (connections > 0) this.metrics.idleCallersClosed.inc(connections);
  }
}
