/** Counters: kept for the status page and sent to StatsD where an address is set. */
import type { CounterName } from '@hazelwalk/core';
import { StatsD } from 'hot-shots';
import { splitAddress } from './addresses.js';

/** Counters that adapters raise themselves, beside the core's. */
export type AdapterCounter =
  | 'peer.frameTruncated'
  | 'peer.frameTooLarge'
  | 'peer.frameMalformed'
  | 'peer.frameVersion'
  | 'stream.foreign'
  | 'platform.call'
  | 'request.accepted';

/** Any counter's name. */
export type Counter = CounterName | AdapterCounter;

/** Counts occurrences by name. */
export class Metrics {
  private readonly counts = new Map<Counter, number>();
  private readonly statsd: StatsD | undefined;

  constructor(statsdAddress: string | undefined, boxId: string) {
    if (statsdAddress === undefined) return;
    const { host, port } = splitAddress(statsdAddress);
    this.statsd = new StatsD({
      host,
      port,
      prefix: 'hazelwalk.',
      globalTags: { box: boxId },
      errorHandler: () => {},
    });
  }

  /** Adds one. */
  count(name: Counter): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
    this.statsd?.increment(name);
  }

  /** Returns all counts so far. */
  snapshot(): Record<string, number> {
    return Object.fromEntries([...this.counts].sort(([a], [b]) => a.localeCompare(b)));
  }

  /** Sends what is buffered and closes the socket. */
  close(): Promise<void> {
    const { statsd } = this;
    if (statsd === undefined) return Promise.resolve();
    return new Promise((resolve) => statsd.close(() => resolve()));
  }
}
