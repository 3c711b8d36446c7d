/** A simulated engine for runs of the core: requests in flight and a prefix cache of limited size. */

/** A model engine without a process or a clock of its own; the run starts and ends its calls at virtual times. */
export class SimulatedEngine {
  inFlight = 0;
  private readonly cache = new Set<string>();

  constructor(
    readonly id: string,
    private readonly cacheChats: number,
  ) {}

  /** Whether the chat's prefix is cached. */
  hasCached(chat: string): boolean {
    return this.cache.has(chat);
  }

  /** Starts a call and caches the chat's prefix. Returns whether it was cached before. */
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

  /** Drops the cache and all calls, as a restart does. */
  restart(): void {
    this.cache.clear();
    this.inFlight = 0;
  }

  private evictOldest(): void {
    const oldest = this.cache.values().next().value;
    if (oldest !== undefined) this.cache.delete(oldest);
  }
}
