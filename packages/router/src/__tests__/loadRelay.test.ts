import { createRandom } from '@hazelwalk/standins';
import { createLoadHeartbeat, ENDPOINT_TAG, TestBox } from '../__fixtures__/relayBox.js';
import type { Heartbeat } from '../peers/peerFrames.js';
import { subtractLoads } from '../systems/loadExchange.js';
import { addPairs } from '../systems/pairList.js';

/** Creates heartbeats of idle boxes of the own hall. */
const createHallPeers = (...addresses: string[]): Heartbeat[] =>
  addresses.map((address) => createLoadHeartbeat(address, 'mixco', 0));
/** Creates heartbeats of idle boxes of another hall. */
const createOtherHallPeers = (...addresses: string[]): Heartbeat[] =>
  addresses.map((address) => createLoadHeartbeat(address, 'antigua', 0));

test('loads are added and subtracted by endpoint', () => {
  expect(addPairs([[7, 2], [7, 1, 9, 4], []])).toEqual([7, 3, 9, 4]);
  expect(subtractLoads([7, 3, 9, 4], [7, 5, 9, 1])).toEqual([9, 3]);
});

test('in a small fleet heartbeats carry the loads', () => {
  const box = new TestBox('5', true);
  box.peers = [createLoadHeartbeat('1', 'mixco', 2), createLoadHeartbeat('9', 'antigua', 3)];
  box.tick();
  expect(box.peersInFlight).toBe(5);
  expect(box.sent).toEqual([]);
});

test('a box sends its loads only to the two aggregators of its hall', () => {
  const box = new TestBox('5');
  box.peers = [...createHallPeers('1', '2', '3'), ...createOtherHallPeers('7', '8')];
  box.setLocalLoad(2);
  box.tick();
  expect(box.sent).toEqual(
    ['1', '2'].map((to) => ({
      to,
      frame: { type: 'boxLoads', address: '5', loads: [ENDPOINT_TAG, 2], homes: [], prompts: [] },
    })),
  );
});

test('a box subtracts its own reported loads from the aggregate of the fleet', () => {
  const box = new TestBox('5');
  box.peers = createHallPeers('1', '2');
  box.setLocalLoad(2);
  box.tick();
  box.setLocalLoad(3);
  box.relay.handleFleetLoads({
    type: 'fleetLoads',
    loads: [ENDPOINT_TAG, 9],
    homes: [],
    prompts: [],
    passTo: [],
  });
  expect(box.peersInFlight).toBe(7);
});

test('an aggregate that is not renewed expires', () => {
  const box = new TestBox('5');
  box.peers = createHallPeers('1', '2');
  box.relay.handleFleetLoads({
    type: 'fleetLoads',
    loads: [ENDPOINT_TAG, 9],
    homes: [],
    prompts: [],
    passTo: [],
  });
  for (let count = 0; count < 7; count += 1) box.tick();
  expect(box.peersInFlight).toBe(0);
});

test('the aggregator sends the loads of its hall to other halls, and those of the fleet to its hall', () => {
  const box = new TestBox('1');
  box.peers = [...createHallPeers('2', '3'), ...createOtherHallPeers('7', '8', '9')];
  box.setLocalLoad(1);
  box.relay.handleBoxLoads({
    type: 'boxLoads',
    address: '2',
    loads: [ENDPOINT_TAG, 3],
    homes: [],
    prompts: [],
  });
  box.relay.handleBoxLoads({
    type: 'boxLoads',
    address: '3',
    loads: [ENDPOINT_TAG, 2],
    homes: [],
    prompts: [],
  });
  box.relay.handleHallLoads({
    type: 'hallLoads',
    hall: 'antigua',
    loads: [ENDPOINT_TAG, 10],
    coverage: { boxes: 3, ageMs: 200 },
    homes: [],
    prompts: [],
  });
  box.tick();
  expect(box.peersInFlight).toBe(15);
  expect(box.viewStatuses.at(-1)).toEqual({ extent: 'whole', boxes: 6, ageMs: 700 });
  expect(box.sent).toContainEqual({
    to: '7',
    frame: {
      type: 'hallLoads',
      hall: 'mixco',
      loads: [ENDPOINT_TAG, 6],
      coverage: { boxes: 3, ageMs: 500 },
      homes: [],
      prompts: [],
    },
  });
  expect(box.listRecipients('hallLoads')).toEqual(['7', '8']);
  for (const to of ['2', '3']) {
    expect(box.sent).toContainEqual({
      to,
      frame: {
        type: 'fleetLoads',
        loads: [ENDPOINT_TAG, 16],
        coverage: { boxes: 6, ageMs: 700 },
        homes: [],
        prompts: [],
        passTo: [],
      },
    });
  }
});

