/**
 * Processor time for what callers send. A caller whose bytes take little is read at once. One whose bytes take much, such as a body
 * in chunks of a byte, is read in turn with others of its kind, some milliseconds at a time, so that the loop goes on in between.
 */

/** Processor time that the bytes of a caller took lately above which it is read in turn. */
const COSTLY_MS = 4;
/** Share of the passing time by which that is forgotten. */
const FORGOTTEN_SHARE = 0.05;
/** Share of the passing time that all callers together may be read at once; above it, all are read in turn. */
const DIRECT_SHARE = 0.8;

/** A caller whose bytes are read in slices. */
export class TurnTaker {
  private spentMs = 0;
  private updatedAtMs = 0;

  /** @param readSlice parses some of what has arrived; returns whether more can be parsed now */
  constructor(readonly readSlice: () => boolean) {}

  /** Records processor time that its bytes took. */
  spend(costMs: number, nowMs: number): void {
    this.spentMs = this.readSpentMs(nowMs) + costMs;
    this.updatedAtMs = nowMs;
  }

  /** Whether its bytes took much processor time lately. */
  isCostly(nowMs: number): boolean {
    return this.readSpentMs(nowMs) >= COSTLY_MS;
  }

  private readSpentMs(nowMs: number): number {
    return Math.max(0, this.spentMs - (nowMs - this.updatedAtMs) * FORGOTTEN_SHARE);
  }
}

/** Options of the turns. */
export interface ReadingTurnsOptions {
  /** Processor time that callers are read in one turn of the event loop once they have to wait. */
  readonly turnMs: number;
  readonly now: () => number;
  /** Calls back in the next turn of the event loop. */
  readonly schedule?: (callback: () => void) => void;
}

/** Decides whose bytes are parsed now. */
export class ReadingTurns {
  private readonly cheap = new Set<TurnTaker>();
  private readonly costly = new Set<TurnTaker>();
  private isScheduled = false;
  /** Time for which callers may still be read at once. */
  private directMs: number;
  private updatedAtMs: number;

  constructor(private readonly options: ReadingTurnsOptions) {
    this.directMs = options.turnMs;
    this.updatedAtMs = options.now();
  }

  /** Number of callers that wait for their turn. */
  get waitingCount(): number {
    return this.cheap.size + this.costly.size;
  }

  /** Parses what has arrived from a caller, at once or when it is its turn. */
  read(taker: TurnTaker): void {
    if (this.cheap.has(taker) || this.costly.has(taker)) return;
    while (this.mayReadAtOnce(taker)) if (!this.readSlice(taker)) return;
    this.enqueue(taker);
  }

  /** Forgets a caller that is gone. */
  remove(taker: TurnTaker): void {
    this.cheap.delete(taker);
    this.costly.delete(taker);
  }

  private mayReadAtOnce(taker: TurnTaker): boolean {
    const nowMs = this.options.now();
    const refillMs = (nowMs - this.updatedAtMs) * DIRECT_SHARE;
    this.directMs = Math.min(this.options.turnMs, this.directMs + refillMs);
    this.updatedAtMs = nowMs;
    return this.directMs > 0 && !taker.isCostly(nowMs);
  }

  private readSlice(taker: TurnTaker): boolean {
    const startedAtMs = this.options.now();
    const hasMore = taker.readSlice();
    const nowMs = this.options.now();
    taker.spend(nowMs - startedAtMs, nowMs);
    this.directMs -= nowMs - startedAtMs;
    return hasMore;
  }

  private enqueue(taker: TurnTaker): void {
    const queue = taker.isCostly(this.options.now()) ? this.costly : this.cheap;
    queue.add(taker);
    this.schedule();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    (this.options.schedule ?? setImmediate)(() => this.takeTurn());
  }

  /** Reads cheap callers first, and at least a slice of a costly one, so that it goes on under load, too. */
  private takeTurn(): void {
    this.isScheduled = false;
    const { now, turnMs } = this.options;
    const untilMs = now() + turnMs;
    while (this.cheap.size > 0 && now() < untilMs) this.readFirst(this.cheap);
    do this.readFirst(this.costly);
    while (this.costly.size > 0 && now() < untilMs);
    if (this.waitingCount > 0) this.schedule();
  }

  private readFirst(queue: Set<TurnTaker>): void {
    for (const taker of queue) {
      queue.delete(taker);
      if (this.readSlice(taker)) this.enqueue(taker);
      return;
    }
  }
}
