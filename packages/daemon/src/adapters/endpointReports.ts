/**
 * Load reports of endpoints, polled at a long interval from the endpoints that this box owns.
 *
 * Published interface: `GET /v1/report` returns `{ "inFlight": n, "leaving": bool }`.
 */
import type { WatchedEndpoint } from '@hazelwalk/core';
import type { Dispatcher } from 'undici';
import { request } from 'undici';
import { z } from 'zod';
import type { EmitEvent } from '../coreLoop.js';

/** Mean interval between two reports of an endpoint. A leaving endpoint is detected within one interval and a call. */
const REPORT_INTERVAL_MS = 2_000;
const TIMEOUT_MS = 900;
const HTTP_OK = 200;

const reportSchema = z.object({ inFlight: z.number().int().nonnegative(), leaving: z.boolean() });

/** Polls the reports of the watched endpoints. */
export class EndpointReports {
  private readonly timers = new Map<string, NodeJS.Timeout>();

  constructor(
    private readonly dispatcher: Dispatcher,
    private readonly emit: EmitEvent,
  ) {}

  /** Polls the reports of exactly these endpoints. */
  watch(endpoints: readonly WatchedEndpoint[]): void {
    const wanted = new Map(endpoints.map((endpoint) => [`${endpoint.id}@${endpoint.address}`, endpoint]));
    for (const [key, timer] of this.timers) {
      if (wanted.has(key)) continue;
      clearInterval(timer);
      this.timers.delete(key);
    }
    for (const [key, endpoint] of wanted) {
      if (this.timers.has(key)) continue;
      this.timers.set(
        key,
        setInterval(() => void this.read(endpoint), REPORT_INTERVAL_MS * (0.9 + 0.2 * Math.random())),
      );
    }
  }

  /** Stops polling. */
  close(): void {
    this.watch([]);
  }

  private async read(endpoint: WatchedEndpoint): Promise<void> {
    try {
      const { statusCode, body } = await request(`http://${endpoint.address}/v1/report`, {
        dispatcher: this.dispatcher,
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const report = reportSchema.safeParse(JSON.parse(await body.text()));
      if (statusCode !== HTTP_OK || !report.success) return;
      this.emit({ type: 'endpointReport', endpointId: endpoint.id, ...report.data });
    } catch {
      // A missing report changes nothing: the outcomes of calls show whether the endpoint works.
    }
  }
}
