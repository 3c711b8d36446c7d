/** Guards against sending on what a stopping box cannot deliver in time, wherever the request waits. */
import { RESULT_CODES } from '@hazelwalk/core';
import { HEAD, mockOpened, open, play, startStream } from '../__fixtures__/playedExchange.js';
import { RequestDurations } from '../capacity/requestDurations.js';
import type { Route } from '../records.js';

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
