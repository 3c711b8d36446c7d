/** Loads and demand that others tell twice a second. What was not renewed for several periods counts for nothing. */
export const REPORT_TTL_MS = 3_000;

/** What a teller said, and when. */
export interface Report<T> {
  readonly value: T;
  readonly receivedAtMs: number;
}

/** The last that each of several tellers said; it counts for a limited time. */
export class RecentReports<T> {
  private readonly byTeller = new Map<string, Report<T>>();

  /** Takes over what a teller said. */
  record(teller: string, value: T, nowMs: number): void {
    this.byTeller.set(teller, { value, receivedAtMs: nowMs });
  }

  /**
   * What still counts.
   *
   * @example
   * const book = new FreshBook<string>();
   * book.note('box-1', 'news', 0);
   * book.listFresh(TOLD_LIFE_MS + 1); // []
   */
  listRecent(nowMs: number): Report<T>[] {
    for (const [teller, { receivedAtMs: heardAtMs }] of this.byTeller) {
      if (nowMs - heardAtMs > REPORT_TTL_MS) this.byTeller.delete(teller);
    }
    return [...this.byTeller.values()];
  }
}
