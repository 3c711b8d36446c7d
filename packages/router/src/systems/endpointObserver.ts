/** Updates what is believed of endpoints from the requests sent to them, and logs what changes. */
import type { StandingLog } from '../observability/standingLog.js';
import type { AnswerFacts } from '../records.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import type { HealthSign } from './endpointHealth.js';
import { noteSign } from './endpointHealth.js';
import { noteAnswerFacts } from './endpointNotices.js';

/** Dependencies of an observer. */
export interface EndpointObserverOptions {
  readonly table: EndpointTable;
  readonly standingLog: StandingLog;
  readonly now: () => number;
  /** Checks the other endpoints of a hall when a connection to one of them has timed out. */
  readonly suspectHall: (hall: string) => void;
}

/** Observes the outcome of requests at endpoints. */
export class EndpointObserver {
  constructor(private readonly options: EndpointObserverOptions) {}

  /**
   * Records how a request at an endpoint ended.
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
   * Records what the head of a response announces about its endpoint.
   *
   * @example observer.noteAnswerFacts(row, { requestId: 'r-1', isSealed: true, isNotRun: false, isLeaving: true })
   */
  noteAnswerFacts(row: EndpointRow, facts: AnswerFacts): void {
    const change = noteAnswerFacts(row, facts);
    if (change !== undefined) this.options.standingLog.noteEndpointNotice(row, change);
  }
}
