/** A map of bounded size that drops what was written longest ago. */
export class BoundedBook<T> {
  private readonly entries = new Map<string, T>();

  constructor(private readonly maxEntries: number) {}

  get size(): number {
    return this.entries.size;
  }

  get(key: string): T | undefined {
    return this.entries.get(key);
  }

  /**
   * Writes an entry as the newest one; returns the entry that had to go for it.
   *
   * @example
   * const book = new BoundedBook<number>(1);
   * book.set('a', 1);
   * book.set('b', 2); // ['a', 1], which is gone
   */
  set(key: string, value: T): [string, T] | undefined {
    this.entries.delete(key);
    this.entries.set(key, value);
    if (this.entries.size <= this.maxEntries) return undefined;
    const oldest = this.entries.entries().next().value;
    if (oldest !== undefined) this.entries.delete(oldest[0]);
    return oldest;
  }

  delete(key: string): void {
    this.entries.delete(key);
  }

  /** All entries, the newest first. */
  listNewest(): [string, T][] {
    return [...this.entries].reverse();
  }

  /** All entries, the oldest first; entries may be deleted meanwhile. */
  iterate(): IterableIterator<[string, T]> {
    return this.entries.entries();
  }
}
