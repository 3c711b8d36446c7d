/**
 * Evacuation orders of operators. Endpoints of an evacuated hall get no new requests of any kind until the order is
 * revoked; requests in flight run to their end. Orders belong to the list of endpoints and have its revision, so that
 * a box that does not read the platform, or starts during an outage of it, gets them from its peers.
 */

/** A change of the evacuation orders. */
export type EvacuationChange =
  | { readonly type: 'ordered'; readonly hall: string }
  | { readonly type: 'takenBack'; readonly hall: string }
  /** All orders in force: any other order was revoked. */
  | { readonly type: 'snapshot'; readonly halls: readonly string[] };

/** Halls whose evacuation began or ended with a change. */
export interface EvacuationEffect {
  readonly began: readonly string[];
  readonly ended: readonly string[];
}

const NO_EFFECT: EvacuationEffect = { began: [], ended: [] };

/**
 * For this long after an order, engines of the hall may be named as holders of a prompt, so that the engines that
 * take over its callers fetch the prompt and need not compute it again. An order of unknown age counts as old.
 */
const CACHE_SOURCE_MS = 3_000;

/** Evacuation orders in force at one box. */
export class Evacuations {
  /** When each order arrived, by the clock of this box; `-Infinity` if it may have been in force before. */
  private readonly orderedAtMs = new Map<string, number>();

  /**
   * Whether a hall is under an evacuation order.
   *
   * @example evacuations.isEvacuated('mixco') // true from the order until it is revoked
   */
  isEvacuated(hall: string): boolean {
    return this.orderedAtMs.has(hall);
  }

  /**
   * Whether engines of a hall may serve cached prompts to others: not if the hall has been under an order for a
   * while.
   */
  mayServeCache(hall: string, nowMs: number): boolean {
    return nowMs - (this.orderedAtMs.get(hall) ?? nowMs) <= CACHE_SOURCE_MS;
  }

  /** Whether no hall is under an order, which is nearly always the case. */
  get isEmpty(): boolean {
    return this.orderedAtMs.size === 0;
  }

  /** The halls under an order. */
  list(): string[] {
    return [...this.orderedAtMs.keys()];
  }

  /** Applies a change; returns its effect, which is empty if the change was known. */
  apply(change: EvacuationChange, nowMs: number): EvacuationEffect {
    switch (change.type) {
      case 'ordered':
        if (this.orderedAtMs.has(change.hall)) return NO_EFFECT;
        this.orderedAtMs.set(change.hall, nowMs);
        return { ...NO_EFFECT, began: [change.hall] };
      case 'takenBack':
        return this.orderedAtMs.delete(change.hall) ? { ...NO_EFFECT, ended: [change.hall] } : NO_EFFECT;
      case 'snapshot':
        return this.applySnapshot(change.halls);
    }
  }

  private applySnapshot(halls: readonly string[]): EvacuationEffect {
    const began = halls.filter((hall) => !this.orderedAtMs.has(hall));
    const ended = this.list().filter((hall) => !halls.includes(hall));
    for (const hall of began) this.orderedAtMs.set(hall, -Infinity);
    for (const hall of ended) this.orderedAtMs.delete(hall);
    return { began, ended };
  }
}
