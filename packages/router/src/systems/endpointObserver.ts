/** Updates the recorded state of endpoints from request outcomes and response headers, and logs changes. */
import type { StandingLog } from '../observability/standingLog.js';
import type { AnswerFacts } from '../records.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import type { HealthSign } from './endpointHealth.js';
import { noteSign } from './endpointHealth.js';
import { noteAnswerFacts } from './endpointNotices.js';

export interface EndpointObserverOptions {
  readonly table: EndpointTable;
  readonly standingLog: StandingLog;
  readonly now: () => number;
  /** Checks the other endpoints of a hall when a connection to one of them has timed out. */
  readonly suspectHall: (hall: string) => void;
}

/** Observes request outcomes and response headers of endpoints. */
export class EndpointObserver {
  constructor(private readonly options: EndpointObserverOptions) {}

  /**
   * Records the outcome of a request to an endpoint.
   *
   * @example observer.noteSign(row, 'connectTimedOut') // also checks the other endpoints of its hall
   */
  noteSign(row: EndpointRow, sign: HealthSign): void {
    const { table, standingLog, now, suspectHall } = this.options;
    const change = noteSign(table, row, sign, now());
    if (change === 'unreachable' && sign === 'connectTimedOut') suspectHall(row.listing.hall);
    if (change !== undefined) standingLog.noteEndpoint(row, change, sign);
  }

  /**
   * Records the announcements in the headers of a response.
   *
   * @example observer.noteAnswerFacts(row, dialect.readAnswer(503, { 'retry-after': '3' }))
   */
  noteAnswerFacts(row: EndpointRow, facts: AnswerFacts): void {
    const { now, standingLog } = this.options;
    for (const change of noteAnswerFacts(row, facts, now())) standingLog.noteEndpointNotice(row, change);
  }
}
