/**
 * The event loop of a box, on a single thread: all inputs are merged into one `most` stream, each event runs one turn of the
 * core, and the effects of the turn are passed to the adapters.
 */
import type { CoreEvent, Effect, World } from '@hazelwalk/core';
import { runTurn, SynchronousSource } from '@hazelwalk/core';
import { mergeArray, periodic, Stream } from 'most';

/** Interval of tick events, which run a turn while there is no other input. */
const TICK_MS = 50;

/** Passes an event from an adapter to the core. */
export type EmitEvent = (event: CoreEvent) => void;

/** Runs the core over a merged stream of inputs. */
export class CoreLoop {
  private readonly inputs = new SynchronousSource<CoreEvent>();
  private readonly stopSignal = new SynchronousSource<void>();
  private readonly queue: CoreEvent[] = [];
  private isInTurn = false;

  constructor(
    private readonly world: World,
    private readonly applyEffect: (effect: Effect) => void,
  ) {}

  /** Adds an input. It is handled before this call returns, or after the current turn if one is running. */
  readonly emit: EmitEvent = (event) => {
    this.inputs.push(event);
  };

  /** Starts the loop; the promise settles only if the core fails. */
  run(): Promise<void> {
    const ticks = periodic(TICK_MS).map((): CoreEvent => ({ type: 'tick' }));
    const inputs = new Stream(this.inputs);
    return mergeArray([inputs, ticks])
      .until(new Stream(this.stopSignal))
      .observe((event) => this.handleInput(event)) as Promise<void>;
  }

  /** Ends the input stream. */
  stop(): void {
    this.stopSignal.push();
  }

  /** An effect may emit further events synchronously; they are queued until the turn has ended, so that turns never nest. */
  private handleInput(event: CoreEvent): void {
    this.queue.push(event);
    if (this.isInTurn) return;
    this.isInTurn = true;
    try {
      this.drainQueue();
    } finally {
      this.isInTurn = false;
    }
  }

  private drainQueue(): void {
    for (let event = this.queue.shift(); event !== undefined; event = this.queue.shift()) {
      const effects = runTurn(this.world, [event], Date.now());
      for (const effect of effects) this.applyEffect(effect);
    }
  }
}
