/**
 * How often the fleet is asked for each prompt. A single box sees next to nothing of that: in a large fleet it may
 * get one request every three seconds for a prompt that all boxes are asked for all the time. So boxes report their
 * counts, and the receivers add them up: every box in a small fleet, and in a large one the aggregators, which send
 * the hot prompts to all boxes. A hot prompt is spread over several endpoints at once: loads are up to a second old,
 * and in that time a single endpoint would get all of its requests.
 */
import { RecentReports, REPORT_TTL_MS } from './recentReports.js';
import type { PairList } from './pairList.js';
import { addPairs, readPairs } from './pairList.js';

/**
 * Requests per second at which a prompt becomes hot: several times the rate of the most used of many prompts when
 * none is hot.
 */
const HOT_PER_S = 6;
/** Age of loads when the next ones arrive if no box is late. On busy machines the reported age is higher. */
const MIN_LOAD_AGE_MS = 1_000;
const MS_PER_S = 1_000;
/**
 * Requests for one prompt that an endpoint may get before its load is reported: the margin between the load cap and
 * the bound.
 */
const UNREPORTED_REQUESTS = 2;
/** Periods that an aggregator adds up: one second at two load reports a second. */
const COUNTED_PERIODS = 2;
/** Factor by which falling demand for a prompt decays each period: the prompt cools down in about eight seconds. */
const COOLING_FACTOR = 0.9;
/**
 * A hall reports to the others only prompts that were requested at least this often within a second: most are
 * requested once.
 */
const MIN_REPORTED_COUNT = 2;
/** Prompts in one list, those in most demand: half a kilobyte. */
const MAX_LISTED_PROMPTS = 64;

/** Requests for prompts at one box, and the hot prompts reported to it. */
export class PromptDemand {
  private readonly counts = new Map<number, number>();
  private hot = new Map<number, number>();
  private hotUpdatedAtMs = -Infinity;

  /** Counts a request for a prompt at this box. */
  recordRequest(prompt: number): void {
    this.counts.set(prompt, (this.counts.get(prompt) ?? 0) + 1);
  }

  /** Returns the counts since the last call and clears them. */
  takeCounts(): number[] {
    const counts = listMostRequested(this.counts);
    this.counts.clear();
    return counts;
  }

  /** Replaces the hot prompts and their requests per second by those of an aggregator. */
  setHotPrompts(hot: PairList, nowMs: number): void {
    this.hot = new Map(readPairs(hot));
    this.hotUpdatedAtMs = nowMs;
  }

  /**
   * Number of endpoints over which a prompt is spread; 1 unless it is hot. The older loads are, as on busy machines,
   * the more requests an endpoint gets before its load is reported.
   *
   * @param loadAgeMs age of the oldest load report of the other boxes
   */
  readSpreadWidth(prompt: number, nowMs: number, loadAgeMs: number): number {
    const ageS = Math.max(MIN_LOAD_AGE_MS, loadAgeMs) / MS_PER_S;
    const perS = nowMs - this.hotUpdatedAtMs > REPORT_TTL_MS ? 0 : (this.hot.get(prompt) ?? 0);
    return Math.max(1, Math.ceil((perS * ageS) / UNREPORTED_REQUESTS));
  }
}

/** Adds up the demand for prompts, at an aggregator or, in a small fleet, at every box. */
export class DemandAggregate {
  private readonly current = new Map<number, number>();
  private periods: PairList[] = [];
  private hasNewlyHot = false;
  private readonly halls = new RecentReports<PairList>();
  private hot = new Map<number, number>();

  /** Adds the counts of a box since its last report: of a box of the hall or, in a small fleet, of any box. */
  addBoxCounts(counts: PairList): void {
    for (const [prompt, count] of readPairs(counts)) {
      const total = (this.current.get(prompt) ?? 0) + count;
      this.current.set(prompt, total);
      if (total >= HOT_PER_S && !this.hot.has(prompt)) this.hasNewlyHot = true;
    }
  }

  /** Whether a prompt became hot within this period by the counts of the own hall. Reading it clears it. */
  takeNewlyHot(): boolean {
    const { hasNewlyHot } = this;
    this.hasNewlyHot = false;
    return hasNewlyHot;
  }

  /** Updates the hot prompts from the counts so far, before the period ends. */
  updateHot(nowMs: number): void {
    this.hot = this.findHot(nowMs);
  }

  /** Records the counts of another hall within a second. */
  setHallCounts(hall: string, counts: PairList, nowMs: number): void {
    this.halls.record(hall, counts, nowMs);
  }

  /** Ends a period. */
  endPeriod(nowMs: number): void {
    this.periods = this.addCurrent();
    this.current.clear();
    this.updateHot(nowMs);
  }

  /** Counts of the own hall within a second, as reported to other halls. */
  listHallCounts(): number[] {
    const counts = new Map(readPairs(addPairs(this.listRecent())));
    for (const [prompt, count] of counts) if (count < MIN_REPORTED_COUNT) counts.delete(prompt);
    return listMostRequested(counts);
  }

  /** Hot prompts of the whole fleet, with requests per second. */
  listHot(): number[] {
    return listMostRequested(this.hot);
  }

  /** Counts of the own hall in the last periods, including the current one. */
  private listRecent(): PairList[] {
    return this.current.size === 0 ? this.periods : this.addCurrent();
  }

  private addCurrent(): PairList[] {
    return [...this.periods, [...this.current].flat()].slice(-COUNTED_PERIODS);
  }

  /** A prompt becomes hot at once and cools down slowly, so that a lull between bursts does not move it back. */
  private findHot(nowMs: number): Map<number, number> {
    const lists = [...this.listRecent(), ...this.halls.listRecent(nowMs).map(({ value }) => value)];
    const demand = new Map(readPairs(addPairs(lists)));
    const hot = new Map<number, number>();
    for (const [prompt, perS] of this.hot) {
      const cooled = perS * COOLING_FACTOR;
      if (cooled >= HOT_PER_S) hot.set(prompt, cooled);
    }
    for (const [prompt, perS] of demand) {
      if (perS >= Math.max(HOT_PER_S, hot.get(prompt) ?? 0)) hot.set(prompt, perS);
    }
    return hot;
  }
}

function listMostRequested(counts: ReadonlyMap<number, number>): number[] {
  const pairs = [...counts];
  if (pairs.length > MAX_LISTED_PROMPTS) pairs.sort(([, a], [, b]) => b - a);
  return pairs.slice(0, MAX_LISTED_PROMPTS).flat();
}
