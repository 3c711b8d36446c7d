/**
 * How long the requests of a route take at their endpoints, from sending to the end of the response: by the last whole responses,
 * and by requests that are in progress for longer than those took.
 */
import { LRUCache } from 'lru-cache';

/** Number of whole responses of a route that are kept; the oldest is replaced. */
const SAMPLES = 64;
/** Routes that are kept; the one used longest ago gives way. */
const MAX_ROUTES = 1_024;
/** Below this number of whole responses, what is assumed before the first counts as well. */
const FEW_SAMPLES = 8;

/** A request at an endpoint. */
export interface RunningRequestDuration {
  /** Ends it; only a whole response counts. Further calls have no effect. */
  end(nowMs: number, isWhole: boolean): void;
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
   * Returns how long a request of the route takes at the most.
   *
   * @param assumedMs counts as well before enough responses were seen; undefined if nothing is known about the route
   * @example durations.readLongest('book', 300, nowMs) // the longest of the last responses and of the requests in progress
   */
  readLongest(route: string, assumedMs: number | undefined, nowMs: number): number {
    return this.routes.get(route)?.readLongest(assumedMs, nowMs) ?? assumedMs ?? 0;
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

  readLongest(assumedMs: number | undefined, nowMs: number): number {
    const [oldestStartMs = nowMs] = this.running.values();
    const oldestMs = nowMs - oldestStartMs;
    if (this.samplesMs.length >= FEW_SAMPLES) return Math.max(oldestMs, ...this.samplesMs);
    // At any moment a request in progress is halfway through on average.
    return Math.max(assumedMs ?? 0, 2 * oldestMs, ...this.samplesMs);
  }

  private record(tookMs: number): void {
    this.samplesMs[this.next] = tookMs;
    this.next = (this.next + 1) % SAMPLES;
  }
}
