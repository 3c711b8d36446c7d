/**
 * The one loop on one thread: every input is merged into one `most` stream, each event is a turn of the core, and the
 * turn's effects go to the adapters.
 */
import type { CoreEvent, Effect, World } from '@hazelwalk/core';
import { runTurn, SynchronousSource } from '@hazelwalk/core';
import { mergeArray, periodic, Stream } from 'most';

/** Pace of turns when nothing happens. */
const TICK_MS = 50;

/** Where an adapter puts what it saw. */
export type EmitEvent = (event: CoreEvent) => void;

/** Runs the core over a merged stream of inputs. */
export class CoreLoop {
  private readonly inputs = new SynchronousSource<CoreEvent>();
  private readonly ends = new SynchronousSource<void>();
  private readonly queue: CoreEvent[] = [];
  private isInTurn = false;

  constructor(
    private readonly world: World,
    private readonly carryOut: (effect: Effect) => void,
  ) {}

  /** Adds an input. It is handled before this call returns, unless a turn is under way. */
  readonly emit: EmitEvent = (event) => {
    this.inputs.push(event);
  };

  /** Starts the loop; the promise settles only if the core fails. */
  run(): Promise<void> {
    const ticks = periodic(TICK_MS).map((): CoreEvent => ({ type: 'tick' }));
    const inputs = new Stream(this.inputs);
    return mergeArray([inputs, ticks])
      .until(new Stream(this.ends))
      .observe((event) => this.accept(event)) as Promise<void>;
  }

  /** Ends the stream of inputs. */
  stop(): void {
    this.ends.push();
  }

  /** Effects may lead to further events at once; those wait for the turn to end, so that turns never nest. */
  private accept(event: CoreEvent): void {
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
      for (const effect of effects) this.carryOut(effect);
    }
  }
}
