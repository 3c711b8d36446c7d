/** Counts of recent requests by level: the order in which requests of a service are admitted when it is short of room. */

/** Time for which requests are counted: long enough for a box with a few requests a second to know its usual mix. */
const WINDOW_MS = 2_000;
const SLOT_MS = 250;
/** Full slots that count as recent, besides the current one. */
const RECENT_SLOTS = 2;
/** Requests in the window below which a change of their rate is chance. */
const MIN_TREND_COUNT = 40;
/** Time over which a rate is taken at least. */
const MIN_COUNTED_MS = SLOT_MS;
const MS_PER_S = 1_000;

interface Slot {
  readonly index: number;
  readonly counts: Map<number, number>;
}

/** Requests of one level in the last seconds. */
export interface LevelCount {
  /** 0 is admitted first. */
  readonly level: number;
  readonly count: number;
}

/** Counts requests by level in a sliding window. */
export class LevelCounts {
  private slots: Slot[] = [];
  private startedAtMs: number | undefined;

  /** Counts a request. */
  record(level: number, nowMs: number): void {
    this.startedAtMs ??= nowMs;
    const { counts } = this.currentSlot(nowMs);
    counts.set(level, (counts.get(level) ?? 0) + 1);
  }

  /** Requests of one level in the window. */
  read(level: number, nowMs: number): number {
    this.dropOld(nowMs);
    return this.slots.reduce((sum, { counts }) => sum + (counts.get(level) ?? 0), 0);
  }

  /**
   * Requests per second of one level.
   *
   * @example counts.readPerS(0, nowMs) // 3.5 after seven requests in the last two seconds
   */
  readPerS(level: number, nowMs: number): number {
    return (this.read(level, nowMs) * MS_PER_S) / this.readCountedMs(nowMs);
  }

  /**
   * Requests of the latest half second relative to the average of the window; 1 while there are too few to tell.
   *
   * @example counts.readTrend(nowMs) // 0.5 if the rate has just halved
   */
  readTrend(nowMs: number): number {
    this.dropOld(nowMs);
    const count = (slots: readonly Slot[]): number =>
      slots.flatMap(({ counts }) => [...counts.values()]).reduce((sum, value) => sum + value, 0);
    const total = count(this.slots);
    if (total < MIN_TREND_COUNT) return 1;
    const index = Math.floor(nowMs / SLOT_MS);
    const recent = count(this.slots.filter((slot) => slot.index >= index - RECENT_SLOTS));
    const recentMs = nowMs - (index - RECENT_SLOTS) * SLOT_MS;
    return recent / recentMs / (total / this.readCountedMs(nowMs));
  }

  /** Counts of all levels that had requests, in the order of the levels. */
  list(nowMs: number): LevelCount[] {
    this.dropOld(nowMs);
    const sums = new Map<number, number>();
    for (const { counts } of this.slots) {
      for (const [level, count] of counts) sums.set(level, (sums.get(level) ?? 0) + count);
    }
    return [...sums].map(([level, count]) => ({ level, count })).sort((a, b) => a.level - b.level);
  }

  /** Time that the window has covered so far. */
  private readCountedMs(nowMs: number): number {
    const windowFromMs = (Math.floor((nowMs - WINDOW_MS) / SLOT_MS) + 1) * SLOT_MS;
    const countedFromMs = Math.max(windowFromMs, this.startedAtMs ?? nowMs);
    return Math.max(MIN_COUNTED_MS, nowMs - countedFromMs);
  }

  private currentSlot(nowMs: number): Slot {
    const index = Math.floor(nowMs / SLOT_MS);
    const last = this.slots.at(-1);
    if (last?.index === index) return last;
    this.dropOld(nowMs);
    const slot: Slot = { index, counts: new Map() };
    this.slots.push(slot);
    return slot;
  }

  private dropOld(nowMs: number): void {
    const oldest = Math.floor((nowMs - WINDOW_MS) / SLOT_MS);
    const first = this.slots[0];
    if (first !== undefined && first.index <= oldest) {
      this.slots = this.slots.filter(({ index }) => index > oldest);
    }
  }
}
