/** Virtual time: a queue of actions, each due at a given time. */
import TinyQueue from 'tinyqueue';

interface ScheduledAction {
  readonly atMs: number;
  readonly order: number;
  readonly action: () => void;
}

/** Runs actions in order of their due times; actions due at the same time run in the order in which they were added. */
export class Timeline {
  nowMs = 0;
  private readonly queue = new TinyQueue<ScheduledAction>([], (a, b) => a.atMs - b.atMs || a.order - b.order);
  private nextOrder = 0;

  /** Schedules an action for a time. */
  at(atMs: number, action: () => void): void {
    this.queue.push({ atMs, order: this.nextOrder++, action });
  }

  /** Schedules an action after a delay. */
  after(delayMs: number, action: () => void): void {
    this.at(this.nowMs + delayMs, action);
  }

  /** Schedules an action at every interval, without end. */
  every(intervalMs: number, action: () => void): void {
    this.after(intervalMs, () => {
      action();
      this.every(intervalMs, action);
    });
  }

  /** Advances to a time and runs all actions due by then; later actions stay queued. */
  run(untilMs: number): void {
    for (
      let entry = this.queue.peek();
      entry !== undefined && entry.atMs <= untilMs;
      entry = this.queue.peek()
    ) {
      this.queue.pop();
      this.nowMs = entry.atMs;
      entry.action();
    }
    this.nowMs = Math.max(this.nowMs, untilMs);
  }
}
