/**
 * Endpoints that serve at full load turn cold, and boxes hear of it up to two and a half seconds later.
 *
 * Seen: 28 requests reach one within a second where 24.5 are allowed, at twice the usual traffic; 26 with another seed since
 * boxes that have heard of it hold back. Until the news is there no box can tell it from a warm one, and at that traffic a warm
 * one now and then gets more than a cold one bears.
 */
import { VirtualTraffic } from '../__fixtures__/virtualTraffic.js';

const MOST_PER_S = 24.5;

test.each([26, 42])(
  'endpoints that turn cold by fours stay within what they bear (seed %d)',
  async (seed) => {
    const engines = 78;
    const perEngine = 2 * engines;
    const traffic = await VirtualTraffic.create({
      fleet: { boxes: 65, halls: 4, seed },
      services: [{ name: 'llm', endpoints: engines, slots: 12, coldStart: { perS: 13, startMs: 3_000 } }],
      loads: [
        { service: 'llm', perS: 1.1 * perEngine, workMs: 500, spread: 0.44, prompts: 300 },
        { service: 'llm', perS: 2.8 * perEngine, workMs: 350, spread: 0.6, prompts: 500 },
        { service: 'llm', perS: 3.1 * perEngine, workMs: 70, spread: 0.6, prompts: 700 },
      ],
    });
    await traffic.fleet.run(6);
    traffic.start();
    await traffic.fleet.run(1);
    for (let wave = 0; wave < 4; wave += 1) {
      traffic.turnCold(Array.from({ length: 4 }, (_, at) => `llm-${4 * wave + at}`));
      await traffic.fleet.run(1.5);
    }
    await traffic.fleet.run(4);
    expect(traffic.readMostColdInASecond()).toBeLessThanOrEqual(MOST_PER_S);
  },
);