test('a box reports whether the aggregate is whole, partial or missing', () => {
  const box = new TestBox('5');
  box.peers = [...createHallPeers('1', '2', '3'), ...createOtherHallPeers('7', '8', '9')];
  const receiveFleetLoads = (boxes: number): void => {
    const coverage = { boxes, ageMs: 300 };
    box.relay.handleFleetLoads({
      type: 'fleetLoads',
      loads: [ENDPOINT_TAG, 9],
      coverage,
      homes: [],
      prompts: [],
      passTo: [],
    });
    box.tick();
  };
  receiveFleetLoads(7);
  receiveFleetLoads(4);
  for (let count = 0; count < 6; count += 1) box.tick();
  receiveFleetLoads(7);
  expect(
    box.viewStatuses.map(({ extent }) => extent).filter((extent, at, all) => extent !== all[at - 1]),
  ).toEqual(['whole', 'partial', 'missing', 'whole']);
  expect(box.viewStatuses.at(-1)).toEqual({ extent: 'whole', boxes: 7, ageMs: 800 });
});

test('the second aggregator of a hall sends aggregates only while it receives none from the first', () => {
  const box = new TestBox('2');
  box.peers = [...createHallPeers('1', '3'), ...createOtherHallPeers('7')];
  box.relay.handleFleetLoads({ type: 'fleetLoads', loads: [], homes: [], prompts: [], passTo: [] });
  box.tick();
  box.tick();
  expect(box.listRecipients('fleetLoads')).toEqual([]);
  box.tick();
  expect(box.listRecipients('fleetLoads')).toEqual(['1', '3']);
  box.relay.handleFleetLoads({ type: 'fleetLoads', loads: [], homes: [], prompts: [], passTo: [] });
  box.tick();
  expect(box.listRecipients('fleetLoads')).toEqual(['1', '3']);
});

test('the loads of a box that went silent are removed from the aggregate', () => {
  const box = new TestBox('1');
  box.peers = createHallPeers('2', '3');
  box.relay.handleBoxLoads({
    type: 'boxLoads',
    address: '2',
    loads: [ENDPOINT_TAG, 3],
    homes: [],
    prompts: [],
  });
  for (let count = 0; count < 7; count += 1) box.tick();
  expect(box.peersInFlight).toBe(0);
});

test('aggregators send prompt holders to the own hall and to the other halls once', () => {
  const aggregator = new TestBox('1');
  aggregator.peers = [createLoadHeartbeat('2', 'mixco', 0), createLoadHeartbeat('9', 'antigua', 0)];
  aggregator.promptHolders.record(5, ENDPOINT_TAG);
  aggregator.relay.handleBoxLoads({
    type: 'boxLoads',
    address: '2',
    loads: [],
    homes: [6, ENDPOINT_TAG],
    prompts: [],
  });
  aggregator.relay.handleHallLoads({
    type: 'hallLoads',
    hall: 'antigua',
    loads: [],
    homes: [7, ENDPOINT_TAG],
    prompts: [],
  });
  aggregator.relay.tick();
  const read = (type: string): unknown => {
    const found = aggregator.sent.find(({ frame }) => frame.type === type)?.frame;
    return found !== undefined && 'homes' in found ? found.homes : undefined;
  };
  expect(read('hallLoads')).toEqual([6, ENDPOINT_TAG, 5, ENDPOINT_TAG]);
  expect(read('fleetLoads')).toEqual([6, ENDPOINT_TAG, 7, ENDPOINT_TAG, 5, ENDPOINT_TAG]);
  expect(aggregator.promptHolders.list(7)).toEqual([ENDPOINT_TAG]);
  aggregator.sent.length = 0;
  aggregator.nowMs += 1_000;
  aggregator.relay.tick();
  expect(read('hallLoads')).toEqual([]);
});

test('prompt demand is sent to the aggregators of all halls, and hot prompts to every box', () => {
  const aggregator = new TestBox('1');
  aggregator.peers = [createLoadHeartbeat('2', 'mixco', 0), createLoadHeartbeat('9', 'antigua', 0)];
  const recordRequests = (times: number): void => {
    for (let count = 0; count < times; count += 1) aggregator.demand.recordRequest(5);
  };
  recordRequests(2);
  aggregator.relay.handleBoxLoads({
    type: 'boxLoads',
    address: '2',
    loads: [],
    homes: [],
    prompts: [5, 1, 6, 1, 8, 2],
  });
  aggregator.relay.handleHallLoads({
    type: 'hallLoads',
    hall: 'antigua',
    loads: [],
    homes: [],
    prompts: [5, 4],
  });
  aggregator.tick();
  const read = (type: string): unknown => {
    const found = aggregator.sent.find(({ frame }) => frame.type === type)?.frame;
    return found !== undefined && 'prompts' in found ? found.prompts : undefined;
  };
  expect(read('hallLoads')).toEqual([5, 3, 8, 2]);
  expect(read('fleetLoads')).toEqual([5, 7]);
  const box = new TestBox('2');
  box.relay.handleFleetLoads({ type: 'fleetLoads', loads: [], homes: [], prompts: [5, 7], passTo: [] });
  expect(box.demand.readSpreadWidth(5, box.nowMs, 0)).toBe(4);
  expect(box.demand.readSpreadWidth(6, box.nowMs, 0)).toBe(1);
});

