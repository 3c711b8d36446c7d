/** Plays one request with stubs for its attempts: what they do is up to the test. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { PassThrough, Readable } from 'node:stream';
import { createTable } from './createEndpoints.js';
import { RequestDurations } from '../capacity/requestDurations.js';
import { FeatureSwitches } from '../featureSwitches.js';
import { RouterMetrics } from '../observability/metrics.js';
import type { Attempt, AttemptOptions } from '../proxy/attempt.js';
import type { ResponseHead } from '../proxy/attemptEvent.js';
import { Exchange } from '../proxy/exchange.js';
import type { Route } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import type { BudgetedRetry } from '../systems/retryBudget.js';
import type { EndpointRow } from '../tables/endpointTable.js';

/** The attempts that were opened, in order. */
export const mockOpened: StubAttempt[] = [];

/** An attempt whose events the test emits. */
export interface StubAttempt extends Pick<Attempt, 'row'> {
  readonly options: AttemptOptions;
  readonly cancel: jest.Mock;
  readonly discard: jest.Mock;
}

jest.mock('../proxy/attempt.js', () => ({
  ...jest.requireActual<object>('../proxy/attempt.js'),
  Attempt: class {
    readonly row: EndpointRow;
    readonly resumeAfter: string | undefined;
    readonly cancel = jest.fn();
    readonly discard = jest.fn();
    readonly pause = jest.fn();
    readonly basis: AttemptOptions['basis'];
    believed = { inFlight: 0, peersInFlight: 0 };
    sentAtMs = 0;
    retryWantedAtMs = -Infinity;
    constructor(readonly options: AttemptOptions) {
      this.row = options.row;
      this.resumeAfter = options.resumeAfter;
      this.basis = options.basis;
      mockOpened.push(this);
    }
    start(): void {}
  },
}));

/** A request that is played. */
export interface Played {
  readonly attempt: StubAttempt;
  readonly res: PassThrough;
  /** The retries asked for, in order. */
  readonly asked: BudgetedRetry[];
  readonly signals: string[];
  /** Remaining times for which the time to return was picked, as the service is away. */
  readonly awayFor: number[];
  readonly advance: (ms: number) => void;
  /** Requests the stop of the box, which leaves this time for responses. */
  readonly stop: (remainingMs: number) => void;
  readonly cutOff: () => void;
  readonly exchanges: ReadonlySet<unknown>;
  readonly emit: (event: Parameters<AttemptOptions['onEvent']>[1]) => void;
}

/** Head of a stream. */
export const HEAD = {
  status: 200,
  headers: { 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' },
} as unknown as ResponseHead;

/** Opens an attempt at the first of the endpoints for a request of this kind. */
export async function open(
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
        onDecision({ type: 'proceed', endpointTag: undefined, basis: { type: 'unlimited' } });
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
    isFinishing: () => false,
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
      readLeastBackOffMs: () => 0,
    },
    outageReturns: {
      pickRetryAfterMs: (_service: string, _nowMs: number, remainingMs: number) => awayFor.push(remainingMs),
    },
    quarantine: { isEmpty: true },
    crashCheck: { check: async () => 'alive' },
    readIndex: () => index,
    streams: { tracker: { recordFirstEvent: () => {}, recordEnd: () => {} } },
    recordLackOfRoom: () => {},
    readLoadAgeMs: () => 0,
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
    readBody: ({ onComplete }) => void req.on('data', () => {}).on('end', () => onComplete(undefined)),
  });
  exchange.start();
  // The request has been read to its end.
  for (let turn = 0; turn < 3; turn += 1) await new Promise(setImmediate);
  const attempt = mockOpened[0] as StubAttempt;
  const emit: Played['emit'] = (event) => {
    if (mockOpened.length === 0) throw new Error('nothing was sent');
    attempt.options.onEvent(attempt as unknown as Attempt, event);
  };
  const advance = (ms: number): void => {
    for (let at = 0; at < ms; at += 20) exchange.tick((nowMs += 20));
  };
  const stop = (leftMs: number): void => void (remainingMs = leftMs);
  const cutOff = (): void => exchange.cutOff();
  return { attempt, res, asked, signals, awayFor, advance, stop, cutOff, emit, exchanges: context.exchanges };
}

/** Sends a request of this kind to the first of the endpoints. */
export async function play(...request: Parameters<typeof open>): Promise<Played> {
  const played = await open(...request);
  played.attempt.options.createRequest();
  played.emit({ type: 'sent' });
  return played;
}

/** Lets the endpoint start a stream and send its first event. */
export function startStream({ emit }: Played): void {
  emit({ type: 'head', head: HEAD });
  emit({ type: 'data', chunk: Buffer.from('id: 1\ndata: a\n\n') });
}
