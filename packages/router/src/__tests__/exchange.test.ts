/** Guards against hiding endpoints that hang, breaking off streams that could go on, and counting callers that do not return. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { PassThrough, Readable } from 'node:stream';
import { RESULT_CODES } from '@hazelwalk/core';
import { createTable } from '../__fixtures__/createEndpoints.js';
import { RequestDurations } from '../capacity/requestDurations.js';
import { FeatureSwitches } from '../featureSwitches.js';
import { RouterMetrics } from '../observability/metrics.js';
import type { Attempt, AttemptOptions, ResponseHead } from '../proxy/attempt.js';
import { Exchange } from '../proxy/exchange.js';
import type { Route } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import type { BudgetedRetry } from '../systems/retryBudget.js';
import type { EndpointRow } from '../tables/endpointTable.js';

const mockOpened: StubAttempt[] = [];

interface StubAttempt extends Pick<Attempt, 'row'> {
  readonly options: AttemptOptions;
  readonly cancel: jest.Mock;
}

jest.mock('../proxy/attempt.js', () => ({
  ...jest.requireActual<object>('../proxy/attempt.js'),
  Attempt: class {
    readonly row: EndpointRow;
    readonly cancel = jest.fn();
    sentAtMs = 0;
    retryWantedAtMs = -Infinity;
    constructor(readonly options: AttemptOptions) {
      this.row = options.row;
      mockOpened.push(this);
    }
    start(): void {}
  },
}));

interface Played {
  readonly attempt: StubAttempt;
  readonly res: PassThrough;
  /** The retries asked for, in order. */
  readonly asked: BudgetedRetry[];
  readonly signals: string[];
  /** Time left of the callers that were told when to return as their service is away. */
  readonly awayFor: number[];
  readonly advance: (ms: number) => void;
  /** Requests the stop of the box, which leaves this time for responses. */
  readonly stop: (remainingMs: number) => void;
  readonly cutOff: () => void;
  readonly emit: (event: Parameters<AttemptOptions['onEvent']>[1]) => void;
}

