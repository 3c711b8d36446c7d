/**
 * Structured log of decisions: one JSON line each on standard output. The volume is bounded by a token bucket for
 * each event; lines left out are counted, and the next line of the same event states their number. Writing never
 * blocks: if the reader of standard output is too slow, lines are dropped.
 */
import sonicBoom from 'sonic-boom';
import { Logger } from 'tslog';
import type { RouterMetrics } from './metrics.js';

/** Lines per second for events that occur with every request. */
const ROUTINE_LINES_PER_S = 2;
/** Lines per second for events that may have to be explained afterwards. */
const NOTABLE_LINES_PER_S = 40;
/** Bytes buffered for the reader of the log; more are dropped. */
const MAX_PENDING_BYTES = 1_000_000;
/** Lines are buffered up to this size before they are written. */
const MIN_WRITE_BYTES = 4_096;
const FLUSH_MS = 250;
const MS_PER_S = 1_000;

/** Class of an event, which determines how many lines per second are written. `lifecycle` events are not limited. */
export type EventClass = 'routine' | 'notable' | 'lifecycle';

/** Fields of a log line: the inputs of a decision by name. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** A line as tslog passes it to the transport: the fields, and metadata about the line, the process and the machine. */
interface TslogLine {
  readonly _meta: { readonly date: Date; readonly logLevelName: string; readonly name?: string | undefined };
  readonly [field: string]: unknown;
}

interface TokenBucket {
  tokens: number;
  refilledAtMs: number;
  suppressed: number;
}

/**
 * Formats a line: time, level and box, then the fields. The other metadata of tslog (runtime, versions, host names)
 * is the same in every line and would make up half of it.
 *
 * @example formatLine({ _meta: { date, logLevelName: 'INFO', name: 'box-1' }, event: 'started' }) // '{"time":...}\n'
 */
export function formatLine(line: TslogLine): string {
  const { _meta, ...fields } = line;
  const { date, logLevelName, name } = _meta;
  return `${JSON.stringify({ time: date, level: logLevelName, box: name, ...fields })}\n`;
}

/** Writes decisions to the log. */
export class DecisionLog {
  private readonly sink = new sonicBoom.SonicBoom({
    fd: process.stdout.fd,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_PENDING_BYTES,
  });
  private readonly logger: Logger<unknown>;
  private readonly buckets = new Map<string, TokenBucket>();
  private readonly flushTimer: NodeJS.Timeout;

  constructor(
    boxId: string,
    private readonly metrics: RouterMetrics,
    private readonly now: () => number,
  ) {
    this.sink.on('drop', () => this.metrics.suppressedLines.inc({ event: 'reader too slow' }));
    this.sink.on('error', () => this.metrics.suppressedLines.inc({ event: 'write failed' }));
    this.logger = new Logger({
      type: 'json',
      name: boxId,
      hideLogPositionForProduction: true,
      overwrite: { transportJSON: (line: unknown) => void this.sink.write(formatLine(line as TslogLine)) },
    });
    this.flushTimer = setInterval(() => this.sink.flush(), FLUSH_MS).unref();
  }

  /** Writes one line, unless the token bucket of the event is empty. */
  write(eventClass: EventClass, event: string, fields: LogFields): void {
    const suppressed = this.takeToken(eventClass, event);
    if (suppressed === undefined) return;
    const line = suppressed === 0 ? { event, ...fields } : { event, ...fields, suppressedBefore: suppressed };
    switch (eventClass) {
      case 'routine':
      case 'lifecycle':
        this.logger.info(line);
        return;
      case 'notable':
        this.logger.warn(line);
        return;
    }
  }

  /** Writes buffered lines before the process ends. */
  close(): void {
    clearInterval(this.flushTimer);
    try {
      this.sink.flushSync();
    } catch {
      // Standard output is closed: the error cannot be logged.
      this.metrics.suppressedLines.inc({ event: 'write failed' });
    }
  }

  /**
   * Returns the number of lines left out since the last one of this event; undefined if this one is left out as well.
   */
  private takeToken(eventClass: EventClass, event: string): number | undefined {
    if (eventClass === 'lifecycle') return 0;
    const perSecond = eventClass === 'routine' ? ROUTINE_LINES_PER_S : NOTABLE_LINES_PER_S;
    const nowMs = this.now();
    let bucket = this.buckets.get(event);
    if (bucket === undefined) {
      bucket = { tokens: perSecond, refilledAtMs: nowMs, suppressed: 0 };
      this.buckets.set(event, bucket);
    }
    const refill = ((nowMs - bucket.refilledAtMs) / MS_PER_S) * perSecond;
    bucket.tokens = Math.min(perSecond, bucket.tokens + refill);
    bucket.refilledAtMs = nowMs;
    if (bucket.tokens < 1) {
      bucket.suppressed += 1;
      this.metrics.suppressedLines.inc({ event });
      return undefined;
    }
    bucket.tokens -= 1;
    const { suppressed } = bucket;
    bucket.suppressed = 0;
    return suppressed;
  }
}
