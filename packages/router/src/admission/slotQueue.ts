/**
 * The requests that wait for a slot of one service, in lanes. Each lane that waits gets a small share of the grants, so
 * that none starves; the rest goes to the first lane.
 */
import { SlotLane } from './slotLane.js';
import type { Promptness, WaitingRequest } from './waitingRequest.js';

/** All these shares together are at most this, so that the most urgent lane keeps the rest. */
const MAX_FLOOR_SUM = 0.5;
/** Credit at which a lane is due; a little below one grant, for rounding errors of the sum. */
const DUE_CREDIT = 1 - 1e-9;

/** The requests that wait for a slot of one service. */
export class SlotQueue {
  /** In the order in which they are served. */
  private readonly lanes: SlotLane[] = [];
  private readonly laneOf = new Map<WaitingRequest, SlotLane>();

  /** How many requests wait. */
  get size(): number {
    return this.laneOf.size;
  }

  /** Adds a request. */
  add(waiting: WaitingRequest, promptness: Promptness): void {
    const lane = this.findLane(waiting.request.rank, promptness);
    lane.add(waiting);
    this.laneOf.set(waiting, lane);
  }

  /** Records that a request was accepted into its lane or granted at once. */
  recordEntry(waiting: WaitingRequest, promptness: Promptness, nowMs: number): void {
    this.findLane(waiting.request.rank, promptness).recordEntry(waiting, nowMs);
  }

  /** Removes a request that is rejected or withdrawn. */
  remove(waiting: WaitingRequest): void {
    const lane = this.laneOf.get(waiting);
    if (lane === undefined) return;
    lane.remove(waiting);
    if (lane.size === 0) lane.credit = 0;
    this.laneOf.delete(waiting);
  }

  /** Whether a request waits. */
  has(waiting: WaitingRequest): boolean {
    return this.laneOf.has(waiting);
  }

  /** Whether a request was still expected to meet its target. */
  isPunctual(waiting: WaitingRequest): boolean {
    return this.laneOf.get(waiting)?.promptness === 'punctual';
  }

  /** Moves a request behind those of its rank that can still meet their target. */
  moveToOverdue(waiting: WaitingRequest): void {
    this.remove(waiting);
    this.add(waiting, 'overdue');
  }

  /** Removes and returns the next request that can start now. */
  take(canStart: (waiting: WaitingRequest) => boolean): WaitingRequest | undefined {
    const filled = this.lanes.filter((lane) => lane.size > 0);
    const due = filled.filter((lane) => lane.credit >= DUE_CREDIT);
    for (const lane of [...due, ...filled]) {
      const waiting = lane.take(canStart);
      if (waiting === undefined) continue;
      this.laneOf.delete(waiting);
      this.updateCredits(lane, filled);
      return waiting;
    }
    return undefined;
  }

  /**
   * Estimates how long a waiting request still waits: its turn among those before it and those still to come, or its
   * part of what its lane gets at least.
   *
   * @param ratePerMs rate at which the service ends requests
   */
  estimateWaitMs(waiting: WaitingRequest, ratePerMs: number, nowMs: number): number {
    const own = this.laneOf.get(waiting);
    if (own === undefined) return 0;
    const place = own.findPlace(waiting);
    const ahead = own.countAhead(place) + 1;
    const byFloorMs = ahead / (ratePerMs * own.floorShare * this.readFloorScale());
    const returnsPerMs = waiting.headStartMs > 0 ? 0 : own.readReturnsPerMs(nowMs);
    const lanePerMs = this.readLanePerMs(own, ratePerMs, nowMs) - returnsPerMs;
    if (lanePerMs <= 0) return byFloorMs;
    const inTurnMs = (ahead + this.countBefore(own)) / lanePerMs;
    const inTeamMs = place / own.readTeamPerMs(waiting.request.team, lanePerMs, nowMs);
    return Math.min(byFloorMs, Math.max(inTurnMs, inTeamMs));
  }

  /** Forgets the teams that have not sent anything lately. */
  forgetIdleTeams(nowMs: number): void {
    for (const lane of this.lanes) lane.forgetIdleTeams(nowMs);
  }

  /** How many requests wait that are at least as urgent. */
  countAtLeastAsUrgent(rank: number): number {
    return this.lanes.reduce((sum, lane) => (lane.rank <= rank ? sum + lane.size : sum), 0);
  }

  /** The request that goes last. */
  findLast(): WaitingRequest | undefined {
    return this.lanes
      .filter((lane) => lane.size > 0)
      .at(-1)
      ?.findLast();
  }

  /** Lists the requests, lane by lane. */
  list(): WaitingRequest[] {
    return this.lanes.flatMap((lane) => lane.list());
  }

  private findLane(rank: number, promptness: Promptness): SlotLane {
    const existing = this.lanes.find((lane) => lane.rank === rank && lane.promptness === promptness);
    if (existing !== undefined) return existing;
    const lane = new SlotLane(rank, promptness);
    const index = this.lanes.findIndex((other) => lane.goesBefore(other));
    this.lanes.splice(index < 0 ? this.lanes.length : index, 0, lane);
    return lane;
  }

  /** Rate that a lane gets: what enters the lanes before it and the floors of those behind it are not its own. */
  private readLanePerMs(own: SlotLane, ratePerMs: number, nowMs: number): number {
    const floorsPerMs = ratePerMs * this.readFloorScale();
    let left = ratePerMs;
    for (const lane of this.lanes) {
      if (lane.goesBefore(own)) left -= lane.readEntriesPerMs(nowMs);
      else if (lane !== own && lane.size > 0) left -= floorsPerMs * lane.floorShare;
    }
    return left;
  }

  private countBefore(own: SlotLane): number {
    return this.lanes.reduce((sum, lane) => (lane.goesBefore(own) ? sum + lane.size : sum), 0);
  }

  private updateCredits(granted: SlotLane, filled: readonly SlotLane[]): void {
    const scale = this.readFloorScale();
    for (const lane of filled) lane.credit = Math.min(1, lane.credit + lane.floorShare * scale);
    granted.credit = granted.size === 0 ? 0 : Math.max(0, granted.credit - 1);
  }

  /** Factor that keeps the shares of all lanes that wait within their sum. */
  private readFloorScale(): number {
    const sum = this.lanes.reduce((total, lane) => (lane.size > 0 ? total + lane.floorShare : total), 0);
    return sum > MAX_FLOOR_SUM ? MAX_FLOOR_SUM / sum : 1;
  }
}
