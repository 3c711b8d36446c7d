/** Guards against endpoints that fall over while two boxes schedule their slots, as boxes of a large fleet stand still or die (LIMIT). */
import { BrittleFleet } from '../__fixtures__/brittleFleet.js';

test.each([1, 2])(
  '62 boxes, a third stands still or dies, half of the room asked for: few falls (seed %d)',
  async (seed) => {
    const site = await BrittleFleet.create([16, 14, 17, 15], seed);
    site.load(0.6, 2_000);
    site.pauseThird(1_500);
    site.load(0.6, 4_000);
    site.killThird(800);
    site.load(0.6, 4_000);
    expect(site.falls).toBeLessThanOrEqual(site.allowedFalls);
  },
);
