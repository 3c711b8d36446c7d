/** Guards against sending on what cannot end before the box exits, and against refusing what can. */
import { RequestDurations } from '../capacity/requestDurations.js';
import { endsInTime } from '../proxy/timeUntilExit.js';
import type { Route, RouteKind } from '../records.js';
import { divideGraceTime } from '../systems/gracefulShutdown.js';

const TARGET_MS = 300;

function createRoute(kind: RouteKind, isResumable = false): Route {
  return { name: 'r', kind, isResumable, targetLatencyMs: TARGET_MS } as Route;
}

/** Decides about a request when the responses seen so far took these times, and one has been in progress for a while. */
function decide(
  route: Route,
  remainingMs: number,
  {
    tookMs = [],
    agesMs = [],
    expiresInMs = 60_000,
    answeredForMs = 0,
    closesInMs = Infinity,
    isFinishing = false,
  }: Partial<Seen> = {},
): boolean {
  const nowMs = 100_000;
  const durations = new RequestDurations();
  for (const each of tookMs) durations.begin('r', nowMs - each).end(nowMs, true);
  for (const each of agesMs) durations.begin('r', nowMs - each);
  const context = {
    durations,
    readRemainingMs: () => remainingMs,
    isFinishing: () => isFinishing,
    now: () => nowMs,
  };
  const expiresAtMs = nowMs + expiresInMs;
  const connectionClosesAtMs = nowMs + closesInMs;
  return endsInTime(context, { route, expiresAtMs, answeredForMs, connectionClosesAtMs });
}

interface Seen {
  readonly tookMs: readonly number[];
  readonly agesMs: readonly number[];
  readonly expiresInMs: number;
  readonly answeredForMs: number;
  readonly closesInMs: number;
  readonly isFinishing: boolean;
}

const many = (count: number, tookMs: number): number[] => Array.from({ length: count }, () => tookMs);
const once = createRoute('once');
const stream = createRoute('stream');
const repeatable = createRoute('repeatable');

test.each<[string, Route, number, Partial<Seen>, boolean]>([
  ['no stop is in progress', once, Infinity, { agesMs: [50_000] }, true],
  ['nothing is known: the target counts', once, TARGET_MS, {}, true],
  ['nothing is known: the target counts', once, TARGET_MS - 1, {}, false],
  ['the longest of an order counts', once, 499, { tookMs: [...many(40, 50), 500] }, false],
  ['the longest of an order counts', once, 500, { tookMs: [...many(40, 50), 500] }, true],
  ['orders are known to be faster than their target', once, 60, { tookMs: many(40, 50) }, true],
  [
    'an order in progress takes longer than any before',
    once,
    700,
    { tookMs: many(40, 50), agesMs: [800] },
    false,
  ],
  [
    'orders that have just been sent change nothing',
    once,
    60,
    { tookMs: many(40, 50), agesMs: many(40, 1) },
    true,
  ],
  ['its deadline passes before the exit', once, 200, { agesMs: [900], expiresInMs: 200 }, true],
  ['its connection closes sooner than it takes', once, Infinity, { closesInMs: TARGET_MS - 1 }, false],
  ['a stream in progress may be halfway, where few have ended', stream, 3_999, { agesMs: [2_000] }, false],
  ['a stream in progress may be halfway, where few have ended', stream, 4_000, { agesMs: [2_000] }, true],
  ['a late stream has to fit twice', stream, 7_999, { tookMs: many(20, 4_000), isFinishing: true }, false],
  ['a late stream has to fit twice', stream, 8_000, { tookMs: many(20, 4_000), isFinishing: true }, true],
  ['nothing is known of a late stream', stream, 5_000, { isFinishing: true }, false],
  ['a late order has to fit once', once, 50, { tookMs: many(20, 50), isFinishing: true }, true],
  ['no time is left', once, 0, { expiresInMs: 0 }, false],
  ['nothing is known of a stream', stream, 1, {}, true],
  ['the longest of a stream counts', stream, 8_999, { tookMs: [...many(18, 4_000), 9_000] }, false],
  ['the longest of a stream counts', stream, 4_000, { tookMs: many(20, 4_000) }, true],
  [
    'a stream that is resumed has been answered for a while',
    stream,
    1_000,
    { tookMs: many(20, 4_000), answeredForMs: 3_000 },
    true,
  ],
  ['what may be repeated is of no use either if it is cut off', repeatable, 50, { tookMs: [50, 900] }, false],
])('%s (%#)', (_what, route, remainingMs, seen, expected) => {
  expect(decide(route, remainingMs, seen)).toBe(expected);
});

test.each([250, 1_000, 2_000, 3_000, 8_000, 30_000, 120_000])(
  'a grace time of %d ms is divided in order',
  (graceMs) => {
    const { lingerMs, answeredMs, cutOffMs, exitMs } = divideGraceTime(graceMs);
    expect([lingerMs, answeredMs, cutOffMs, exitMs, graceMs]).toEqual(
      [lingerMs, answeredMs, cutOffMs, exitMs, graceMs].sort((a, b) => a - b),
    );
    expect(exitMs).toBeLessThan(graceMs);
    // Responses may end as late as before, or in seven eighths of a short grace time.
    expect(answeredMs).toBeGreaterThanOrEqual(Math.max(graceMs - 500, (graceMs * 7) / 8));
  },
);
