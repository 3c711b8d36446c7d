/**
 * Pools the paces of endpoints that boxes observe. In a small fleet each heartbeat to all boxes may carry those of its
 * sender. In a larger one they go with the loads: from each box to the aggregators of its hall, as sums to those of the
 * other halls, and as the sum of the fleet to all boxes. Unlike loads, these are only what was observed since the last
 * report, so that no box has to subtract its own part. A lost report loses observations and nothing else.
 */
import type { EndpointPaces } from '../capacity/endpointPaces.js';
import type { PaceList } from '../capacity/paceSums.js';
import { PaceSums } from '../capacity/paceSums.js';

/** Interval of reports: several of them within the time for which observations count, at a fraction of the bytes. */
const REPORT_INTERVAL_MS = 2_000;

/** The field of a frame that carries paces; empty if nothing was observed, so that the frame omits it. */
export interface PaceField {
  readonly paces?: number[];
}

/** Reports of an aggregator. */
export interface PaceReports {
  readonly ownHall: PaceField;
  readonly fleet: PaceField;
}

/** Sends, relays and applies paces for one box. */
export class PaceRelay {
  private readonly ownHall = new PaceSums();
  private readonly otherHalls = new PaceSums();
  private sentAtMs = -Infinity;
  private summedAtMs = -Infinity;

  constructor(private readonly paces: EndpointPaces) {}

  /** Ages the estimates; called at the interval of load reports. */
  tick(nowMs: number): void {
    this.paces.refresh(nowMs);
  }

  /** In a small fleet: what this box observed, for all boxes. */
  takeForHeartbeat(nowMs: number): PaceField {
    this.dropSums();
    const field = this.takeObserved(nowMs);
    this.apply(field.paces, nowMs);
    return field;
  }

  /** In a large fleet: what this box observed, for the aggregators. */
  takeForAggregators(nowMs: number): PaceField {
    const field = this.takeObserved(nowMs);
    this.addOwnHall(field.paces);
    return field;
  }

  /** Adds up what a box of the own hall observed. */
  addOwnHall(list: PaceList = []): void {
    this.ownHall.addList(list);
  }

  /** Adds up what the boxes of another hall observed. */
  addOtherHall(list: PaceList = []): void {
    this.otherHalls.addList(list);
  }

  /** Applies what the boxes of the fleet observed. */
  apply(list: PaceList | undefined, nowMs: number): void {
    if (list !== undefined) this.paces.apply(list, nowMs);
  }

  /** The sums that this box, as an aggregator, sends and applies. */
  takeSums(nowMs: number): PaceReports {
    if (nowMs - this.summedAtMs < REPORT_INTERVAL_MS) return { ownHall: {}, fleet: {} };
    this.summedAtMs = nowMs;
    const ownHall = this.ownHall.take();
    this.otherHalls.addList(ownHall);
    const fleet = this.otherHalls.take();
    this.paces.apply(fleet, nowMs);
    return { ownHall: createField(ownHall), fleet: createField(fleet) };
  }

  /** Drops the sums of a box that does not aggregate. */
  dropSums(): void {
    this.ownHall.take();
    this.otherHalls.take();
  }

  private takeObserved(nowMs: number): PaceField {
    if (nowMs - this.sentAtMs < REPORT_INTERVAL_MS) return {};
    this.sentAtMs = nowMs;
    return createField(this.paces.takeObserved());
  }
}

function createField(paces: number[]): PaceField {
  return paces.length > 0 ? { paces } : {};
}
