/**
 * The slots of one service that are granted. A grant is a lease: it ends with its release, when its box is down, or
 * when the longest time that its request may take has passed.
 */
import type { SchedulableEndpoint, SlotRequestId } from './slotMessages.js';
import { readSlotRequestKey } from './slotMessages.js';

/** Grants beyond the slots, as a share of them: they cover the travel time of a release and of the next grant. */
const OVERLAP_SHARE = 0.25;
/** Time in which an endpoint that refused the overlap is granted none: it may let nothing wait. */
const NO_OVERLAP_MS = 10_000;
/** A refusal for lack of room lowers what an endpoint is granted for this time, about that of a few requests. */
const REFUSAL_LIMIT_MS = 250;

/** Quick failures in a row after which an endpoint gets one request at a time, as it may no longer run. */
const MAX_QUICK_FAILURES = 3;
/** Time after such a failure in which it gets none. */
const FAILURE_PAUSE_MS = 250;

/** Window in which a brittle endpoint counts the requests that it has to reject. */
const REJECTION_WINDOW_MS = 1_000;
/** After a rejection, the grants of a brittle endpoint rise again by one in this time. */
const RECOVERY_STEP_MS = 250;

/** A slot that is granted. */
export interface Grant {
  readonly requestId: SlotRequestId;
  readonly endpointTag: number;
  readonly leaseEndsAtMs: number;
}

/** Bound on the grants of an endpoint that refused a request for lack of room. */
interface RefusalLimit {
  readonly count: number;
  readonly untilMs: number;
}

/** Failures of an endpoint since it last served a request. */
interface QuickFailures {
  readonly count: number;
  readonly lastAtMs: number;
}

/** Use of an endpoint. */
export interface EndpointUse {
  readonly endpoint: SchedulableEndpoint;
  readonly inUse: number;
  /** Most slots that may be in use. */
  readonly capacity: number;
}

/** Use of all endpoints at one time. */
interface KnownUse {
  readonly atMs: number;
  readonly uses: readonly EndpointUse[];
}

/** The slots of one service that are granted. */
export class SlotLedger {
  private endpoints: readonly SchedulableEndpoint[] = [];
  private readonly grants = new Map<string, Grant>();
  private readonly countByTag = new Map<number, number>();
  private readonly limits = new Map<number, RefusalLimit>();
  /** When each endpoint last refused a request that was granted beyond its slots. */
  private readonly overlapRefusedAtMs = new Map<number, number>();
  private readonly failures = new Map<number, QuickFailures>();
  /** When brittle endpoints refused requests lately. */
  private readonly refusedAtMs = new Map<number, readonly number[]>();
  private countsReportedUntilMs = -Infinity;
  /** Last result of `listUse`, until a change. */
  private use: KnownUse | undefined;

  /** How many slots are granted. */
  get size(): number {
    return this.grants.size;
  }

  /** Slots in effect of all endpoints. */
  get slots(): number {
    return this.endpoints.reduce((sum, endpoint) => sum + endpoint.slotsInEffect, 0);
  }

  /** Whether endpoints state that they do not survive many rejections. */
  get isBrittle(): boolean {
    return this.endpoints.some(({ rejectionsPerS }) => rejectionsPerS !== undefined);
  }

  /** Replaces the usable endpoints; grants at others stay until they are released. */
  setEndpoints(endpoints: readonly SchedulableEndpoint[]): void {
    this.endpoints = endpoints;
    this.use = undefined;
    const tags = new Set(endpoints.map(({ tag }) => tag));
    for (const map of [this.limits, this.overlapRefusedAtMs, this.failures, this.refusedAtMs]) {
      for (const tag of map.keys()) if (!tags.has(tag)) map.delete(tag);
    }
  }

  /** Counts what boxes report in flight until then, as a predecessor may have granted it. */
  countReportedUntil(untilMs: number): void {
    this.countsReportedUntilMs = untilMs;
    this.use = undefined;
  }

  /** Returns the grant of a request. */
  find(requestId: SlotRequestId): Grant | undefined {
    return this.grants.get(readSlotRequestKey(requestId));
  }

  /** Records a grant. */
  add(grant: Grant): void {
    this.grants.set(readSlotRequestKey(grant.requestId), grant);
    this.use = undefined;
    this.countByTag.set(grant.endpointTag, this.countGrants(grant.endpointTag) + 1);
  }

  /** Ends a grant. */
  remove(grant: Grant): void {
    if (!this.grants.delete(readSlotRequestKey(grant.requestId))) return;
    this.use = undefined;
    const left = this.countGrants(grant.endpointTag) - 1;
    if (left > 0) this.countByTag.set(grant.endpointTag, left);
    else this.countByTag.delete(grant.endpointTag);
  }

  /** Ends the lease of a grant earlier. */
  shorten(grant: Grant, leaseEndsAtMs: number): void {
    const key = readSlotRequestKey(grant.requestId);
    if (!this.grants.has(key) || leaseEndsAtMs >= grant.leaseEndsAtMs) return;
    this.grants.set(key, { ...grant, leaseEndsAtMs });
  }

