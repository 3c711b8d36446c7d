import type { WatcherCandidate, FeedRoleInput } from '../systems/feedRole.js';
import { decideFeedRole, rankWatcher } from '../systems/feedRole.js';

const BOUND_MS = 3_000;

const able = (rank: number): WatcherCandidate => ({ rank, state: 'able' });
const lost = (rank: number): WatcherCandidate => ({ rank, state: 'lost' });

/** A box of a large fleet that ranks third in its hall and was told lately that nothing is newer. */
const third: FeedRoleInput = {
  nowMs: 10_000,
  boxes: 80,
  own: able(30),
  hallPeers: [able(10), able(20), able(40)],
  confirmedAtMs: 9_500,
  applyBoundMs: BOUND_MS,
  lacksConfiguration: false,
};

test('every box of a small fleet follows', () => {
  expect(decideFeedRole({ ...third, boxes: 8 }).type).toBe('follow');
});

test('two boxes of each hall follow for the others, and ask anew well within the bound', () => {
  for (const own of [able(5), able(15)]) {
    const duty = decideFeedRole({ ...third, own });
    expect(duty.type === 'follow' && duty.waitMs < BOUND_MS / 2).toBe(true);
  }
  expect(decideFeedRole(third).type).toBe('rest');
});

test('the next box follows where one of the first two cannot read the platform', () => {
  const hallPeers = [lost(10), able(20), able(40)];
  expect(decideFeedRole({ ...third, hallPeers }).type).toBe('follow');
});

test('a box that cannot read the platform leaves it to the others while they tell', () => {
  expect(decideFeedRole({ ...third, own: lost(5) }).type).toBe('rest');
});

test('a box follows itself, in time, where the others fall silent', () => {
  const confirmedAtMs = third.nowMs - 0.6 * BOUND_MS;
  expect(decideFeedRole({ ...third, confirmedAtMs }).type).toBe('follow');
  expect(decideFeedRole({ ...third, own: lost(5), confirmedAtMs }).type).toBe('follow');
});

test('a box that lacks a configuration which peers have reads it', () => {
  expect(decideFeedRole({ ...third, lacksConfiguration: true }).type).toBe('readConfiguration');
});

test('a box on a thin link follows only where no other of its hall can', () => {
  const thin = able(rankWatcher(5, 7));
  const thick = [able(rankWatcher(4_000_000_000, 140)), able(rankWatcher(3_000_000_000, 1_000))];
  expect(decideFeedRole({ ...third, own: thin, hallPeers: thick }).type).toBe('rest');
  expect(decideFeedRole({ ...third, own: thin, hallPeers: [able(rankWatcher(9, 7))] }).type).toBe('follow');
});

/** Calls that a hall of so many boxes makes in a second of an outage. */
function countAttemptsPerS(boxes: number): number {
  const hallPeers = Array.from({ length: boxes - 1 }, (_, at) => lost(at));
  const duty = decideFeedRole({ ...third, own: lost(30), hallPeers, confirmedAtMs: 0 });
  return duty.type === 'follow' ? (boxes * 1_000) / duty.retryMs : NaN;
}

test('in an outage a hall does not call the platform more often the larger it is', () => {
  // Each box at the pace of a lone one would make 128 calls a second in a hall of 32.
  expect(countAttemptsPerS(10)).toBeLessThan(25);
  expect(countAttemptsPerS(20)).toBeLessThan(25);
  expect(countAttemptsPerS(32)).toBeLessThan(25);
});

test('a box that reads for its hall tries again soon', () => {
  const duty = decideFeedRole({ ...third, own: able(5) });
  expect(duty.type === 'follow' && duty.retryMs <= 250).toBe(true);
});

test('in a burst of changes the second follower of a hall calls a quarter as often as the first, and is in time', () => {
  const [first, second] = [able(5), able(15)].map((own) => decideFeedRole({ ...third, own }));
  if (first?.type !== 'follow' || second?.type !== 'follow') throw new Error('both follow');
  expect(second.coalesceMs).toBeGreaterThanOrEqual(4 * first.coalesceMs);
  expect(second.coalesceMs).toBeLessThanOrEqual(BOUND_MS / 2);
});
