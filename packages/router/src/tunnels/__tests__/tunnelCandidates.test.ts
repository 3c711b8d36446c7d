import type { TunnelPeer } from '../tunnelCandidates.js';
import { TunnelCandidates } from '../tunnelCandidates.js';

const near = ['a', 'b', 'c'].map((address): TunnelPeer => ({
  address,
  hall: 'mixco',
  availability: 'serving',
}));
const far: TunnelPeer[] = [
  { address: 'd', hall: 'antigua', availability: 'unknown' },
  { address: 'e', hall: 'coban', availability: 'unknown' },
];

let candidates: TunnelCandidates;

beforeEach(() => {
  candidates = new TunnelCandidates('mixco', () => 0.5);
});

const listHalls = (endpointHall: string, nowMs = 0): string[] =>
  candidates.choose([...near, ...far], endpointHall, nowMs).map(({ hall }) => hall);

test('a box of the own hall comes first, then one of another hall, at best the hall of the endpoint', () => {
  expect(listHalls('antigua')).toEqual(['mixco', 'antigua', 'mixco']);
  expect(listHalls('coban')).toEqual(['mixco', 'coban', 'mixco']);
  expect(listHalls('mixco')).toEqual(['mixco', 'antigua', 'mixco']);
});

test('a box without a path to a hall is not asked for its endpoints for a while, but for those of others', () => {
  for (const peer of near) candidates.recordProblem(peer, 'antigua', 'noPath', 0);
  expect(listHalls('antigua')).toEqual(['antigua', 'coban']);
  expect(listHalls('coban')).toEqual(['mixco', 'coban', 'mixco']);
  expect(listHalls('antigua', 1_000)).toEqual(['mixco', 'antigua', 'mixco']);
});

test('boxes that a refusal named are asked for a while, before other ones without a path are asked again', () => {
  const named: TunnelPeer = { address: 'f', hall: 'antigua', availability: 'serving' };
  candidates.addReferred([named], 0);
  for (const peer of [...near, ...far]) candidates.recordProblem(peer, 'antigua', 'noPath', 0);
  expect(candidates.choose([...near, ...far], 'antigua', 500)).toEqual([named]);
  expect(candidates.choose([], 'antigua', 60_000)).toEqual([]);
});

test('a box that another one named comes before one of its hall of which nothing is known', () => {
  candidates.addReferred([{ address: 'f', hall: 'antigua' }], 0);
  expect(candidates.choose(far, 'antigua', 100).map(({ address }) => address)).toEqual(['f', 'd', 'e']);
  expect(candidates.choose(far, 'antigua', 60_000).map(({ address }) => address)).toEqual(['d', 'e']);
});

test('a box that is about to stop comes after those that go on', () => {
  const [stopping, ...others] = near as [TunnelPeer, ...TunnelPeer[]];
  const peers: TunnelPeer[] = [{ ...stopping, availability: 'stopping' }, ...others];
  candidates.recordOpened(stopping, 0);
  expect(candidates.choose(peers, 'mixco', 100).at(-1)?.address).toBe(stopping.address);
});

test('a box that served a tunnel lately comes first of its hall, and is still asked after it missed one answer', () => {
  const [, , proven = near[0]!] = near;
  expect(candidates.choose(near, 'mixco', 0)[0]).not.toBe(proven);
  candidates.recordOpened(proven, 0);
  candidates.recordProblem(proven, 'mixco', 'unavailable', 100);
  expect(candidates.choose(near, 'mixco', 200)[0]).toBe(proven);
  candidates.recordProblem(proven, 'mixco', 'unavailable', 60_000);
  expect(candidates.choose(near, 'mixco', 60_100)).not.toContain(proven);
});

test('a box that does not know tunnels is not asked for longer than one that serves none at the moment', () => {
  candidates.recordProblem(far[0] ?? near[0]!, 'mixco', 'unsupported', 0);
  candidates.recordProblem(far[1] ?? near[0]!, 'mixco', 'unavailable', 0);
  expect(listHalls('mixco')).toEqual(['mixco', 'mixco', 'mixco']);
  expect(listHalls('mixco', 1_000)).toEqual(['mixco', 'coban', 'mixco']);
});
