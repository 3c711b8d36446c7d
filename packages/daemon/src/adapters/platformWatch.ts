/**
 * Watches values of the platform's configuration service by long polling: successive calls for each value, often enough that
 * the values held by this box stay confirmed.
 */
import type { ValueName } from '@hazelwalk/core';
import type { EmitEvent } from '../coreLoop.js';
import type { Metrics } from './metrics.js';
import type { ReadValue } from './platformReader.js';

/** Mean delay before the next call after a failed one. */
const RETRY_MS = 1_000;
/** Minimum delay between two calls for one value, whatever the response. */
const MIN_INTERVAL_MS = 50;
/**
 * Number of waits in a lease. A response confirms the value as of the start of its call, so a confirmation is replaced only
 * after two waits and reaches other boxes a heartbeat later. The other half of the lease is left for that heartbeat and for a
 * call that fails.
 */
const CALLS_PER_LEASE = 4;

interface Watch {
  readonly name: ValueName;
  readonly abort: AbortController;
}

/** Settings and callbacks of the daemon that the watch uses. */
export interface PlatformWatchOptions {
  readonly readValue: ReadValue;
  /** An owner of keys decides only by lists that were confirmed within this time. */
  readonly leaseMs: number;
  readonly emit: EmitEvent;
  readonly metrics: Pick<Metrics, 'count'>;
}

/** Watches a changing set of published values. */
export class PlatformWatch {
  private readonly watches = new Map<ValueName, Watch>();
  /** Etag of the last value read for each name, also of names that are no longer watched. */
  private readonly etags = new Map<ValueName, string>();
  private readonly closed = new AbortController();
  /** How long a call waits for a change; each response confirms the value as of the start of the call. */
  private readonly waitMs: number;

  constructor(private readonly options: PlatformWatchOptions) {
    this.waitMs = options.leaseMs / CALLS_PER_LEASE;
  }

  /** Watches exactly these values. */
  watch(names: readonly ValueName[]): void {
    for (const [name, watch] of this.watches) {
      if (names.includes(name)) continue;
      watch.abort.abort();
      this.watches.delete(name);
    }
    for (const name of names) if (!this.watches.has(name)) this.startWatch(name);
  }

  /** Checks immediately, in addition to the waiting calls, whether these values are still as they were read. */
  confirm(names: readonly ValueName[]): void {
    for (const name of names) void this.readOnce(name, 0, this.closed.signal);
  }

  /** Ends all watches and calls. */
  close(): void {
    this.watch([]);
    this.closed.abort();
  }

  private startWatch(name: ValueName): void {
    const watch: Watch = { name, abort: new AbortController() };
    this.watches.set(name, watch);
    void this.poll(watch);
  }

  private async poll(watch: Watch): Promise<void> {
    const { signal } = watch.abort;
    while (!signal.aborted) {
      const ok = await this.readOnce(watch.name, this.waitMs, signal);
      // A signal that is already aborted fires no event, so the sleep would last its full time.
      if (signal.aborted) return;
      await sleep(ok ? MIN_INTERVAL_MS : RETRY_MS * (0.5 + Math.random()), signal);
    }
  }

  /** Makes one call and emits its result as events. Returns whether the platform responded. */
  private async readOnce(name: ValueName, waitMs: number, signal: AbortSignal): Promise<boolean> {
    const { readValue, emit, metrics } = this.options;
    metrics.count('platform.call');
    const requestedAtMs = Date.now();
    const etag = this.etags.get(name) ?? '';
    const result = await readValue({ name, etag, waitMs, signal });
    const ok = result.type !== 'failed';
    if (signal.aborted) return ok;
    if (result.type === 'changed') {
      this.etags.set(name, result.etag);
      emit({ type: 'valueRead', name, text: result.text });
    }
    emit({ type: 'platformContact', name, ok, requestedAtMs });
    return ok;
  }
}

/**
 * Waits for a time or until the signal is aborted. The signal lives as long as its value is watched, so the listener is
 * removed after each wait.
 */
function sleep(ms: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', finish);
      resolve();
    };
    const timer = setTimeout(finish, ms);
    signal.addEventListener('abort', finish);
  });
}
