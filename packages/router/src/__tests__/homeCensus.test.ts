import { Err, Ok } from '@hazelwalk/core';
import { createListing } from '../__fixtures__/createEndpoints.js';
import { DecisionLog } from '../observability/decisionLog.js';
import { RouterMetrics } from '../observability/metrics.js';
import type { ReadHeldParts } from '../systems/homeCensus.js';
import { HomeCensus } from '../systems/homeCensus.js';
import { PromptHomes } from '../systems/promptHomes.js';
import { EndpointTable } from '../tables/endpointTable.js';

const LONG_MS = 1_000;

/** A box in the hall `a` with two engines there, one of them silent, one in another hall, and a plain endpoint. */
class TestBox {
  nowMs = 0;
  completed = 0;
  readonly asked: number[] = [];
  readonly homes = new PromptHomes();
  readonly table = new EndpointTable((id) => Number(id.slice(1)));
  readonly census: HomeCensus;

  constructor() {
    this.table.upsert(createListing('e1', { port: 1 }), 0);
    this.table.upsert(createListing('e2', { port: 2 }), 0);
    this.table.upsert(createListing('e3', { port: 3, hall: 'b' }), 0);
    this.table.upsert(createListing('e4', { port: 4, service: 'app' }), 0);
    const now = (): number => this.nowMs;
    const readHeldParts: ReadHeldParts = ({ port }) => {
      this.asked.push(port);
      return Promise.resolve(
        port === 1 ? Ok(['7', '8']) : Err({ code: 'listUndecodable', at: String(port), detail: 'silent' }),
      );
    };
    this.census = new HomeCensus({
      table: this.table,
      homes: this.homes,
      log: new DecisionLog('box', new RouterMetrics(), now),
      hall: 'a',
      hash: Number,
      now,
      readHeldParts,
      listEngineServices: () => ['llm'],
      onComplete: () => (this.completed += 1),
    });
  }

  async pass(ms: number): Promise<void> {
    this.census.tick();
    this.nowMs += ms;
    this.census.tick();
    await new Promise((resolve) => setImmediate(resolve));
  }
}

let box: TestBox;

beforeEach(() => {
  box = new TestBox();
});

test('a box that nobody told asks the engines of its hall once, and knows what those hold that answered', async () => {
  await box.pass(LONG_MS);
  await box.pass(LONG_MS);
  expect(box.asked).toEqual([1, 2]);
  expect(box.homes.list(7)).toEqual([1]);
  expect(box.homes.takeUntold(10)).toEqual([7, 1, 8, 1]);
  expect(box.completed).toBe(1);
  expect(box.census.isOver).toBe(true);
});

test('a box that a peer told asks nobody', async () => {
  box.census.tick();
  box.census.skip();
  await box.pass(LONG_MS);
  expect(box.asked).toEqual([]);
});

test('what a box placed itself since it started is no knowledge of the fleet', async () => {
  box.homes.note(5, 1);
  expect(box.census.isOver).toBe(false);
  await box.pass(LONG_MS);
  expect(box.asked).toEqual([1, 2]);
});

test('peers are given time to tell first', async () => {
  await box.pass(20);
  expect(box.asked).toEqual([]);
});
