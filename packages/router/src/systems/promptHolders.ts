/**
 * Which endpoints hold which prompts, as far as the boxes know: each notes where it sends a prompt, and tells the others
 * what they may not know. A belief, never a promise: an endpoint may have forgotten a prompt or lost it in a crash.
 */

/** A prompt and an endpoint that holds it, in turn, each as a 32-bit number. */
export type HolderList = readonly number[];

/** Prompts that are remembered; the one used longest ago gives way. */
const MAX_PROMPTS = 16_384;
/** Endpoints that are remembered for one prompt: its home, one that stands in for it, and one that was left. */
export const MAX_HOLDERS = 3;
/** Pairs that wait to be told; in a rush the oldest are left out, since others learn them when they need them. */
const MAX_UNTOLD_PAIRS = 4_096;

/** What one box knows of the homes of prompts. */
export class PromptHolders {
  /** Tags of endpoints by prompt, the one noted last at the end. The prompt used last is the last of the map. */
  private readonly holders = new Map<number, readonly number[]>();
  private untold: number[] = [];

  /** Tags of the endpoints that hold a prompt, as far as known. */
  list(prompt: number): readonly number[] {
    return this.holders.get(prompt) ?? [];
  }

  /** This box sends a prompt to an endpoint. */
  record(prompt: number, tag: number): void {
    if (!this.remember(prompt, tag)) return;
    this.untold.push(prompt, tag);
    if (this.untold.length > 2 * MAX_UNTOLD_PAIRS) this.untold = this.untold.slice(-2 * MAX_UNTOLD_PAIRS);
  }

  /** Other boxes tell which endpoints hold which prompts. */
  addReported(homes: HolderList): void {
    for (let at = 0; at + 1 < homes.length; at += 2) this.remember(homes[at] ?? 0, homes[at + 1] ?? 0);
  }

  /** What this box noted and has not told yet, so many pairs at most; afterwards it counts as told. */
  takeUnsent(maxPairs: number): number[] {
    return this.untold.splice(0, 2 * maxPairs);
  }

  /** What is known, the prompts used last first, for a box that just came up or was cut off. */
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

  /** Notes a holder; false if it was known. */
  private remember(prompt: number, tag: number): boolean {
    const known = this.holders.get(prompt);
    this.holders.delete(prompt);
    if (known?.includes(tag) === true) {
      this.holders.set(prompt, known);
      return false;
    }
    this.holders.set(prompt, [...(known ?? []), tag].slice(-MAX_HOLDERS));
    if (this.holders.size > MAX_PROMPTS) this.forgetOldest();
    return true;
  }

  private forgetOldest(): void {
    const oldest = this.holders.keys().next().value;
    if (oldest !== undefined) this.holders.delete(oldest);
  }
}
