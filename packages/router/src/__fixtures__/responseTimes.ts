/** Records how long responses of virtual endpoints took. */

interface TimedResponse {
  readonly sentAtMs: number;
  readonly tookMs: number;
}

/** Response times by endpoint. */
export class ResponseTimes {
  private readonly byEndpoint = new Map<string, TimedResponse[]>();

  /** Records a response. */
  record(id: string, response: TimedResponse): void {
    const known = this.byEndpoint.get(id);
    if (known === undefined) this.byEndpoint.set(id, [response]);
    else known.push(response);
  }

  /** Returns the share of the responses of endpoints that came in time, of requests sent since a time. */
  readShareInTime(ids: readonly string[], limitMs: number, sinceMs: number): number {
    const responses = this.listSince(ids, sinceMs);
    return responses.filter(({ tookMs }) => tookMs <= limitMs).length / responses.length;
  }

  /** Returns the mean response time of endpoints, of requests sent since a time. */
  readMeanMs(ids: readonly string[], sinceMs: number): number {
    const responses = this.listSince(ids, sinceMs);
    return responses.reduce((sum, { tookMs }) => sum + tookMs, 0) / responses.length;
  }

  /** Returns the number of responses of endpoints, of requests sent since a time. */
  count(ids: readonly string[], sinceMs: number): number {
    return this.listSince(ids, sinceMs).length;
  }

  private listSince(ids: readonly string[], sinceMs: number): TimedResponse[] {
    const responses = ids.flatMap((id) => this.byEndpoint.get(id) ?? []);
    return responses.filter(({ sentAtMs }) => sentAtMs >= sinceMs);
  }
}
