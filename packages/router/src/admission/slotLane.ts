/**
 * A lane: the requests of one rank that wait for a slot and can still meet their target, or those that cannot. Teams
 * take turns; within a team the earliest target goes first, or the earliest latest start if the target is missed.
 */
import { DecayingRate } from './decayingRate.js';
import { FairShares } from './fairShares.js';
import type { Promptness, WaitingRequest } from './waitingRequest.js';

/** Share of the grants that a lane gets at least while it waits. */
const FLOOR_SHARES: Readonly<Record<Promptness, number>> = { punctual: 0.1, overdue: 0.05 };
/** Targets that are closer than this count as equal; once-only requests then go first. */
const EQUAL_TARGET_MS = 10;
/** Window for the rate at which requests enter a lane. */
const ENTRY_WINDOW_MS = 500;
/** A team that sends less than this is forgotten. */
const MIN_ENTRIES_PER_MS = 1e-5;

function comparePunctual(one: WaitingRequest, other: WaitingRequest): number {
  const oneDueAtMs = one.targetAtMs - one.headStartMs;
  const otherDueAtMs = other.targetAtMs - other.headStartMs;
  const slices = Math.floor(oneDueAtMs / EQUAL_TARGET_MS) - Math.floor(otherDueAtMs / EQUAL_TARGET_MS);
  if (slices !== 0) return slices;
  const once = Number(other.request.isOnce) - Number(one.request.isOnce);
  return once !== 0 ? once : oneDueAtMs - otherDueAtMs;
}

function compareOverdue(one: WaitingRequest, other: WaitingRequest): number {
  return one.latestStartAtMs - one.headStartMs - (other.latestStartAtMs - other.headStartMs);
}

const COMPARE = { punctual: comparePunctual, overdue: compareOverdue };