  /** Grants an endpoint less than it has in use for a while, since it is fuller than known here. */
  limitAfterRefusal(tag: number, nowMs: number): void {
    const count = Math.max(1, this.countGrants(tag) - 1);
    this.use = undefined;
    const isBrittle = this.findEndpoint(tag)?.rejectionsPerS !== undefined;
    const forMs = isBrittle ? REJECTION_WINDOW_MS : REFUSAL_LIMIT_MS;
    this.limits.set(tag, { count, untilMs: nowMs + forMs });
    if (isBrittle) this.refusedAtMs.set(tag, [...this.listRefusals(tag, nowMs), nowMs]);
    if (this.wasOverlap(tag, nowMs)) this.overlapRefusedAtMs.set(tag, nowMs);
  }

  /**
   * Records that an endpoint failed at once. Without a pause such an endpoint always has free slots, and would draw
   * most requests.
   */
  recordQuickFailure(tag: number, nowMs: number): void {
    const count = (this.failures.get(tag)?.count ?? 0) + 1;
    this.use = undefined;
    this.failures.set(tag, { count, lastAtMs: nowMs });
  }

  /** Records that an endpoint served a request. */
  recordServed(tag: number): void {
    if (this.failures.delete(tag)) this.use = undefined;
  }

  /** Lists the grants whose lease has ended. */
  listExpired(nowMs: number): Grant[] {
    return [...this.grants.values()].filter((grant) => grant.leaseEndsAtMs <= nowMs);
  }

  /** Lists the grants of a box. */
  listOfBox(box: string): Grant[] {
    return [...this.grants.values()].filter((grant) => grant.requestId.box === box);
  }

  /** Lists the use of all usable endpoints. */
  listUse(nowMs: number): readonly EndpointUse[] {
    if (this.use?.atMs === nowMs) return this.use.uses;
    const uses = this.endpoints.map((endpoint) => ({
      endpoint,
      inUse: this.countInUse(endpoint, nowMs),
      capacity: this.readCapacity(endpoint, nowMs),
    }));
    this.use = { atMs: nowMs, uses };
    return uses;
  }

  /** Whether the scheduler's own grants take all that the endpoints have. */
  isFull(nowMs: number): boolean {
    const isTaken = (endpoint: SchedulableEndpoint): boolean =>
      this.countGrants(endpoint.tag) >= this.readCapacity(endpoint, nowMs);
    return this.endpoints.length > 0 && this.endpoints.every(isTaken);
  }

  /** Whether a request that an endpoint refused, and that is no longer counted, was granted beyond its slots. */
  private wasOverlap(tag: number, nowMs: number): boolean {
    const endpoint = this.findEndpoint(tag);
    // Before that, the endpoint may be full of what no schedule granted.
    if (endpoint === undefined || nowMs < this.countsReportedUntilMs) return false;
    return this.countGrants(tag) >= endpoint.slotsInEffect;
  }

  private findEndpoint(tag: number): SchedulableEndpoint | undefined {
    return this.endpoints.find((each) => each.tag === tag);
  }

  private listRefusals(tag: number, nowMs: number): readonly number[] {
    return (this.refusedAtMs.get(tag) ?? []).filter((atMs) => nowMs - atMs < REJECTION_WINDOW_MS);
  }

  private countGrants(tag: number): number {
    return this.countByTag.get(tag) ?? 0;
  }

  private countInUse({ tag, reportedInFlight }: SchedulableEndpoint, nowMs: number): number {
    const granted = this.countGrants(tag);
    return nowMs < this.countsReportedUntilMs ? Math.max(granted, reportedInFlight) : granted;
  }

  private readCapacity({ tag, slotsInEffect, rejectionsPerS }: SchedulableEndpoint, nowMs: number): number {
    if (rejectionsPerS !== undefined)
      return this.readBrittleCapacity(tag, slotsInEffect, rejectionsPerS, nowMs);
    const mayWaitThere = nowMs - (this.overlapRefusedAtMs.get(tag) ?? -Infinity) >= NO_OVERLAP_MS;
    const capacity = Math.ceil(slotsInEffect * (mayWaitThere ? 1 + OVERLAP_SHARE : 1));
    return Math.min(capacity, this.readRefusalLimit(tag, nowMs), this.readFailureLimit(tag, nowMs));
  }

  /**
   * What a brittle endpoint is granted: its slots. Where it refuses even that, something unknown uses them: the grants rise again one
   * by one, and there are none while one more rejection could be the last that it survives.
   */
  private readBrittleCapacity(
    tag: number,
    slotsInEffect: number,
    rejectionsPerS: number,
    nowMs: number,
  ): number {
    if (this.listRefusals(tag, nowMs).length >= Math.max(1, rejectionsPerS - 1)) return 0;
    const limit = this.limits.get(tag);
    const steps = limit === undefined ? Infinity : Math.floor((nowMs - limit.untilMs) / RECOVERY_STEP_MS);
    const limited = limit === undefined ? Infinity : limit.count + Math.max(0, steps);
    return Math.min(Math.ceil(slotsInEffect), limited, this.readFailureLimit(tag, nowMs));
  }

  private readRefusalLimit(tag: number, nowMs: number): number {
    const limit = this.limits.get(tag);
    return limit !== undefined && nowMs < limit.untilMs ? limit.count : Infinity;
  }

  private readFailureLimit(tag: number, nowMs: number): number {
    const failures = this.failures.get(tag);
    if (failures === undefined || failures.count < MAX_QUICK_FAILURES) return Infinity;
    return nowMs < failures.lastAtMs + FAILURE_PAUSE_MS ? 0 : 1;
  }
}
