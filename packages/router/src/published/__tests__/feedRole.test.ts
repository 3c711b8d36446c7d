import type { WatcherCandidate, FeedRoleInput } from '../feedRole.js';
import { decideFeedRole, rankWatcher } from '../feedRole.js';

const BOUND_MS = 3_000;

const able = (rank: number): WatcherCandidate => ({ rank, state: 'able' });
const lost = (rank: number): WatcherCandidate => ({ rank, state: 'lost' });

/** Input for a box of a large fleet that ranks third in its hall and recently got a confirmation that it is up to date. */
const third: FeedRoleInput = {
  nowMs: 10_000,
  boxes: 80,
  own: able(30),
  hallPeers: [able(10), able(20), able(40)],
  confirmedAtMs: 9_500,
  applyBoundMs: BOUND_MS,
  lapseMs: 2_400,
  lacksConfiguration: false,
};

test('every box of a small fleet watches the platform', () => {
  expect(decideFeedRole({ ...third, boxes: 8 }).type).toBe('follow');
});

test('two boxes of each hall watch for the others, and repeat their calls well within the apply bound', () => {
  for (const own of [able(5), able(15)]) {
    const role = decideFeedRole({ ...third, own });
    expect(role.type === 'follow' && role.waitMs < BOUND_MS / 2).toBe(true);
  }
  expect(decideFeedRole(third).type).toBe('rest');
});

test('the next box watches if one of the first two cannot read the platform', () => {
  const hallPeers = [lost(10), able(20), able(40)];
  expect(decideFeedRole({ ...third, hallPeers }).type).toBe('follow');
});

test('a box that cannot read the platform stays passive while the watchers confirm that it is up to date', () => {
  expect(decideFeedRole({ ...third, own: lost(5) }).type).toBe('rest');
});

test('a box watches the platform itself, in time, if the watchers go silent', () => {
  const confirmedAtMs = third.nowMs - 0.6 * BOUND_MS;
  expect(decideFeedRole({ ...third, confirmedAtMs }).type).toBe('follow');
  expect(decideFeedRole({ ...third, own: lost(5), confirmedAtMs }).type).toBe('follow');
});

test('a box that lacks a configuration that peers have reads it from the platform', () => {
  expect(decideFeedRole({ ...third, lacksConfiguration: true }).type).toBe('readConfiguration');
});

test('a box on a slow link watches only if its hall has no box on a faster link', () => {
  const slow = able(rankWatcher(5, 7));
  const fast = [able(rankWatcher(4_000_000_000, 140)), able(rankWatcher(3_000_000_000, 1_000))];
  expect(decideFeedRole({ ...third, own: slow, hallPeers: fast }).type).toBe('rest');
  expect(decideFeedRole({ ...third, own: slow, hallPeers: [able(rankWatcher(9, 7))] }).type).toBe('follow');
});

/** Returns the number of calls per second that a hall of this size makes in an outage. */
function countAttemptsPerS(boxes: number): number {
  const hallPeers = Array.from({ length: boxes - 1 }, (_, at) => lost(at));
  const role = decideFeedRole({ ...third, own: lost(30), hallPeers, confirmedAtMs: 0 });
  return role.type === 'follow' ? (boxes * 1_000) / role.retryMs : NaN;
}

test('in an outage the rate of calls of a hall does not grow with its size', () => {
  // At the retry interval of a single watcher, a hall of 32 boxes would make 128 calls per second.
  expect(countAttemptsPerS(10)).toBeLessThan(25);
  expect(countAttemptsPerS(20)).toBeLessThan(25);
  expect(countAttemptsPerS(32)).toBeLessThan(25);
});

test('a watcher retries a failed call soon', () => {
  const role = decideFeedRole({ ...third, own: able(5) });
  expect(role.type === 'follow' && role.retryMs <= 250).toBe(true);
});

test('in a burst of changes the second watcher of a hall waits four times as long as the first, within the bound', () => {
  const [first, second] = [able(5), able(15)].map((own) => decideFeedRole({ ...third, own }));
  if (first?.type !== 'follow' || second?.type !== 'follow')
    throw new Error('both boxes should watch the platform');
  expect(second.coalesceMs).toBeGreaterThanOrEqual(4 * first.coalesceMs);
  expect(second.coalesceMs).toBeLessThanOrEqual(BOUND_MS / 2);
});
