/**
 * A `most` source that passes each value on within the call. The library's own `fromEvent` defers them, so that frames
 * of a body, which go straight to their adapter, would overtake the control frame before them on the same link.
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

  /** Passes a value on; dropped if nobody listens. */
  push(value: T): void {
    if (this.scheduler !== undefined) this.sink?.event(this.scheduler.now(), value);
  }
}
