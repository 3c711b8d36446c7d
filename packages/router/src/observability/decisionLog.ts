/**
 * Structured logs of decisions: one JSON line each on standard output. The volume is bounded: each kind of event has
 * an allowance a second, and what is left out is counted and told with the next line of its kind. Writing never
 * blocks: lines that the reader does not take in time are dropped.
 */
import sonicBoom from 'sonic-boom';
import { Logger } from 'tslog';
import type { RouterMetrics } from './metrics.js';

/** Lines a second for events that come with every request. */
const ROUTINE_LINES_PER_S = 2;
/** Lines a second for events that need an explanation afterwards. */
const NOTABLE_LINES_PER_S = 40;
/** Bytes that wait for the reader of the logs; more are dropped. */
const MAX_PENDING_BYTES = 1_000_000;
/** Lines are gathered up to this size before they are written. */
const GATHER_BYTES = 4_096;
const FLUSH_MS = 250;
const MS_PER_S = 1_000;

/** How often an event is expected. */
export type EventWeight = 'routine' | 'notable' | 'lifecycle';

/** Named inputs of a decision. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** A line as the library hands it over: the fields, and beside them what it knows of line, process and machine. */
interface LibraryLine {
  readonly _meta: { readonly date: Date; readonly logLevelName: string; readonly name?: string | undefined };
  readonly [field: string]: unknown;
}

interface Allowance {
  tokens: number;
  refilledAtMs: number;
  suppressed: number;
}

/**
 * Writes a line as it is kept: time, level and box, then the fields. What else the library adds (runtime, versions, host
 * names) is the same in every line and would be half of it.
 *
 * @example formatLine({ _meta: { date, logLevelName: 'INFO', name: 'box-1' }, event: 'started' }) // '{"time":...}\n'
 */
export function formatLine(line: LibraryLine): string {
  const { _meta, ...fields } = line;
  const { date, logLevelName, name } = _meta;
  return `${JSON.stringify({ time: date, level: logLevelName, box: name, ...fields })}\n`;
}

/** Writes decisions. */
export class DecisionLog {
  private readonly sink = new sonicBoom.SonicBoom({
    fd: process.stdout.fd,
    sync: false,
    minLength: GATHER_BYTES,
    maxLength: MAX_PENDING_BYTES,
  });
  private readonly logger: Logger<unknown>;
  private readonly allowances = new Map<string, Allowance>();
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
      overwrite: { transportJSON: (line: unknown) => void this.sink.write(formatLine(line as LibraryLine)) },
    });
    this.flushTimer = setInterval(() => this.sink.flush(), FLUSH_MS).unref();
  }

  /** Writes one line, unless the event's allowance is used up. */
  write(weight: EventWeight, event: string, fields: LogFields): void {
    const suppressed = this.admit(weight, event);
    if (suppressed === undefined) return;
    const line = suppressed === 0 ? { event, ...fields } : { event, ...fields, suppressedBefore: suppressed };
    switch (weight) {
      case 'routine':
      case 'lifecycle':
        this.logger.info(line);
        return;
      case 'notable':
        this.logger.warn(line);
        return;
    }
  }

  /** Writes what is pending before the process ends. */
  close(): void {
    clearInterval(this.flushTimer);
    try {
      this.sink.flushSync();
    } catch {
      // The reader is gone: nobody is left to tell.
      this.metrics.suppressedLines.inc({ event: 'write failed' });
    }
  }

  /** Lines left out since the last one of this event; undefined if this one is left out as well. */
  private admit(weight: EventWeight, event: string): number | undefined {
    if (weight === 'lifecycle') return 0;
    const perSecond = weight === 'routine' ? ROUTINE_LINES_PER_S : NOTABLE_LINES_PER_S;
    const nowMs = this.now();
    let allowance = this.allowances.get(event);
    if (allowance === undefined) {
      allowance = { tokens: perSecond, refilledAtMs: nowMs, suppressed: 0 };
      this.allowances.set(event, allowance);
    }
    const earned = ((nowMs - allowance.refilledAtMs) / MS_PER_S) * perSecond;
    allowance.tokens = Math.min(perSecond, allowance.tokens + earned);
    allowance.refilledAtMs = nowMs;
    if (allowance.tokens < 1) {
      allowance.suppressed += 1;
      this.metrics.suppressedLines.inc({ event });
      return undefined;
    }
    allowance.tokens -= 1;
    const { suppressed } = allowance;
    allowance.suppressed = 0;
    return suppressed;
  }
}