const HEAD = {
  status: 200,
  headers: { 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' },
} as unknown as ResponseHead;

/** Opens an attempt at the first of the endpoints for a request of this kind. */
async function open(
  kind: Route['kind'],
  grants: (retry: BudgetedRetry) => boolean,
  endpoints = 3,
  overrides: { readonly context?: object; readonly request?: object } = {},
): Promise<Played> {
  mockOpened.length = 0;
  const { rows } = createTable(endpoints);
  const awayFor: number[] = [];
  const asked: BudgetedRetry[] = [];
  const signals: string[] = [];
  let nowMs = 10_000;
  let remainingMs = Infinity;
  const route = {
    name: 'r',
    kind,
    isResumable: true,
    timeoutMs: 60_000,
    targetLatencyMs: 100,
    maxAttempts: 3,
    targets: [],
  };
  const index = {
    configuration: { limits: {} },
    match: () => ({ type: 'routed', route, team: undefined }),
    readRanking: () => ({ readRank: () => 0, rankCount: 1 }),
    findService: () => undefined,
  };
  const take = (retry: BudgetedRetry): boolean => {
    asked.push(retry);
    return grants(retry);
  };
  const context = {
    admission: {
      enter: (_request: object, onDecision: (decision: object) => void) => {
        onDecision({ type: 'proceed', endpointTag: undefined });
        return { release: () => {} };
      },
    },
    budget: { recordRequest: () => {}, take },
    dialect: {
      writeForwardedHeaders: () => [],
      reservedHeaders: new Set(),
      writeRetryAfter: () => ['retry-after', '1'],
    },
    exchanges: new Set(),
    features: new FeatureSwitches(),
    hash: () => 0,
    isInitialized: () => true,
    isFull: () => true,
    durations: new RequestDurations(),
    readRemainingMs: () => remainingMs,
    log: { write: () => {} },
    metrics: new RouterMetrics(),
    paceObserver: { recordHead: () => {}, recordEnd: () => {} },
    now: () => nowMs,
    placement: {
      choose: ({ excluded }: { excluded: Set<string> }) => {
        const row = rows.find(({ listing }) => !excluded.has(listing.id));
        return row && { row, way: 'any' };
      },
      explainFailure: () => ({ reason: 'noEndpoint', waitMs: 0 }),
    },
    outageReturns: {
      pickRetryAfterMs: (_service: string, _nowMs: number, remainingMs: number) => awayFor.push(remainingMs),
    },
    quarantine: { isEmpty: true },
    crashCheck: { check: async () => 'alive' },
    readIndex: () => index,
    streams: { tracker: { recordFirstEvent: () => {}, recordEnd: () => {} } },
    recordLackOfRoom: () => {},
    recordHealthSignal: (_row: EndpointRow, signal: string) => void signals.push(signal),
    ...overrides.context,
  } as unknown as RouterContext;
  const req = Object.assign(Readable.from([]), { headers: {}, rawHeaders: [], complete: true, socket: {} });
  const res = Object.assign(new PassThrough(), { setHeader: () => {}, writeHead: () => {} });
  const exchange = new Exchange(context, {
    req: req as unknown as IncomingMessage,
    res: res as unknown as ServerResponse,
    request: {
      requestId: 'r',
      deadlineMs: undefined,
      apiKey: undefined,
      promptParts: [],
      ...overrides.request,
    },
    arrivedAtMs: nowMs,
    earlierOnConnection: 0,
  });
  exchange.start();
  await new Promise((resolve) => setTimeout(resolve, 10));
  const attempt = mockOpened[0] as StubAttempt;
  const emit: Played['emit'] = (event) => attempt.options.onEvent(attempt as unknown as Attempt, event);
  const advance = (ms: number): void => {
    for (let at = 0; at < ms; at += 20) exchange.tick((nowMs += 20));
  };
  const stop = (leftMs: number): void => void (remainingMs = leftMs);
  const cutOff = (): void => exchange.cutOff();
  return { attempt, res, asked, signals, awayFor, advance, stop, cutOff, emit };
}

/** Sends a request of this kind to the first of the endpoints. */
async function play(...request: Parameters<typeof open>): Promise<Played> {
  const played = await open(...request);
  played.attempt.options.createRequest();
  played.emit({ type: 'sent' });
  return played;
}

/** Lets the endpoint start a stream and send its first event. */
function startStream({ emit }: Played): void {
  emit({ type: 'head', head: HEAD });
  emit({ type: 'data', chunk: Buffer.from('id: 1\ndata: a\n\n') });
}

test('an endpoint hangs while hedges are denied for lack of room: it counts as silent, once for each request', async () => {
  const { advance, signals } = await play('repeatable', () => false);
  advance(1_000);
  expect(signals).toEqual(['silent']);
  expect(mockOpened.length).toBe(1);
});

test('a full endpoint answers other requests of this box while one waits there: it does not count as silent', async () => {
  const { advance, signals, attempt } = await play('repeatable', () => false);
  attempt.row.lastResponseAtMs = 10_010;
  advance(1_000);
  expect(signals).toEqual([]);
});

test('a stream falls silent while no retry is left: it is not broken off, and goes on when its endpoint does', async () => {
  const played = await play('stream', () => false);
  startStream(played);
  played.advance(2_000);
  expect(played.attempt.cancel).not.toHaveBeenCalled();
  expect(played.res.destroyed).toBe(false);
  expect(played.asked.length).toBeLessThanOrEqual(7);
  played.emit({ type: 'data', chunk: Buffer.from('id: 2\ndata: b\n\n') });
  expect(String(played.res.read())).toContain('id: 2');
});

test('a stream at an unreachable endpoint fails at once if it cannot be moved', async () => {
  const played = await play('stream', () => false);
  startStream(played);
  played.attempt.row.health = { type: 'unreachable', nextCheckMs: 0, isProcessGone: true };
  played.advance(200);
  expect(played.res.destroyed).toBe(true);
});

test('a stream is not broken off while its endpoint, which may be sound, sends nothing for a second', async () => {
  const played = await play('stream', () => false);
  startStream(played);
  played.attempt.row.health = { type: 'unreachable', nextCheckMs: 0, isProcessGone: false };
  played.advance(1_500);
  expect(played.res.destroyed).toBe(false);
  played.advance(1_000);
  expect(played.res.destroyed).toBe(true);
});

test.each(['silent', 'broken'] as const)(
  'streams being read (%s) move while fresh repeats are denied for lack of room',
  async (fault) => {
    const played = await play('stream', ({ purpose }) => purpose === 'resume');
    startStream(played);
    if (fault === 'silent') played.advance(1_000);
    else played.emit({ type: 'broken', reason: 'unsealed', detail: '' });
    expect(played.asked).toEqual([{ service: '', purpose: 'resume', isFull: true }]);
    expect(mockOpened.map(({ row }) => row.listing.id)).toEqual(['e0', 'e1']);
    expect(played.res.destroyed).toBe(false);
  },
);

test('a request that may have run fails as its service goes away: it is not among those that return', async () => {
  const { emit, res, awayFor } = await play('repeatable', () => true, 1);
  emit({ type: 'broken', reason: 'unsealed', detail: '' });
  expect(res.writableEnded).toBe(true);
  expect(awayFor).toEqual([]);
});

test('a request that did not run is refused as its service goes away: it returns within the time it has', async () => {
  const { emit, res, awayFor, advance } = await open('repeatable', () => true, 1);
  advance(1_000);
  emit({ type: 'unsent', reason: 'connectRefused' });
  expect(res.writableEnded).toBe(true);
  expect(awayFor).toEqual([29_000]);
});

/** A handle that does nothing. */
const handle = { release: () => {} };
/** Less than the target latency, which counts where no responses were seen. */
const TOO_SHORT_MS = 50;

test.each<[string, Route['kind'], object, object]>([
  ['a configuration', 'once', { isInitialized: () => false }, {}],
  ['its admission', 'once', { admission: { enter: () => handle } }, {}],
  [
    "a quarantine's decision",
    'once',
    {
      quarantine: {
        isEmpty: false,
        readRequestRemainingMs: () => 0,
        readRequestDecisionDelayMs: () => 20,
      },
    },
    {},
  ],
  ['a connection', 'once', {}, {}],
])(
  'a request that waits for %s is refused at once as its box has no time left for it',
  async (_what, kind, context) => {
    const { res, stop, advance } = await open(kind, () => true, 3, { context });
    advance(100);
    expect(res.writableEnded).toBe(false);
    // While the route is not known, any time may do.
    stop('isInitialized' in context ? 0 : TOO_SHORT_MS);
    advance(20);
    expect(JSON.parse(String(res.read()))).toMatchObject({ code: RESULT_CODES.stopping.number, ran: 'no' });
    await new Promise((resolve) => setTimeout(resolve, 40));
    // What waited for a connection was cancelled, the others were not opened when their wait ended.
    expect(mockOpened.every(({ cancel }) => cancel.mock.calls.length > 0)).toBe(true);
  },
);

test.each([
  ['did not run there', { type: 'notRun', head: { status: 503, metadata: {} } }, 'stopping', 'no'],
  ['broke', { type: 'broken', reason: 'unsealed', detail: '' }, 'endpointBroke', 'unknown'],
] as const)(
  'a request that %s is not sent again as its box has no time left for it',
  async (_what, event, code, ran) => {
    const { res, stop, emit } = await play('repeatable', () => true);
    stop(TOO_SHORT_MS);
    emit(event as unknown as Parameters<typeof emit>[0]);
    expect(JSON.parse(String(res.read()))).toMatchObject({ code: RESULT_CODES[code].number, ran });
    expect(mockOpened.length).toBe(1);
  },
);

test('no hedge is sent that cannot end before the exit, and the first endpoint may still answer', async () => {
  const { res, stop, advance, emit } = await play('repeatable', () => true);
  stop(TOO_SHORT_MS);
  advance(1_000);
  expect(mockOpened.length).toBe(1);
  emit({ type: 'head', head: { ...HEAD, headers: {} } });
  emit({ type: 'end' });
  expect(res.writableEnded).toBe(true);
});

test('a stream is resumed only if what is left of it can end before the exit', async () => {
  const whole = new RequestDurations();
  whole.begin('r', 0).end(4_000, true);
  for (const [remainingMs, opened] of [
    [3_500, 2],
    [2_500, 1],
  ] as const) {
    const played = await play('stream', () => true, 3, { context: { durations: whole } });
    startStream(played);
    played.advance(400);
    played.emit({ type: 'data', chunk: Buffer.from('id: 2\ndata: b\n\n') });
    played.advance(600);
    played.stop(remainingMs);
    played.emit({ type: 'broken', reason: 'unsealed', detail: '' });
    expect([mockOpened.length, played.res.destroyed]).toEqual([opened, opened === 1]);
  }
});

test('what is left as the box exits gets a final response: refused if it has not run, failed if it may have', async () => {
  for (const [sent, code, ran] of [
    [false, 'stopping', 'no'],
    [true, 'boxStopped', 'unknown'],
  ] as const) {
    const { res, cutOff, attempt } = await (sent ? play : open)('once', () => true);
    cutOff();
    expect(JSON.parse(String(res.read()))).toMatchObject({ code: RESULT_CODES[code].number, ran });
    expect(attempt.cancel).toHaveBeenCalledTimes(1);
  }
});
