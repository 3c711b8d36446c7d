/**
 * Halls that operators have ordered to be emptied: their endpoints get nothing new, of whatever kind, until the order is
 * taken back. What runs there goes on to its end. Orders travel with the list of endpoints and are as new as it is, so that
 * a box which does not read the platform, or starts while it is away, has them from its peers.
 */

/** A change of the orders. */
export type EvacuationChange =
  | { readonly type: 'ordered'; readonly hall: string }
  | { readonly type: 'takenBack'; readonly hall: string }
  /** All orders in force: what is not among them was taken back. */
  | { readonly type: 'snapshot'; readonly halls: readonly string[] };

/** What a change did to the orders in force. */
export interface EvacuationEffect {
  readonly began: readonly string[];
  readonly ended: readonly string[];
}

const NO_EFFECT: EvacuationEffect = { began: [], ended: [] };

/**
 * For so long after an order engines of the hall may be named as holders of a prompt, so that those which take over its
 * callers fetch what they need and do not read it all anew. An order whose age is not known is an old one.
 */
const HAND_OVER_MS = 3_000;

/** The orders in force at one box. */
export class Evacuations {
  /** When each order came, on the clock of this box; `-Infinity` where it may have been there before. */
  private readonly orderedAtMs = new Map<string, number>();

  /**
   * Whether a hall is to be left alone.
   *
   * @example evacuations.covers('mixco') // true between an order and its end
   */
  isEvacuated(hall: string): boolean {
    return this.orderedAtMs.has(hall);
  }

  /** Whether engines of a hall may hand over what they hold: always, but for those that have been under an order for long. */
  mayServeCache(hall: string, nowMs: number): boolean {
    return nowMs - (this.orderedAtMs.get(hall) ?? nowMs) <= HAND_OVER_MS;
  }

  /** Whether no hall is under an order, as nearly always. */
  get isEmpty(): boolean {
    return this.orderedAtMs.size === 0;
  }

  /** The halls under an order. */
  list(): string[] {
    return [...this.orderedAtMs.keys()];
  }

  /** Takes over a change; tells what it did, which is nothing if it is known. */
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
