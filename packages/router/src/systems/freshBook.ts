/** Loads and demand that others tell twice a second. What was not renewed for several periods counts for nothing. */
export const TOLD_LIFE_MS = 3_000;

/** What a teller said, and when. */
export interface Told<T> {
  readonly value: T;
  readonly heardAtMs: number;
}

/** The last that each of several tellers said; it counts for a limited time. */
export class FreshBook<T> {
  private readonly byTeller = new Map<string, Told<T>>();

  /** Takes over what a teller said. */
  note(teller: string, value: T, nowMs: number): void {
    this.byTeller.set(teller, { value, heardAtMs: nowMs });
  }

  /**
   * What still counts.
   *
   * @example
   * const book = new FreshBook<string>();
   * book.note('box-1', 'news', 0);
   * book.listFresh(TOLD_LIFE_MS + 1); // []
   */
  listFresh(nowMs: number): Told<T>[] {
    for (const [teller, { heardAtMs }] of this.byTeller) {
      if (nowMs - heardAtMs > TOLD_LIFE_MS) this.byTeller.delete(teller);
    }
    return [...this.byTeller.values()];
  }
}
