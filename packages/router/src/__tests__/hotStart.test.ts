/**
 * Guards against overloading the preferred endpoint of a prompt when its demand begins.
 *
 * Callers that start together send requests for the prompt to all boxes before any box has received a report of the others'
 * requests. The demand used to be reported together with the loads, twice a second.
 */
import type { VirtualLoad } from '../__fixtures__/trafficPlan.js';
import { VirtualTraffic } from '../__fixtures__/virtualTraffic.js';

const BOUND_SHARE = 0.03;
/** Time in which all boxes join the fleet. */
const STARTUP_S = 6;
const RUN_S = 6;

/** Load of callers that start at the same time and then send requests at the rate of callers that wait for each response. */
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
    await traffic.fleet.run(STARTUP_S);
    traffic.sendConcurrentCalls(load, callers);
    traffic.start();
    await traffic.fleet.run(RUN_S);
    expect(traffic.findWorstOverBoundShare('llm')).toBeLessThanOrEqual(BOUND_SHARE);
  },
);
