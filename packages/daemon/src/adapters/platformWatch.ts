/**
 * Watches values of the platform's configuration service: one call after the other for each, at a pace that keeps what
 * this box knows confirmed.
 */
import type { ValueName } from '@hazelwalk/core';
import type { EmitEvent } from '../coreLoop.js';
import type { Metrics } from './metrics.js';
import type { ReadValue } from './platformReader.js';

const RETRY_MS = 1_000;
/** Least time between two calls for one value, whatever the service answers. */
const LEAST_INTERVAL_MS = 50;
/**
 * Calls that fit into a lease. An answer confirms a value as it was when its call began, so that it is replaced only after
 * two waits, and reaches other boxes a heartbeat later: the other half of the lease is for that and for a call that fails.
 */
const CALLS_PER_LEASE = 4;

interface Watch {
  readonly name: ValueName;
  readonly abort: AbortController;
}

/** What the watch needs from the daemon. */
export interface PlatformWatchOptions {
  readonly readValue: ReadValue;
  /** An owner of keys acts on lists that were confirmed within this time. */
  readonly leaseMs: number;
  readonly emit: EmitEvent;
  readonly metrics: Pick<Metrics, 'count'>;
}

/** Watches some of the published values. */
export class PlatformWatch {
  private readonly watches = new Map<ValueName, Watch>();
  /** Of what was read last, watched still or not. */
  private readonly etags = new Map<ValueName, string>();
  private readonly closed = new AbortController();
  /** How long a call waits for a change; each answer confirms the value as it was when the call began. */
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
    for (const name of names) if (!this.watches.has(name)) this.start(name);
  }

  /** Asks at once, beside the calls that wait for a change, whether these values are still as they were read. */
  confirm(names: readonly ValueName[]): void {
    for (const name of names) void this.readOnce(name, 0, this.closed.signal);
  }

  /** Ends all watches and calls. */
  close(): void {
    this.watch([]);
    this.closed.abort();
  }

  private start(name: ValueName): void {
    const watch: Watch = { name, abort: new AbortController() };
    this.watches.set(name, watch);
    void this.poll(watch);
  }

  private async poll(watch: Watch): Promise<void> {
    const { signal } = watch.abort;
    while (!signal.aborted) {
      const ok = await this.readOnce(watch.name, this.waitMs, signal);
      // A signal that was given before tells nobody any more: the pause would last its whole time.
      if (signal.aborted) return;
      await pause(ok ? LEAST_INTERVAL_MS : RETRY_MS * (0.5 + Math.random()), signal);
    }
  }

  /** Makes one call and tells what came of it. Returns whether the platform answered. */
  private async readOnce(name: ValueName, waitMs: number, signal: AbortSignal): Promise<boolean> {
    const { readValue, emit, metrics } = this.options;
    metrics.count('platform.call');
    const askedAtMs = Date.now();
    const etag = this.etags.get(name) ?? '';
    const reading = await readValue({ name, etag, waitMs, signal });
    const ok = reading.type !== 'failed';
    if (signal.aborted) return ok;
    if (reading.type === 'changed') {
      this.etags.set(name, reading.etag);
      emit({ type: 'valueRead', name, text: reading.text });
    }
    emit({ type: 'platformContact', name, ok, requestedAtMs: askedAtMs });
    return ok;
  }
}

/** Waits, or until the signal. The signal lasts as long as its value is watched: nothing may stay behind on it. */
function pause(ms: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const end = (): void => {
      clearTimeout(timer);
      signal.removeEventListener('abort', end);
      resolve();
    };
    const timer = setTimeout(end, ms);
    signal.addEventListener('abort', end);
  });
}
