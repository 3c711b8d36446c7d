/**
 * Time to live of reports. Boxes report loads and demand twice a second, so a report that was not renewed for several
 * periods no longer counts.
 */
export const REPORT_TTL_MS = 3_000;

/** A report and the time of its arrival. */
export interface Report<T> {
  readonly value: T;
  readonly receivedAtMs: number;
}

/** The latest report of each reporter. Reports expire after a limited time. */
export class RecentReports<T> {
  private readonly byReporter = new Map<string, Report<T>>();

  /** Records a report, which replaces the previous one of the same reporter. */
  record(reporter: string, value: T, nowMs: number): void {
    this.byReporter.set(reporter, { value, receivedAtMs: nowMs });
  }

  /**
   * Lists the reports that have not expired.
   *
   * @example
   * const reports = new RecentReports<string>();
   * reports.record('box-1', 'report', 0);
   * reports.listRecent(REPORT_TTL_MS + 1); // []
   */
  listRecent(nowMs: number): Report<T>[] {
    for (const [reporter, { receivedAtMs }] of this.byReporter) {
      if (nowMs - receivedAtMs > REPORT_TTL_MS) this.byReporter.delete(reporter);
    }
    return [...this.byReporter.values()];
  }
}
