/** A fake engine at the core's interface: counts, a prefix cache of limited size, answers of given length. */

/** A model engine without processes or time of its own. */
export class SimulatedEngine {
  inFlight = 0;
  private readonly cache = new Set<string>();

  constructor(
    readonly id: string,
    private readonly cacheChats: number,
  ) {}

  /** Whether the chat's prefix is warm. */
  holds(chat: string): boolean {
    return this.cache.has(chat);
  }

  /** Starts a call. Returns whether the chat's prefix was warm. */
  start(chat: string): boolean {
    this.inFlight += 1;
    const wasWarm = this.cache.delete(chat);
    this.cache.add(chat);
    if (this.cache.size > this.cacheChats) this.evictOldest();
    return wasWarm;
  }

  /** Ends a call. */
  end(): void {
    this.inFlight -= 1;
  }

  /** Loses everything, as a restarted engine does. */
  restart(): void {
    this.cache.clear();
    this.inFlight = 0;
  }

  private evictOldest(): void {
    const oldest = this.cache.values().next().value;
    if (oldest !== undefined) this.cache.delete(oldest);
  }
}
