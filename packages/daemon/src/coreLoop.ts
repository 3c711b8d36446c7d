/**
 * The one loop on one thread: every input is merged into one `most` stream, each event is a turn of the core, and the
 * turn's effects go to the adapters.
 */
import { EventEmitter } from 'node:events';
import type { CoreEvent, Effect, World } from '@hazelwalk/core';
import { runTurn } from '@hazelwalk/core';
import { fromEvent, mergeArray, periodic } from 'most';

/** Pace of turns when nothing happens. */
const TICK_MS = 20;
const EVENT_NAME = 'input';

/** Where an adapter puts what it saw. */
export type EmitEvent = (event: CoreEvent) => void;

/** Runs the core over a merged stream of inputs. */
export class CoreLoop {
  private readonly inputs = new EventEmitter();
  private readonly queue: CoreEvent[] = [];
  private isInTurn = false;

  constructor(
    private readonly world: World,
    private readonly carryOut: (effect: Effect) => void,
  ) {}

  /** Adds an input. It is handled before this call returns, unless a turn is under way. */
  readonly emit: EmitEvent = (event) => {
    this.inputs.emit(EVENT_NAME, event);
  };

  /** Starts the loop; the promise settles only if the core fails. */
  run(): Promise<void> {
    const ticks = periodic(TICK_MS).map((): CoreEvent => ({ type: 'tick' }));
    const inputs = fromEvent<CoreEvent>(EVENT_NAME, this.inputs);
    return mergeArray([inputs, ticks]).observe((event) => this.accept(event)) as Promise<void>;
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
