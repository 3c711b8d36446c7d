/** Estimates how long a request takes at an endpoint once it is sent, by the recent requests of its service. */

/** Weight of the latest request in the average. */
const LATEST_WEIGHT = 0.1;
/** Before the first observation: share of the target latency. */
const TARGET_SHARE = 0.5;
/** Largest share of the time until a request expires that is expected to be used for it, as a long one may be over early. */
const MAX_LIFETIME_SHARE = 0.5;

/** Times of a request, in the same clock. */
export interface RequestTimes {
  readonly arrivedAtMs: number;
  readonly targetAtMs: number;
  readonly expiresAtMs: number;
}

/** Average times that requests take, by service. */
export class ExpectedDurations {
  private readonly averageMs = new Map<string, number>();

  /** Records how long an endpoint took for a request, from sending to the end of the response. */
  record(service: string, tookMs: number): void {
    const average = this.averageMs.get(service) ?? tookMs;
    this.averageMs.set(service, average + LATEST_WEIGHT * (tookMs - average));
  }

  /**
   * Time after which a request is no longer worth starting.
   *
   * @example durations.findLatestStart('app', { arrivedAtMs: 0, targetAtMs: 200, expiresAtMs: 1_000 }) // 900
   */
  findLatestStart(service: string, { arrivedAtMs, targetAtMs, expiresAtMs }: RequestTimes): number {
    const expectedMs = this.averageMs.get(service) ?? TARGET_SHARE * (targetAtMs - arrivedAtMs);
    return expiresAtMs - Math.min(expectedMs, MAX_LIFETIME_SHARE * (expiresAtMs - arrivedAtMs));
  }
}
