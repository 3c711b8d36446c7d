/** Counters, kept for the status of the box and sent to StatsD if an address is configured. */
import type { CounterName } from '@hazelwalk/core';
import type { EvictionReason } from '@hazelwalk/http';
import { StatsD } from 'hot-shots';
import { splitAddress } from './addresses.js';

/** Counters that adapters increment themselves, in addition to those of the core. */
export type AdapterCounter =
  | 'peer.frameTruncated'
  | 'peer.frameTooLarge'
  | 'peer.frameMalformed'
  | 'peer.frameVersion'
  | 'stream.foreign'
  | 'platform.call'
  | 'request.accepted'
  | `caller.evicted.${EvictionReason}`;

/** Name of a counter of the core or of an adapter. */
export type Counter = CounterName | AdapterCounter;

/** Counts events by name. */
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

  /** Increments a counter. */
  count(name: Counter): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1);
    this.statsd?.increment(name);
  }

  /** Returns all counters, sorted by name. */
  snapshot(): Record<string, number> {
    return Object.fromEntries([...this.counts].sort(([a], [b]) => a.localeCompare(b)));
  }

  /** Sends buffered metrics to StatsD and closes the socket. */
  close(): Promise<void> {
    const { statsd } = this;
    if (statsd === undefined) return Promise.resolve();
    return new Promise((resolve) => statsd.close(() => resolve()));
  }
}
