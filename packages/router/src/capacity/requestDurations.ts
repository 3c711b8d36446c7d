/**
 * How long the requests of a route take at their endpoints, from sending to the end of the response: by the last whole responses,
 * and by requests that are in progress for longer than those took.
 */
import { LRUCache } from 'lru-cache';

/** Whole responses that count for a route: with fewer, the longest says little about the next. */
const SAMPLES = 64;
/** Routes that are kept; the one used longest ago gives way. */
const MAX_ROUTES = 1_024;
/** Below this number of whole responses, the duration that is assumed before the first counts as one of them. */
const FEW_SAMPLES = 16;

/** A request at an endpoint. */
export interface RunningRequestDuration {
  /** Ends it; only a whole response counts. Further calls have no effect. */
  end(nowMs: number, isWhole: boolean): void;
}

/** Which duration of a route is asked for. */
export interface DurationQuery {
  /** Share of the requests that take no longer, above 0 and at most 1. */
  readonly share: number;
  /** Assumed before enough responses were seen; undefined if nothing is known about the route. */
  readonly assumedMs: number | undefined;
  readonly nowMs: number;
}

/** Durations of the requests of one box, by route. */
export class RequestDurations {
  private readonly routes = new LRUCache<string, RouteDurations>({ max: MAX_ROUTES });

  /** Records that a request of the route was sent to an endpoint. */
  begin(route: string, nowMs: number): RunningRequestDuration {
    let durations = this.routes.get(route);
    if (durations === undefined) {
      durations = new RouteDurations();
      this.routes.set(route, durations);
    }
    return durations.begin(nowMs);
  }

  /**
   * Returns how long a request of the route takes.
   *
   * @example durations.read('book', { share: 1, assumedMs: 300, nowMs }) // the longest of the last responses
   */
  read(route: string, query: DurationQuery): number {
    return (this.routes.get(route) ?? new RouteDurations()).read(query);
  }
}

class RouteDurations {
  private readonly samplesMs: number[] = [];
  private next = 0;
  /** When the requests in progress were sent, the oldest first. */
  private readonly running = new Map<RunningRequestDuration, number>();

  begin(startedAtMs: number): RunningRequestDuration {
    const request: RunningRequestDuration = {
      end: (nowMs, isWhole) => {
        if (this.running.delete(request) && isWhole) this.record(nowMs - startedAtMs);
      },
    };
    this.running.set(request, startedAtMs);
    return request;
  }

  read({ share, assumedMs, nowMs }: DurationQuery): number {
    const known = [...this.samplesMs];
    if (assumedMs !== undefined && known.length < FEW_SAMPLES) known.push(assumedMs);
    const usualMs = pickShare(known, share);
    return pickShare([...known, ...this.listOverdue(usualMs, nowMs)], share);
  }

  /** Ages of the requests in progress that have taken longer than usual already. */
  private listOverdue(usualMs: number, nowMs: number): number[] {
    const agesMs: number[] = [];
    for (const startedAtMs of this.running.values()) {
      if (nowMs - startedAtMs <= usualMs) break;
      agesMs.push(nowMs - startedAtMs);
    }
    return agesMs;
  }

  private record(tookMs: number): void {
    this.samplesMs[this.next] = tookMs;
    this.next = (this.next + 1) % SAMPLES;
  }
}

/** The smallest value that is not exceeded by the share of the values; 0 if there are none. */
function pickShare(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0;
}
