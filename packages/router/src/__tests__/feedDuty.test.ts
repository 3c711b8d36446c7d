import type { FeedCandidate, FeedFacts } from '../systems/feedDuty.js';
import { decideFeedDuty, rankFollower } from '../systems/feedDuty.js';

const BOUND_MS = 3_000;

const able = (rank: number): FeedCandidate => ({ rank, standing: 'able' });
const lost = (rank: number): FeedCandidate => ({ rank, standing: 'lost' });

/** A box of a large fleet that ranks third in its hall and was told lately that nothing is newer. */
const third: FeedFacts = {
  nowMs: 10_000,
  boxes: 80,
  own: able(30),
  hallPeers: [able(10), able(20), able(40)],
  confirmedAtMs: 9_500,
  applyBoundMs: BOUND_MS,
  lacksConfiguration: false,
};

test('every box of a small fleet follows', () => {
  expect(decideFeedDuty({ ...third, boxes: 8 }).type).toBe('follow');
});

test('two boxes of each hall follow for the others, and ask anew well within the bound', () => {
  for (const own of [able(5), able(15)]) {
    const duty = decideFeedDuty({ ...third, own });
    expect(duty.type === 'follow' && duty.waitMs < BOUND_MS / 2).toBe(true);
  }
  expect(decideFeedDuty(third).type).toBe('rest');
});

test('the next box follows where one of the first two cannot read the platform', () => {
  const hallPeers = [lost(10), able(20), able(40)];
  expect(decideFeedDuty({ ...third, hallPeers }).type).toBe('follow');
});

test('a box that cannot read the platform leaves it to the others while they tell', () => {
  expect(decideFeedDuty({ ...third, own: lost(5) }).type).toBe('rest');
});

test('a box follows itself, in time, where the others fall silent', () => {
  const confirmedAtMs = third.nowMs - 0.6 * BOUND_MS;
  expect(decideFeedDuty({ ...third, confirmedAtMs }).type).toBe('follow');
  expect(decideFeedDuty({ ...third, own: lost(5), confirmedAtMs }).type).toBe('follow');
});

test('a box that lacks a configuration which peers have reads it', () => {
  expect(decideFeedDuty({ ...third, lacksConfiguration: true }).type).toBe('readConfiguration');
});

test('a box on a thin link follows only where no other of its hall can', () => {
  const thin = able(rankFollower(5, 7));
  const thick = [able(rankFollower(4_000_000_000, 140)), able(rankFollower(3_000_000_000, 1_000))];
  expect(decideFeedDuty({ ...third, own: thin, hallPeers: thick }).type).toBe('rest');
  expect(decideFeedDuty({ ...third, own: thin, hallPeers: [able(rankFollower(9, 7))] }).type).toBe('follow');
});

/** Calls that a hall of so many boxes makes in a second of an outage. */
function countAttemptsPerS(boxes: number): number {
  const hallPeers = Array.from({ length: boxes - 1 }, (_, at) => lost(at));
  const duty = decideFeedDuty({ ...third, own: lost(30), hallPeers, confirmedAtMs: 0 });
  return duty.type === 'follow' ? (boxes * 1_000) / duty.retryMs : NaN;
}

test('in an outage a hall does not call the platform more often the larger it is', () => {
  // Each box at the pace of a lone one would make 128 calls a second in a hall of 32.
  expect(countAttemptsPerS(10)).toBeLessThan(25);
  expect(countAttemptsPerS(20)).toBeLessThan(25);
  expect(countAttemptsPerS(32)).toBeLessThan(25);
});

test('a box that reads for its hall tries again soon', () => {
  const duty = decideFeedDuty({ ...third, own: able(5) });
  expect(duty.type === 'follow' && duty.retryMs <= 250).toBe(true);
});

test('in a burst of changes the second follower of a hall calls a quarter as often as the first, and is in time', () => {
  const [first, second] = [able(5), able(15)].map((own) => decideFeedDuty({ ...third, own }));
  if (first?.type !== 'follow' || second?.type !== 'follow') throw new Error('both follow');
  expect(second.gatherMs).toBeGreaterThanOrEqual(4 * first.gatherMs);
  expect(second.gatherMs).toBeLessThanOrEqual(BOUND_MS / 2);
});
