/** A queue of things to do at given times. */
import TinyQueue from 'tinyqueue';

interface Entry {
  readonly atMs: number;
  readonly order: number;
  readonly act: () => void;
}

/** Runs actions in order of time; those of one time in the order in which they were added. */
export class Timeline {
  nowMs = 0;
  private readonly queue = new TinyQueue<Entry>([], (a, b) => a.atMs - b.atMs || a.order - b.order);
  private nextOrder = 0;

  /** Adds an action. */
  at(atMs: number, act: () => void): void {
    this.queue.push({ atMs, order: this.nextOrder++, act });
  }

  /** Adds an action after a delay. */
  after(delayMs: number, act: () => void): void {
    this.at(this.nowMs + delayMs, act);
  }

  /** Adds an action that repeats until the end. */
  every(intervalMs: number, act: () => void): void {
    this.after(intervalMs, () => {
      act();
      this.every(intervalMs, act);
    });
  }

  /** Runs until a time; what is due later waits for the next run. */
  run(untilMs: number): void {
    for (
      let entry = this.queue.peek();
      entry !== undefined && entry.atMs <= untilMs;
      entry = this.queue.peek()
    ) {
      this.queue.pop();
      this.nowMs = entry.atMs;
      entry.act();
    }
    this.nowMs = Math.max(this.nowMs, untilMs);
  }
}
