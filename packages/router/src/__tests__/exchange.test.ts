/** Guards against hiding endpoints that hang, breaking off streams that could go on, and counting callers that do not return. */
import { mockOpened, open, play, startStream } from '../__fixtures__/playedExchange.js';

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
