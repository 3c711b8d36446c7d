/**
 * Guards against a prompt that fills its home in the first moments of its demand: callers who begin together ask all boxes for it
 * before any box can have heard of the others' requests. What boxes were asked for used to travel with their loads, twice a second.
 */
import type { VirtualLoad } from '../__fixtures__/trafficPlan.js';
import { VirtualTraffic } from '../__fixtures__/virtualTraffic.js';

const BOUND_SHARE = 0.03;
/** Boxes have met by then. */
const LEAD_S = 6;
const DAY_S = 6;

/** Callers that begin in one moment and go on at the pace of as many that wait for their answers. */
const hotLoad = (perS: number): VirtualLoad => ({
  service: 'llm',
  perS,
  workMs: 250,
  spread: 0.3,
  prompts: 1,
});

test.each([
  [24, 60, 4, 501],
  [24, 60, 4, 502],
  [24, 60, 4, 503],
  [40, 100, 8, 504],
  [65, 150, 12, 505],
])(
  'one prompt for all callers keeps to the bound from the start (%d boxes, %d callers, %d endpoints, seed %d)',
  async (boxes, callers, endpoints, seed) => {
    const load = hotLoad(callers * 3.5);
    const traffic = await VirtualTraffic.create({
      fleet: { boxes, halls: 2, seed },
      services: [{ name: 'llm', endpoints, slots: 32 }],
      loads: [load],
    });
    await traffic.fleet.run(LEAD_S);
    traffic.callAtOnce(load, callers);
    traffic.start();
    await traffic.fleet.run(DAY_S);
    expect(traffic.readWorstShare('llm')).toBeLessThanOrEqual(BOUND_SHARE);
  },
);
