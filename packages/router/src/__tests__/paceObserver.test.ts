/** Guards against estimating the pace of an endpoint from responses that do not show it. */
import { createTable } from '../__fixtures__/createEndpoints.js';
import type { EndpointPaces } from '../capacity/endpointPaces.js';
import type { PaceLog } from '../observability/paceLog.js';
import type { ResponseHead } from '../proxy/attemptEvent.js';
import { PaceObserver } from '../proxy/paceObserver.js';
import type { ResponseMetadata } from '../records.js';

const [row] = createTable(1).rows as [ReturnType<typeof createTable>['rows'][number]];
const load = { running: 1, waiting: 0, slots: 8, pace: 2.5 };

function observe(status: number, metadata: Partial<ResponseMetadata>): unknown[] {
  const observed: unknown[] = [];
  const paces = { observe: (_row: unknown, pace: number) => observed.push(pace) };
  const observer = new PaceObserver(paces as unknown as EndpointPaces, {} as PaceLog);
  const head = { status, headers: {}, metadata: { isSealed: true, load, ...metadata } };
  observer.recordHead(row, head as unknown as ResponseHead);
  return observed;
}

test('the pace that a successful response reports counts', () => {
  expect(observe(200, {})).toEqual([2.5]);
});

test.each([
  ['an error', 500, {}],
  ['a redirect', 302, {}],
  ['a response without a seal', 200, { isSealed: false }],
  ['a response without a load report', 200, { load: undefined }],
  ['a load report without a pace', 200, { load: { ...load, pace: undefined } }],
  ['a load report that cannot be read', 200, { load: 'malformed' as const }],
])('%s does not count', (_what, status, metadata) => {
  expect(observe(status, metadata)).toEqual([]);
});

test('a load report that cannot be read is logged, also in a response that fails', () => {
  const logMalformedReport = jest.fn();
  const log = { logMalformedReport } as unknown as PaceLog;
  const observer = new PaceObserver({} as EndpointPaces, log);
  const metadata = {
    requestId: 'r',
    isSealed: true,
    isNotRun: false,
    isLeaving: false,
    backOffMs: undefined,
  };
  observer.recordMetadata(row, { ...metadata, load: 'malformed' });
  observer.recordMetadata(row, { ...metadata, load });
  observer.recordMetadata(row, metadata);
  expect(logMalformedReport.mock.calls).toEqual([[row]]);
});
