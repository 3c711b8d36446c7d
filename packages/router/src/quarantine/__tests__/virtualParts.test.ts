/**
 * Whole fleets in virtual time with the production code: a part of a prompt crashes every engine that reads it, in requests no two
 * of which are alike, at any box, beside sound requests that share their caller and their other parts. The bound is the operators':
 * after the fifth crash and three seconds, at most three more; sound requests are served at least half as often as before.
 */
import type { PartRequest } from '../__fixtures__/virtualParts.js';
import { VirtualParts } from '../__fixtures__/virtualParts.js';

const CONTACT_MS = 3_000;
const MAX_LATE_SENDS = 3;
const CALLERS = 10;
const SOUND_PER_S = 100;
const RUN_S = 20;

interface Case {
  readonly what: string;
  readonly harmful: readonly string[];
  readonly perS: number;
  readonly create: (parts: VirtualParts) => PartRequest;
}

const cases: readonly Case[] = [
  {
    what: 'the second part, of one caller',
    harmful: ['bad'],
    perS: 15,
    create: (parts) => ({ caller: 'c1', parts: [`a${parts.draw(5)}`, 'bad'] }),
  },
  {
    what: 'the second part, always with one first part',
    harmful: ['bad'],
    perS: 15,
    create: () => ({ caller: 'c1', parts: ['a1', 'bad'] }),
  },
  {
    what: 'the first part, of all callers',
    harmful: ['bad'],
    perS: 15,
    create: (parts) => ({ caller: `c${parts.draw(CALLERS)}`, parts: ['bad', `b${parts.draw(40)}`] }),
  },
  {
    what: 'a part in rare requests',
    harmful: ['bad'],
    perS: 0.7,
    create: (parts) => ({ caller: `c${parts.draw(2)}`, parts: [`a${parts.draw(5)}`, 'bad'] }),
  },
  {
    what: 'two parts at once',
    harmful: ['bad', 'worse'],
    perS: 15,
    create: (parts) => ({
      caller: 'c1',
      parts: parts.draw(2) === 0 ? [`a${parts.draw(5)}`, 'bad'] : ['worse', `b${parts.draw(40)}`],
    }),
  },
];

async function play({ harmful, perS, create }: Case, boxes: number, seed: number): Promise<VirtualParts> {
  const parts = await VirtualParts.create(boxes, 3, seed, harmful);
  const { timeline } = parts.fleet;
  const startMs = timeline.nowMs;
  const endMs = startMs + RUN_S * 1_000;
  const createSound = (): PartRequest => ({
    caller: `c${parts.draw(CALLERS)}`,
    parts: [`a${parts.draw(5)}`, `b${parts.draw(40)}`],
  });
  parts.keepSending('before', SOUND_PER_S, startMs + 3_000, createSound);
  timeline.at(startMs + 3_000, () => {
    parts.keepSending('harmful', perS, endMs, () => create(parts));
    parts.keepSending('during', SOUND_PER_S, endMs, createSound);
  });
  // Crashes for other reasons.
  for (let atMs = startMs + 4_000; atMs < endMs; atMs += 1_700)
    timeline.at(atMs, () => parts.crashAnyEngine());
  await parts.fleet.run(RUN_S + 3);
  return parts;
}

const countLateSends = (parts: VirtualParts): number => {
  const fifthMs = parts.crashedAtMs[4] ?? Infinity;
  return parts.findTally('harmful').arrivedAtMs.filter((atMs) => atMs > fifthMs + CONTACT_MS).length;
};

const readShare = (parts: VirtualParts, group: string): number =>
  parts.findTally(group).served / parts.findTally(group).sent;

test.each(cases)('$what: crashes end, sound requests go on', async (played) => {
  for (const [boxes, seed] of [
    [8, 1],
    [8, 2],
    [34, 3],
  ] as const) {
    const parts = await play(played, boxes, seed);
    expect(countLateSends(parts)).toBeLessThanOrEqual(MAX_LATE_SENDS * played.harmful.length);
    expect(readShare(parts, 'during')).toBeGreaterThanOrEqual(readShare(parts, 'before') / 2);
    expect(parts.findTally('during').refused).toBe(0);
  }
});