test('an aggregator reports a newly hot prompt at once, but only once between two aggregates', () => {
  const aggregator = new TestBox('1');
  aggregator.peers = [createLoadHeartbeat('5', 'mixco', 0), createLoadHeartbeat('6', 'antigua', 0)];
  aggregator.tick();
  aggregator.sent.length = 0;
  const reportDemand = (prompt: number, count: number): void =>
    aggregator.relay.handleBoxLoads({
      type: 'boxLoads',
      address: '5',
      loads: [],
      homes: [],
      prompts: [prompt, count],
    });
  reportDemand(8, 5);
  expect(aggregator.sent).toEqual([]);
  reportDemand(8, 1);
  expect(aggregator.listRecipients('fleetLoads')).toEqual(['5']);
  expect(aggregator.listRecipients('hallLoads')).toEqual(['6']);
  expect(aggregator.sent.map(({ frame }) => 'prompts' in frame && frame.prompts)).toEqual([
    [8, 6],
    [8, 6],
  ]);
  reportDemand(8, 9);
  reportDemand(9, 9);
  expect(aggregator.sent).toHaveLength(2);
  aggregator.tick();
  expect(aggregator.sent.length).toBeGreaterThan(2);
});

test('in a small fleet heartbeats carry the demand of each box once, and every box aggregates it', () => {
  const [box, other] = [new TestBox('5', true), new TestBox('6', true)];
  for (let count = 0; count < 5; count += 1) box.demand.recordRequest(7);
  expect(box.relay.takeDemandForHeartbeat()).toEqual([7, 5]);
  expect(box.relay.takeDemandForHeartbeat()).toBeUndefined();
  other.demand.recordRequest(7);
  other.relay.handleHeartbeat({ ...createLoadHeartbeat('5', 'mixco', 0), prompts: [7, 5] });
  other.tick();
  expect(other.demand.readSpreadWidth(7, other.nowMs, 0)).toBe(3);
  expect(other.demand.readSpreadWidth(8, other.nowMs, 0)).toBe(1);
});

test('a box of a small fleet clears its request counts each tick and keeps only the latest ones for a heartbeat', () => {
  const box = new TestBox('5', true);
  for (let prompt = 0; prompt < 1_000; prompt += 1) box.demand.recordRequest(prompt);
  box.tick();
  expect(box.demand.takeCounts()).toEqual([]);
  for (let tick = 0; tick < 100; tick += 1) {
    box.demand.recordRequest(10_000 + tick);
    box.tick();
  }
  expect(box.relay.takeDemandForHeartbeat()?.length).toBeLessThanOrEqual(2 * 64);
});

/** A hall whose boxes reach each other and whose first box is the aggregator. */
class TestHall {
  /** Highest number of frames that each box sent for one aggregate, by address. */
  readonly maxSentBy = new Map<string, number>();
  private readonly boxes = new Map<string, TestBox>();

  constructor(
    size: number,
    private readonly unresponsive: ReadonlySet<string>,
  ) {
    const addresses = Array.from({ length: size }, (_, at) => String(at + 1));
    for (const address of addresses) {
      const box = new TestBox(address, false, createRandom(Number(address)));
      box.peers = createHallPeers(...addresses.filter((other) => other !== address));
      this.boxes.set(address, box);
    }
  }

  /** Relays one aggregate of the aggregator through the hall. Returns the addresses of the boxes that received it. */
  relayAggregate(): Set<string> {
    const reached = new Set<string>();
    const aggregator = this.boxes.get('1')!;
    aggregator.tick();
    const queue = [aggregator];
    for (let box = queue.shift(); box !== undefined; box = queue.shift()) {
      const frames = box.sent.splice(0).filter(({ frame }) => frame.type === 'fleetLoads');
      this.maxSentBy.set(box.address, Math.max(frames.length, this.maxSentBy.get(box.address) ?? 0));
      for (const { to, frame } of frames) {
        const recipient = this.boxes.get(to)!;
        if (this.unresponsive.has(to) || frame.type !== 'fleetLoads') continue;
        expect(reached).not.toContain(to);
        reached.add(to);
        recipient.relay.handleFleetLoads(frame);
        queue.push(recipient);
      }
    }
    return reached;
  }
}

test.each([2, 6, 32, 80])(
  'an aggregate reaches each of %d boxes once, and no box sends it to more than four',
  (size) => {
    const hall = new TestHall(size, new Set());
    expect(hall.relayAggregate().size).toBe(size - 1);
    expect(Math.max(...hall.maxSentBy.values())).toBeLessThanOrEqual(4);
  },
);

test('undetected boxes that do not relay aggregates withhold them from no other box for long', () => {
  const unresponsive = new Set(['5', '9', '14']);
  const hall = new TestHall(32, unresponsive);
  const rounds = Array.from({ length: 6 }, () => hall.relayAggregate());
  for (let address = 2; address <= 32; address += 1) {
    if (unresponsive.has(String(address))) continue;
    // Six rounds take three seconds, after which an aggregate expires.
    expect(rounds.filter((reached) => reached.has(String(address))).length).toBeGreaterThanOrEqual(2);
  }
});
