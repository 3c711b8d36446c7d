/** Passes the paces that endpoints report in responses to the estimation. */
import type { EndpointPaces } from '../capacity/endpointPaces.js';
import type { PaceLog } from '../observability/paceLog.js';
import type { ResponseMetadata } from '../records.js';
import type { EndpointRow } from '../tables/endpointTable.js';
import type { ResponseHead } from './attemptEvent.js';

const MIN_SUCCESS_STATUS = 200;
const MIN_REDIRECT_STATUS = 300;

/** Observes the responses to the requests of one box. */
export class PaceObserver {
  constructor(
    private readonly paces: EndpointPaces,
    private readonly log: PaceLog,
  ) {}

  /** Counts a load report that cannot be read, in any response. */
  recordMetadata(row: EndpointRow, { load }: ResponseMetadata): void {
    if (load === 'malformed') this.log.logMalformedReport(row);
  }

  /** Records the pace reported in the head of a response. Only successful responses that the endpoint sealed count. */
  recordHead(row: EndpointRow, { status, metadata }: Pick<ResponseHead, 'status' | 'metadata'>): void {
    const { load, isSealed } = metadata;
    const isSuccess = status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
    if (!isSuccess || !isSealed || load === 'malformed' || load?.pace === undefined) return;
    this.paces.observe(row, load.pace);
  }
}
