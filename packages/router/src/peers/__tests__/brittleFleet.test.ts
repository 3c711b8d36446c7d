/** Guards against endpoints that fall over under requests they have to reject (LIMIT), while boxes stand still or die. */
import { BrittleFleet } from '../__fixtures__/brittleFleet.js';

const FLEETS: readonly (readonly [string, readonly number[]])[] = [
  ['4 boxes', [2, 2]],
  ['24 boxes', [12, 12]],
];
const SEEDS = [1, 2];

const CASES = FLEETS.flatMap(([name, halls]) => SEEDS.map((seed) => [name, halls, seed] as const));

test.each(CASES)(
  '%s, a third stands still or dies, half of the room asked for: few falls',
  async (_, halls, seed) => {
    const site = await BrittleFleet.create(halls, seed);
    site.load(0.6, 2_000);
    site.fleet.run(0);
    site.pauseThird(1_500);
    site.load(0.6, 4_000);
    site.killThird(800);
    site.load(0.6, 4_000);
    expect(site.falls).toBeLessThanOrEqual(site.allowedFalls);
  },
);

test.each(CASES)(
  '%s, load that jumps to four times the room: few falls, the room is used',
  async (_, halls, seed) => {
    const site = await BrittleFleet.create(halls, seed);
    site.load(0.4, 2_000);
    for (const share of [1.5, 0.4, 4]) {
      const before = site.served;
      site.load(share, 3_000);
      // 350 requests a second are the room of seven endpoints.
      if (share > 1) expect(site.served - before).toBeGreaterThanOrEqual(0.85 * 350 * 3);
    }
    site.pauseThird(1_500);
    site.load(4, 5_000);
    site.killThird(800);
    site.load(4, 5_000);
    expect(site.falls).toBeLessThanOrEqual(site.allowedFalls);
  },
);
