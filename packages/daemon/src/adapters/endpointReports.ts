/**
 * Endpoints' own load reports, read at a slow pace from those this box is the steward of.
 *
 * Published interface: `GET /v1/report` answers `{ "inFlight": n, "leaving": bool }`.
 */
import type { WatchedEndpoint } from '@hazelwalk/core';
import type { Dispatcher } from 'undici';
import { request } from 'undici';
import { z } from 'zod';
import type { EmitEvent } from '../coreLoop.js';

/** Pace of reports; a leaving endpoint is noticed within one of these and a call. */
const REPORT_MS = 2_000;
const TIMEOUT_MS = 900;
const HTTP_OK = 200;

const reportSchema = z.object({ inFlight: z.number().int().nonnegative(), leaving: z.boolean() });

/** Reads reports of the watched endpoints. */
export class EndpointReports {
  private readonly timers = new Map<string, NodeJS.Timeout>();

  constructor(
    private readonly dispatcher: Dispatcher,
    private readonly emit: EmitEvent,
  ) {}

  /** Reads reports of exactly these endpoints. */
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
        setInterval(() => void this.read(endpoint), REPORT_MS * (0.9 + 0.2 * Math.random())),
      );
    }
  }

  /** Stops reading. */
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
      // A report that cannot be had changes nothing: calls themselves show whether the endpoint works.
    }
  }
}
