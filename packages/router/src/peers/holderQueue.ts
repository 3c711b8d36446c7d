/** Prompt holders that an aggregator has yet to send. */
import type { HolderList } from '../systems/promptHolders.js';

/** Maximum number of prompt holders in one sum: two kilobytes. In a steady state a hall's boxes send almost none. */
export const MAX_HOLDERS_PER_SUM = 256;

/** Pairs of a prompt and the tag of an endpoint that has it cached, for the next sum. */
export class HolderQueue {
  private pairs: number[] = [];

  /** Queues prompt holders. A box that does not aggregate keeps the newest in case it takes over. */
  add(holders: HolderList): void {
    this.pairs.push(...holders);
    const surplus = this.pairs.length - 2 * MAX_HOLDERS_PER_SUM;
    if (surplus > 0) this.pairs.splice(0, surplus);
  }

  /** Takes all of them. */
  take(): number[] {
    return this.pairs.splice(0);
  }
}
