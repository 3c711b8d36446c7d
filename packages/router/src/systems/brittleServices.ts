/**
 * Which services have brittle endpoints: endpoints that end for a while if they have to reject many requests. A box learns it from
 * their responses, and from other boxes: one that has just started must not find out by rejections.
 */
import type { EndpointTable } from '../tables/endpointTable.js';
import { isBrittle } from './endpointNotices.js';

/** After this time without a response, this box does not report what an endpoint stated. */
const REPORT_MS = 10_000;
/** How long a report of another box counts. Boxes stop reporting once responses no longer state a limit. */
const REPORTED_MS = 10_000;

/** The services with brittle endpoints, as one box knows. */
export class BrittleServices {
  private readonly reportedUntilMs = new Map<string, number>();

  constructor(private readonly table: EndpointTable) {}

  /** Records the services that another box reports; returns those that were not known. */
  addReported(services: readonly string[], nowMs: number): string[] {
    const unknown = services.filter((service) => !this.has(service, nowMs));
    for (const service of services) this.reportedUntilMs.set(service, nowMs + REPORTED_MS);
    return unknown;
  }

  /**
   * Whether endpoints of a service are brittle.
   *
   * @example brittle.has('rooms', performance.now()) // true after a response that states how many rejections it survives
   */
  has(service: string, nowMs: number): boolean {
    return (
      this.table.listService(service).some(isBrittle) || nowMs < (this.reportedUntilMs.get(service) ?? 0)
    );
  }

  /** Least number of rejections in a second that endpoints of a service survive; undefined if they state no limit. */
  readRejectionsPerS(service: string, nowMs: number): number | undefined {
    if (!this.has(service, nowMs)) return undefined;
    const stated = this.table.listService(service).flatMap(({ notice }) => notice.rejectionsPerS ?? []);
    return Math.min(...(stated.length > 0 ? stated : [0]));
  }

  /** Services whose endpoints stated it lately to this box, for the other boxes. */
  listObserved(nowMs: number): string[] {
    const services = new Set<string>();
    for (const row of this.table.byId.values()) {
      if (isBrittle(row) && nowMs - row.lastResponseAtMs < REPORT_MS) services.add(row.listing.service);
    }
    return [...services];
  }
}
