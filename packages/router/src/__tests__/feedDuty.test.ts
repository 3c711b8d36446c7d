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