/** Returns where an item belongs in a sorted list, behind its equals. */
function findInsertion<T>(list: readonly T[], item: T, compare: (one: T, other: T) => number): number {
  let low = 0;
  let high = list.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const existing = list[middle];
    if (existing !== undefined && compare(existing, item) <= 0) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Rate that the teams of a lane take, at one time and for one fair share. */
interface TakenRate {
  readonly fairPerMs: number;
  readonly atMs: number;
  readonly takenPerMs: number;
}

/** Requests of one rank and promptness that wait. */
export class SlotLane {
  /** Grants that the lane is owed by its floor; one is due at 1. */
  credit = 0;
  /** How many requests wait. */
  size = 0;
  private readonly shares = new FairShares();
  /** Rate at which requests enter, by team. */
  private readonly entries = new Map<string, DecayingRate>();
  /** Rate at which requests of all teams enter. */
  private readonly allEntries = new DecayingRate(ENTRY_WINDOW_MS);
  /** Last result of `readTakenPerMs`: all requests that wait are evaluated at the same time. */
  private taken: TakenRate | undefined;
  /** Rate at which requests with a head start enter. */
  private readonly returns = new DecayingRate(ENTRY_WINDOW_MS);
  /** Results of `countAhead` since the last change. */
  private readonly aheadByPlace = new Map<number, number>();
  /** Requests that wait, by team, in the order in which they are served. */
  private readonly teams = new Map<string, WaitingRequest[]>();

  constructor(
    readonly rank: number,
    readonly promptness: Promptness,
  ) {}

  /** Share of the grants that the lane gets at least while it waits. */
  get floorShare(): number {
    return FLOOR_SHARES[this.promptness];
  }

  /** Whether the lane is served before another. */
  goesBefore(other: SlotLane): boolean {
    if (this.rank !== other.rank) return this.rank < other.rank;
    return this.promptness === 'punctual' && other.promptness === 'overdue';
  }

  /** Adds a request in its place. */
  add(waiting: WaitingRequest): void {
    const { team } = waiting.request;
    let list = this.teams.get(team);
    if (list === undefined) {
      list = [];
      this.teams.set(team, list);
      this.shares.join(team);
    }
    list.splice(findInsertion(list, waiting, COMPARE[this.promptness]), 0, waiting);
    this.size += 1;
    this.aheadByPlace.clear();
  }

  /** Removes a request. */
  remove(waiting: WaitingRequest): void {
    const { team } = waiting.request;
    const list = this.teams.get(team);
    const index = list?.indexOf(waiting) ?? -1;
    if (list === undefined || index < 0) return;
    list.splice(index, 1);
    this.size -= 1;
    this.aheadByPlace.clear();
    if (list.length > 0) return;
    this.teams.delete(team);
    this.shares.leave(team);
  }

  /** Removes and returns the next request that can start now. */
  take(canStart: (waiting: WaitingRequest) => boolean): WaitingRequest | undefined {
    for (const team of this.shares.listInTurn()) {
      const waiting = this.teams.get(team)?.find(canStart);
      if (waiting === undefined) continue;
      this.shares.charge(team);
      this.remove(waiting);
      return waiting;
    }
    return undefined;
  }

  /** Records that a request was accepted into the lane or granted at once. */
  recordEntry({ request, headStartMs }: WaitingRequest, nowMs: number): void {
    const entries = this.entries.get(request.team) ?? new DecayingRate(ENTRY_WINDOW_MS);
    entries.add(nowMs);
    this.entries.set(request.team, entries);
    this.allEntries.add(nowMs);
    this.taken = undefined;
    if (headStartMs > 0) this.returns.add(nowMs);
  }

  /** Rate at which callers return, which go before new ones. */
  readReturnsPerMs(nowMs: number): number {
    return this.returns.readPerMs(nowMs);
  }

  /** Rate at which requests of all teams enter. */
  readEntriesPerMs(nowMs: number): number {
    return this.allEntries.readPerMs(nowMs);
  }

  /** Rate that a team gets of the rate of the lane: what the others leave of it, and at least its fair share. */
  readTeamPerMs(team: string, lanePerMs: number, nowMs: number): number {
    const own = this.entries.get(team);
    // A team whose first request has just arrived has no entries yet, but has its share.
    const teamCount = this.entries.size + (own === undefined ? 1 : 0);
    const fairPerMs = lanePerMs / teamCount;
    const ownPerMs = own === undefined ? 0 : Math.min(fairPerMs, own.readPerMs(nowMs));
    return lanePerMs - (this.readTakenPerMs(fairPerMs, nowMs) - ownPerMs);
  }

  /** Forgets the teams that have not sent anything lately. */
  forgetIdleTeams(nowMs: number): void {
    for (const [team, entries] of this.entries) {
      if (entries.readPerMs(nowMs) < MIN_ENTRIES_PER_MS) this.entries.delete(team);
    }
    this.taken = undefined;
  }

  /** How many requests of the lane are expected to go before the one at this place of its team. */
  countAhead(place: number): number {
    const known = this.aheadByPlace.get(place);
    if (known !== undefined) return known;
    let sum = 0;
    // Half a request of each other team: its next turn may be before or after.
    for (const list of this.teams.values()) sum += Math.min(list.length, place + 0.5);
    const ahead = sum - 0.5;
    this.aheadByPlace.set(place, ahead);
    return ahead;
  }

  /** How many requests of its team go before a request. */
  findPlace(waiting: WaitingRequest): number {
    return this.teams.get(waiting.request.team)?.indexOf(waiting) ?? 0;
  }

  /** The request that goes last. */
  findLast(): WaitingRequest | undefined {
    let longest: readonly WaitingRequest[] = [];
    for (const list of this.teams.values()) if (list.length > longest.length) longest = list;
    return longest.at(-1);
  }

  /** Lists the requests. */
  list(): WaitingRequest[] {
    return [...this.teams.values()].flat();
  }

  /** Rate that all teams take if none takes more than its fair share. */
  private readTakenPerMs(fairPerMs: number, nowMs: number): number {
    const known = this.taken;
    if (known?.fairPerMs === fairPerMs && known.atMs === nowMs) return known.takenPerMs;
    let takenPerMs = 0;
    for (const entries of this.entries.values()) takenPerMs += Math.min(fairPerMs, entries.readPerMs(nowMs));
    this.taken = { fairPerMs, atMs: nowMs, takenPerMs };
    return takenPerMs;
  }
}
