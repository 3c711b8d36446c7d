/**
 * The platform's configuration service: published values, read by long poll. Nothing is ever written to it.
 *
 * Published interface: `GET /v1/values/NAME?after=ETAG&waitMs=N` answers 200 with the value and its `etag`, or 304
 * once the wait is over without a change.
 */
import type { ValueName } from '@hazelwalk/core';
import type { Dispatcher } from 'undici';
import { request } from 'undici';
import type { EmitEvent } from '../coreLoop.js';
import type { Metrics } from './metrics.js';

/** A call without an answer for this long after its wait is given up. */
const GRACE_MS = 2_000;
const RETRY_MS = 1_000;
/** Least time between two calls for one value, whatever the service answers. */
const LEAST_INTERVAL_MS = 50;
const HTTP_OK = 200;
const HTTP_NOT_MODIFIED = 304;

interface Watch {
  readonly name: ValueName;
  readonly abort: AbortController;
  etag: string;
}

/** Watches some of the published values. */
export class PlatformWatch {
  private readonly watches = new Map<ValueName, Watch>();

  constructor(
    private readonly platformUrl: string,
    /** How long a call waits for a change; each answer confirms the value as it was when the call began. */
    private readonly waitMs: number,
    private readonly dispatcher: Dispatcher,
    private readonly emit: EmitEvent,
    private readonly metrics: Metrics,
  ) {}

  /** Watches exactly these values. */
  watch(names: readonly ValueName[]): void {
    for (const [name, watch] of this.watches) {
      if (names.includes(name)) continue;
      watch.abort.abort();
      this.watches.delete(name);
    }
    for (const name of names) if (!this.watches.has(name)) this.start(name);
  }

  /** Ends all watches. */
  close(): void {
    this.watch([]);
  }

  private start(name: ValueName): void {
    const watch: Watch = { name, abort: new AbortController(), etag: '' };
    this.watches.set(name, watch);
    void this.poll(watch);
  }

  private async poll(watch: Watch): Promise<void> {
    while (!watch.abort.signal.aborted) {
      const askedAtMs = Date.now();
      const ok = await this.readOnce(watch);
      if (watch.abort.signal.aborted) return;
      this.emit({ type: 'platformContact', name: watch.name, ok, askedAtMs });
      await pause(ok ? LEAST_INTERVAL_MS : RETRY_MS * (0.5 + Math.random()), watch.abort.signal);
    }
  }

  private async readOnce(watch: Watch): Promise<boolean> {
    const query = new URLSearchParams({ after: watch.etag, waitMs: String(this.waitMs) });
    const timeoutMs = this.waitMs + GRACE_MS;
    this.metrics.count('platform.call');
    try {
      const { statusCode, headers, body } = await request(
        `${this.platformUrl}/v1/values/${watch.name}?${query}`,
        {
          dispatcher: this.dispatcher,
          signal: AbortSignal.any([watch.abort.signal, AbortSignal.timeout(timeoutMs)]),
        },
      );
      const text = await body.text();
      if (statusCode !== HTTP_OK) return statusCode === HTTP_NOT_MODIFIED;
      watch.etag = String(headers.etag ?? '');
      if (!watch.abort.signal.aborted) this.emit({ type: 'valueRead', name: watch.name, text });
      return true;
    } catch {
      return false;
    }
  }
}

function pause(ms: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, ms);
    signal.addEventListener('abort', () => {
      clearTimeout(timer);
      resolve();
    });
  });
}
