/** How long requests hold the slots of a service: a moving average of each endpoint and of all together. */

/** Weight of the newest request in the average of its endpoint; three requests in a row make most of it. */
const ENDPOINT_WEIGHT = 0.3;
/** Weight of the newest request in the average of the service. */
const SERVICE_WEIGHT = 0.05;
/** Time after which half of the difference of an endpoint from the service is forgotten. */
const HALF_LIFE_MS = 500;
/** Mean deviations within which nearly all requests end. */
const DEVIATIONS = 2;
/** Hold time assumed at first, as a share of the time within which the response should arrive. */
const ASSUMED_SHARE_OF_TARGET = 0.25;
/** Most that one request counts, as a multiple of the usual time: a single slow one says little of its endpoint. */
const MAX_MULTIPLE = 4;
/** Least hold time that is assumed. */
const MIN_HOLD_MS = 1;
/** Served requests after which hold times are known well enough to reject by them. */
const KNOWN_SERVED = 3;

interface EndpointHold {
  readonly averageMs: number;
  readonly updatedAtMs: number;
}

/** Hold times of the endpoints of a service. */
export class HoldTimes {
  private readonly byTag = new Map<number, EndpointHold>();
  private averageMs: number | undefined;
  private deviationMs = 0;
  private assumedMs = MIN_HOLD_MS;
  private servedCount = 0;

  /** Whether hold times were seen, not only assumed. */
  get isKnown(): boolean {
    return this.servedCount >= KNOWN_SERVED;
  }

  /** Sets what is assumed until the first request has ended. */
  assume(targetMs: number): void {
    this.assumedMs = Math.max(MIN_HOLD_MS, targetMs * ASSUMED_SHARE_OF_TARGET);
  }

  /** Records a request that was served. */
  record(tag: number, heldMs: number, nowMs: number): void {
    this.averageMs ??= heldMs;
    this.servedCount += 1;
    const usualMs = this.readUsualMs();
    const countedMs = Math.min(heldMs, usualMs * MAX_MULTIPLE);
    const endpointMs = this.readMs(tag, nowMs);
    const averageMs = endpointMs + ENDPOINT_WEIGHT * (countedMs - endpointMs);
    this.byTag.set(tag, { averageMs, updatedAtMs: nowMs });
    this.averageMs = usualMs + SERVICE_WEIGHT * (countedMs - usualMs);
    this.deviationMs += SERVICE_WEIGHT * (Math.abs(countedMs - usualMs) - this.deviationMs);
  }

  /** Forgets the endpoints that are not listed. */
  retain(tags: ReadonlySet<number>): void {
    for (const tag of this.byTag.keys()) if (!tags.has(tag)) this.byTag.delete(tag);
  }

  /** Expected time that a request holds a slot of an endpoint. */
  readMs(tag: number, nowMs: number): number {
    const usualMs = this.readUsualMs();
    const hold = this.byTag.get(tag);
    if (hold === undefined) return usualMs;
    const remembered = 2 ** ((hold.updatedAtMs - nowMs) / HALF_LIFE_MS);
    return Math.max(MIN_HOLD_MS, usualMs + remembered * (hold.averageMs - usualMs));
  }

  /** Time within which nearly all requests end. */
  readLongMs(): number {
    return this.readUsualMs() + DEVIATIONS * this.deviationMs;
  }

  private readUsualMs(): number {
    return Math.max(MIN_HOLD_MS, this.averageMs ?? this.assumedMs);
  }
}
