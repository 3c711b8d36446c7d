/**
 * How often the fleet is asked for each prompt. A box sees next to nothing of that itself: in a large fleet it may get
 * one request each three seconds of a prompt that all boxes are asked for all the time. So boxes tell what they were asked
 * for, and whoever hears it adds it up: in a small fleet every box, in a large one the speakers, who tell all which prompts
 * are hot. A hot prompt is spread over several endpoints at once: loads are up to a
 * second old, and in that time a single endpoint would get all of its requests.
 */
import { RecentReports, REPORT_TTL_MS } from './recentReports.js';
import type { PairList } from './pairList.js';
import { addPairs, readPairs } from './pairList.js';

/** Requests a second from which a prompt is hot: several times what the most used of many prompts gets when none is. */
const HOT_PER_S = 6;
/** How old loads are when the next ones come where no box is late; on busy machines they say themselves that they are older. */
const LEAST_LOAD_AGE_MS = 1_000;
const MS_PER_S = 1_000;
/** Requests for one prompt that an endpoint may get before its load is heard of: what the load cap leaves to the bound. */
const REQUESTS_UNHEARD = 2;
/** Periods over which a speaker counts; with two a second, as loads are told, a second. */
const COUNTED_PERIODS = 2;
/** What is left of a prompt's demand each period when it falls: it cools down in some eight seconds. */
const COOLING = 0.9;
/** A hall tells others only of prompts asked for so often in a second: of most it is once. */
const LEAST_TOLD = 2;
/** Prompts in one list, the ones in most demand: half a kilobyte. */
const MAX_TOLD = 64;

/** What one box was asked for, and which prompts it knows to be hot. */
export class PromptDemand {
  private readonly counts = new Map<number, number>();
  private hot = new Map<number, number>();
  private learnedAtMs = -Infinity;

  /** A request for a prompt came to this box. */
  recordRequest(prompt: number): void {
    this.counts.set(prompt, (this.counts.get(prompt) ?? 0) + 1);
  }

  /** What came since the last call. */
  takeCounts(): number[] {
    const counts = mostWanted(this.counts);
    this.counts.clear();
    return counts;
  }

  /** A speaker names all hot prompts, with requests a second. */
  setHotPrompts(hot: PairList, nowMs: number): void {
    this.hot = new Map(readPairs(hot));
    this.learnedAtMs = nowMs;
  }

  /**
   * Over how many endpoints a prompt is to be spread; 1 unless it is hot. The older loads are, as on busy machines, the
   * more come to an endpoint before anybody hears of it.
   *
   * @param loadAgeMs how old the oldest loads are that this box knows
   */
  readSpreadWidth(prompt: number, nowMs: number, loadAgeMs: number): number {
    const ageS = Math.max(LEAST_LOAD_AGE_MS, loadAgeMs) / MS_PER_S;
    const perS = nowMs - this.learnedAtMs > REPORT_TTL_MS ? 0 : (this.hot.get(prompt) ?? 0);
    return Math.max(1, Math.ceil((perS * ageS) / REQUESTS_UNHEARD));
  }
}

/** What a speaker adds up, and in a small fleet every box. */
export class DemandAggregate {
  private readonly current = new Map<number, number>();
  private periods: PairList[] = [];
  private hasNews = false;
  private readonly halls = new RecentReports<PairList>();
  private hot = new Map<number, number>();

  /** A box of the hall tells what it was asked for since it told last. */
  addBoxCounts(counts: PairList): void {
    for (const [prompt, count] of readPairs(counts)) {
      const asked = (this.current.get(prompt) ?? 0) + count;
      this.current.set(prompt, asked);
      if (asked >= HOT_PER_S && !this.hot.has(prompt)) this.hasNews = true;
    }
  }

  /** Whether a prompt became hot within this period, by what the own boxes were asked for; asked once. */
  takeNewlyHot(): boolean {
    const { hasNews } = this;
    this.hasNews = false;
    return hasNews;
  }

  /** Takes what came in this period for enough to tell which prompts are hot. */
  updateHot(nowMs: number): void {
    this.hot = this.findHot(nowMs);
  }

  /** Another hall tells what it was asked for within a second. */
  setHallCounts(hall: string, counts: PairList, nowMs: number): void {
    this.halls.record(hall, counts, nowMs);
  }

  /** Ends a period. */
  endPeriod(nowMs: number): void {
    this.periods = this.addCurrent();
    this.current.clear();
    this.updateHot(nowMs);
  }

  /** What the own hall was asked for within a second, as other halls are told. */
  listHallCounts(): number[] {
    const counts = new Map(readPairs(addPairs(this.listRecent())));
    for (const [prompt, count] of counts) if (count < LEAST_TOLD) counts.delete(prompt);
    return mostWanted(counts);
  }

  /** Prompts that are hot in the whole fleet, with requests a second. */
  listHot(): number[] {
    return mostWanted(this.hot);
  }

  /** What the own boxes were asked for in the last periods, the one under way being one of them. */
  private listRecent(): PairList[] {
    return this.current.size === 0 ? this.periods : this.addCurrent();
  }

  private addCurrent(): PairList[] {
    return [...this.periods, [...this.current].flat()].slice(-COUNTED_PERIODS);
  }

  /** A prompt counts as hot at once, and cools down slowly: a lull between bursts does not move it back. */
  private findHot(nowMs: number): Map<number, number> {
    const lists = [...this.listRecent(), ...this.halls.listRecent(nowMs).map(({ value }) => value)];
    const wanted = new Map(readPairs(addPairs(lists)));
    const hot = new Map<number, number>();
    for (const [prompt, perS] of this.hot) {
      const cooled = perS * COOLING;
      if (cooled >= HOT_PER_S) hot.set(prompt, cooled);
    }
    for (const [prompt, perS] of wanted) {
      if (perS >= Math.max(HOT_PER_S, hot.get(prompt) ?? 0)) hot.set(prompt, perS);
    }
    return hot;
  }
}

function mostWanted(counts: ReadonlyMap<number, number>): number[] {
  const pairs = [...counts];
  if (pairs.length > MAX_TOLD) pairs.sort(([, a], [, b]) => b - a);
  return pairs.slice(0, MAX_TOLD).flat();
}
