/**
 * A `most` source that emits each value synchronously. The library's `fromEvent` defers values: frames of a body, which
 * go directly to their adapter, would then overtake the control frame that precedes them on the same link.
 */
import type { Disposable, Scheduler, Sink, Source } from 'most';

/** Pushes values into a stream: `new Stream(source)`. */
export class SynchronousSource<T> implements Source<T> {
  private sink: Sink<T> | undefined;
  private scheduler: Scheduler | undefined;

  run(sink: Sink<T>, scheduler: Scheduler): Disposable<T> {
    this.sink = sink;
    this.scheduler = scheduler;
    return {
      dispose: () => {
        this.sink = undefined;
      },
    };
  }

  /** Emits a value; it is dropped if there is no subscriber. */
  push(value: T): void {
    if (this.scheduler !== undefined) this.sink?.event(this.scheduler.now(), value);
  }
}
