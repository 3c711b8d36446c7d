/**
 * The period in which the platform is known to have answered somebody of the fleet again and again, with no pause in which
 * the entry of a live endpoint could expire. It is a fact about the platform and not about the link of one box, so boxes
 * report it: a box that was without contact learns from any other one whether the platform was away meanwhile.
 */

/** Interval at which an endpoint writes its entry, where the deployment states none. */
const DEFAULT_ENTRY_HEARTBEAT_MS = 1_200;
/**
 * An entry expires after three missed heartbeats, and the last one may have been written up to one before the platform
 * stopped to answer: no entry can lapse in a shorter pause.
 */
const SAFE_HEARTBEATS = 2;
/** Longest period that boxes report: it bounds the number in their messages. */
const MAX_REPORTED_MS = 60_000;

/** The period, in milliseconds of one clock. */
export class AnsweringPeriod {
  private startedAtMs = Infinity;
  private lastAnswerAtMs = -Infinity;
  /** Shortest pause in which an entry of a live endpoint can lapse. */
  readonly lapseMs: number;

  /** @param entryHeartbeatMs interval at which endpoints write their entries */
  constructor(entryHeartbeatMs = DEFAULT_ENTRY_HEARTBEAT_MS) {
    this.lapseMs = entryHeartbeatMs * SAFE_HEARTBEATS;
  }

  /** Since when no entry of a live endpoint can have lapsed; Infinity before the first answer. */
  get sinceMs(): number {
    return this.startedAtMs;
  }

  /** Whether the last known answer is so old that an entry can have lapsed since. */
  isInterrupted(nowMs: number): boolean {
    return nowMs - this.lastAnswerAtMs >= this.lapseMs;
  }

  /** Begins a new period: the platform may have been away until now. */
  restart(nowMs: number): void {
    this.startedAtMs = nowMs;
  }

  /** Records that the platform answered at a time. */
  extend(answeredAtMs: number): void {
    this.lastAnswerAtMs = Math.max(this.lastAnswerAtMs, answeredAtMs);
  }

  /**
   * Joins the period that another box reports, if the two overlap but for a pause in which no entry can lapse.
   *
   * @example period.join(nowMs - 20_000, nowMs) // the platform was not away, whatever this box had to do without
   */
  join(sinceMs: number, untilMs: number): void {
    const isJoined =
      sinceMs - this.lastAnswerAtMs < this.lapseMs && this.startedAtMs - untilMs < this.lapseMs;
    if (isJoined) this.startedAtMs = Math.min(this.startedAtMs, sinceMs);
  }

  /** Length of the period at the time of an answer, as reported to other boxes. */
  readLengthMs(answeredAtMs: number): number {
    return Math.min(MAX_REPORTED_MS, Math.max(0, Math.floor(answeredAtMs - this.startedAtMs)));
  }
}
