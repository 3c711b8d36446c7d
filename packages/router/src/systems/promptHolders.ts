/**
 * Records which endpoints hold which prompts. Each box records where it sends a prompt, and reports holders that the
 * others may lack. A record is no guarantee: an endpoint may have evicted a prompt or lost it in a crash.
 */

/** Alternating prompts and tags of endpoints that hold them, each a 32-bit number. */
export type HolderList = readonly number[];

/** Prompts that are recorded; the least recently used one is evicted. */
const MAX_PROMPTS = 16_384;
/** Holders recorded for one prompt: its preferred endpoint, one that replaces it, and a former one. */
export const MAX_HOLDERS = 3;
/**
 * Pairs that wait to be sent. In a burst the oldest are dropped, since other boxes learn them when they need them.
 */
const MAX_UNSENT_PAIRS = 4_096;

/** Holders of prompts, as recorded by one box. */
export class PromptHolders {
  /**
   * Tags of endpoints by prompt, the last recorded at the end. The most recently used prompt is the last of the map.
   */
  private readonly holders = new Map<number, readonly number[]>();
  private unsent: number[] = [];

  /** Tags of the known holders of a prompt. */
  list(prompt: number): readonly number[] {
    return this.holders.get(prompt) ?? [];
  }

  /** Records that this box sends a prompt to an endpoint. */
  record(prompt: number, tag: number): void {
    if (!this.addHolder(prompt, tag)) return;
    this.unsent.push(prompt, tag);
    if (this.unsent.length > 2 * MAX_UNSENT_PAIRS) this.unsent = this.unsent.slice(-2 * MAX_UNSENT_PAIRS);
  }

  /** Adds holders that other boxes reported. */
  addReported(reported: HolderList): void {
    for (let at = 0; at + 1 < reported.length; at += 2)
      this.addHolder(reported[at] ?? 0, reported[at + 1] ?? 0);
  }

  /** Returns and clears up to this many pairs that this box has recorded and not sent yet. */
  takeUnsent(maxPairs: number): number[] {
    return this.unsent.splice(0, 2 * maxPairs);
  }

  /** Holders of the most recently used prompts first, for a box that just came up or was cut off. */
  listRecent(maxPairs: number): number[] {
    const pairs: number[] = [];
    for (const [prompt, tags] of [...this.holders].reverse()) {
      for (const tag of tags) pairs.push(prompt, tag);
      if (pairs.length >= 2 * maxPairs) break;
    }
    return pairs.slice(0, 2 * maxPairs);
  }

  /** Number of prompts that are known. */
  get size(): number {
    return this.holders.size;
  }

  /** Adds a holder; returns false if it was known. */
  private addHolder(prompt: number, tag: number): boolean {
    const known = this.holders.get(prompt);
    this.holders.delete(prompt);
    if (known?.includes(tag) === true) {
      this.holders.set(prompt, known);
      return false;
    }
    this.holders.set(prompt, [...(known ?? []), tag].slice(-MAX_HOLDERS));
    if (this.holders.size > MAX_PROMPTS) this.evictOldest();
    return true;
  }

  private evictOldest(): void {
    const oldest = this.holders.keys().next().value;
    if (oldest !== undefined) this.holders.delete(oldest);
  }
}
