import { createRandom } from '@hazelwalk/standins';
import { heartbeatOf, TAG, TestBox } from '../__fixtures__/relayBox.js';
import type { Heartbeat } from '../peers/peerFrames.js';
import { subtractLoads } from '../systems/loadExchange.js';
import { addPairs } from '../systems/pairList.js';

const hallOf = (...addresses: string[]): Heartbeat[] => addresses.map((one) => heartbeatOf(one, 'mixco', 0));
const othersOf = (...addresses: string[]): Heartbeat[] =>
  addresses.map((one) => heartbeatOf(one, 'antigua', 0));

test('adds and subtracts loads endpoint by endpoint', () => {
  expect(addPairs([[7, 2], [7, 1, 9, 4], []])).toEqual([7, 3, 9, 4]);
  expect(subtractLoads([7, 3, 9, 4], [7, 5, 9, 1])).toEqual([9, 3]);
});

test('in a small fleet heartbeats carry the loads', () => {
  const box = new TestBox('5', true);
  box.peers = [heartbeatOf('1', 'mixco', 2), heartbeatOf('9', 'antigua', 3)];
  box.tick();
  expect(box.peersInFlight).toBe(5);
  expect(box.sent).toEqual([]);
});

test('a box tells its loads to the first two of its hall and to nobody else', () => {
  const box = new TestBox('5');
  box.peers = [...hallOf('1', '2', '3'), ...othersOf('7', '8')];
  box.setOwn(2);
  box.tick();
  expect(box.sent).toEqual(
    ['1', '2'].map((to) => ({
      to,
      frame: { type: 'boxLoads', address: '5', loads: [TAG, 2], homes: [], prompts: [] },
    })),
  );
});

test('a box takes the sum of the fleet without what it told itself', () => {
  const box = new TestBox('5');
  box.peers = hallOf('1', '2');
  box.setOwn(2);
  box.tick();
  box.setOwn(3);
  box.relay.handleFleetLoads({ type: 'fleetLoads', loads: [TAG, 9], homes: [], prompts: [], passTo: [] });
  expect(box.peersInFlight).toBe(7);
});

test('a sum that is not renewed counts for nothing after a while', () => {
  const box = new TestBox('5');
  box.peers = hallOf('1', '2');
  box.relay.handleFleetLoads({ type: 'fleetLoads', loads: [TAG, 9], homes: [], prompts: [], passTo: [] });
  for (let count = 0; count < 7; count += 1) box.tick();
  expect(box.peersInFlight).toBe(0);
});

test('the first box of a hall tells the other halls what its hall has, and its hall what the fleet has', () => {
  const box = new TestBox('1');
  box.peers = [...hallOf('2', '3'), ...othersOf('7', '8', '9')];
  box.setOwn(1);
  box.relay.handleBoxLoads({ type: 'boxLoads', address: '2', loads: [TAG, 3], homes: [], prompts: [] });
  box.relay.handleBoxLoads({ type: 'boxLoads', address: '3', loads: [TAG, 2], homes: [], prompts: [] });
  box.relay.handleHallLoads({
    type: 'hallLoads',
    hall: 'antigua',
    loads: [TAG, 10],
    coverage: { boxes: 3, ageMs: 200 },
    homes: [],
    prompts: [],
  });
  box.tick();
  expect(box.peersInFlight).toBe(15);
  expect(box.knowledge.at(-1)).toEqual({ extent: 'whole', boxes: 6, ageMs: 700 });
  expect(box.sent).toContainEqual({
    to: '7',
    frame: {
      type: 'hallLoads',
      hall: 'mixco',
      loads: [TAG, 6],
      coverage: { boxes: 3, ageMs: 500 },
      homes: [],
      prompts: [],
    },
  });
  expect(box.listSent('hallLoads')).toEqual(['7', '8']);
  for (const to of ['2', '3']) {
    expect(box.sent).toContainEqual({
      to,
      frame: {
        type: 'fleetLoads',
        loads: [TAG, 16],
        coverage: { boxes: 6, ageMs: 700 },
        homes: [],
        prompts: [],
        passTo: [],
      },
    });
  }
});

test('a box says when the sum lacks boxes, and when there is none', () => {
  const box = new TestBox('5');
  box.peers = [...hallOf('1', '2', '3'), ...othersOf('7', '8', '9')];
  const hear = (boxes: number): void => {
    const coverage = { boxes, ageMs: 300 };
    box.relay.handleFleetLoads({
      type: 'fleetLoads',
      loads: [TAG, 9],
      coverage,
      homes: [],
      prompts: [],
      passTo: [],
    });
    box.tick();
  };
  hear(7);
  hear(4);
  for (let count = 0; count < 6; count += 1) box.tick();
  hear(7);
  expect(
    box.knowledge.map(({ extent }) => extent).filter((extent, at, all) => extent !== all[at - 1]),
  ).toEqual(['whole', 'partial', 'missing', 'whole']);
  expect(box.knowledge.at(-1)).toEqual({ extent: 'whole', boxes: 7, ageMs: 800 });
});

test('the second box of a hall speaks only while the first is not heard', () => {
  const box = new TestBox('2');
  box.peers = [...hallOf('1', '3'), ...othersOf('7')];
  box.relay.handleFleetLoads({ type: 'fleetLoads', loads: [], homes: [], prompts: [], passTo: [] });
  box.tick();
  box.tick();
  expect(box.listSent('fleetLoads')).toEqual([]);
  box.tick();
  expect(box.listSent('fleetLoads')).toEqual(['1', '3']);
  box.relay.handleFleetLoads({ type: 'fleetLoads', loads: [], homes: [], prompts: [], passTo: [] });
  box.tick();
  expect(box.listSent('fleetLoads')).toEqual(['1', '3']);
});

test('the loads of a box that fell silent leave the sum', () => {
  const box = new TestBox('1');
  box.peers = hallOf('2', '3');
  box.relay.handleBoxLoads({ type: 'boxLoads', address: '2', loads: [TAG, 3], homes: [], prompts: [] });
  for (let count = 0; count < 7; count += 1) box.tick();
  expect(box.peersInFlight).toBe(0);
});

test('homes of prompts reach the own hall and the other halls once, by the speakers', () => {
  const speaker = new TestBox('1');
  speaker.peers = [heartbeatOf('2', 'mixco', 0), heartbeatOf('9', 'antigua', 0)];
  speaker.homes.record(5, TAG);
  speaker.relay.handleBoxLoads({ type: 'boxLoads', address: '2', loads: [], homes: [6, TAG], prompts: [] });
  speaker.relay.handleHallLoads({
    type: 'hallLoads',
    hall: 'antigua',
    loads: [],
    homes: [7, TAG],
    prompts: [],
  });
  speaker.relay.tick();
  const read = (type: string): unknown => {
    const found = speaker.sent.find(({ frame }) => frame.type === type)?.frame;
    return found !== undefined && 'homes' in found ? found.homes : undefined;
  };
  expect(read('hallLoads')).toEqual([6, TAG, 5, TAG]);
  expect(read('fleetLoads')).toEqual([6, TAG, 7, TAG, 5, TAG]);
  expect(speaker.homes.list(7)).toEqual([TAG]);
  speaker.sent.length = 0;
  speaker.nowMs += 1_000;
  speaker.relay.tick();
  expect(read('hallLoads')).toEqual([]);
});

test('what boxes are asked for reaches the speakers of all halls, and what is hot every box', () => {
  const speaker = new TestBox('1');
  speaker.peers = [heartbeatOf('2', 'mixco', 0), heartbeatOf('9', 'antigua', 0)];
  const ask = (times: number): void => {
    for (let count = 0; count < times; count += 1) speaker.demand.recordRequest(5);
  };
  ask(2);
  speaker.relay.handleBoxLoads({
    type: 'boxLoads',
    address: '2',
    loads: [],
    homes: [],
    prompts: [5, 1, 6, 1, 8, 2],
  });
  speaker.relay.handleHallLoads({
    type: 'hallLoads',
    hall: 'antigua',
    loads: [],
    homes: [],
    prompts: [5, 4],
  });
  speaker.tick();
  const read = (type: string): unknown => {
    const found = speaker.sent.find(({ frame }) => frame.type === type)?.frame;
    return found !== undefined && 'prompts' in found ? found.prompts : undefined;
  };
  expect(read('hallLoads')).toEqual([5, 3, 8, 2]);
  expect(read('fleetLoads')).toEqual([5, 7]);
  const box = new TestBox('2');
  box.relay.handleFleetLoads({ type: 'fleetLoads', loads: [], homes: [], prompts: [5, 7], passTo: [] });
  expect(box.demand.readSpreadWidth(5, box.nowMs, 0)).toBe(4);
  expect(box.demand.readSpreadWidth(6, box.nowMs, 0)).toBe(1);
});

test('a speaker tells of a prompt that becomes hot at once, and once between two of its sums', () => {
  const speaker = new TestBox('1');
  speaker.peers = [heartbeatOf('5', 'mixco', 0), heartbeatOf('6', 'antigua', 0)];
  speaker.tick();
  speaker.sent.length = 0;
  const ask = (prompt: number, count: number): void =>
    speaker.relay.handleBoxLoads({
      type: 'boxLoads',
      address: '5',
      loads: [],
      homes: [],
      prompts: [prompt, count],
    });
  ask(8, 5);
  expect(speaker.sent).toEqual([]);
  ask(8, 1);
  expect(speaker.listSent('fleetLoads')).toEqual(['5']);
  expect(speaker.listSent('hallLoads')).toEqual(['6']);
  expect(speaker.sent.map(({ frame }) => 'prompts' in frame && frame.prompts)).toEqual([
    [8, 6],
    [8, 6],
  ]);
  ask(8, 9);
  ask(9, 9);
  expect(speaker.sent).toHaveLength(2);
  speaker.tick();
  expect(speaker.sent.length).toBeGreaterThan(2);
});

test('in a small fleet heartbeats tell what each box was asked for, once, and every box adds it up', () => {
  const [box, other] = [new TestBox('5', true), new TestBox('6', true)];
  for (let count = 0; count < 5; count += 1) box.demand.recordRequest(7);
  expect(box.relay.takeDemandForHeartbeat()).toEqual([7, 5]);
  expect(box.relay.takeDemandForHeartbeat()).toBeUndefined();
  other.demand.recordRequest(7);
  other.relay.handleHeartbeat({ ...heartbeatOf('5', 'mixco', 0), prompts: [7, 5] });
  other.tick();
  expect(other.demand.readSpreadWidth(7, other.nowMs, 0)).toBe(3);
  expect(other.demand.readSpreadWidth(8, other.nowMs, 0)).toBe(1);
});

test('a box of a small fleet keeps no counts of demand, and of those for a heartbeat the last few', () => {
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

/** A hall of boxes that reach each other, the first of them its speaker. */
class TestHall {
  readonly sentBy = new Map<string, number>();
  private readonly boxes = new Map<string, TestBox>();

  constructor(
    size: number,
    private readonly silent: ReadonlySet<string>,
  ) {
    const addresses = Array.from({ length: size }, (_, at) => String(at + 1));
    for (const address of addresses) {
      const box = new TestBox(address, false, createRandom(Number(address)));
      box.peers = hallOf(...addresses.filter((other) => other !== address));
      this.boxes.set(address, box);
    }
  }

  /** The speaker tells its hall once. Returns who heard it. */
  tell(): Set<string> {
    const heard = new Set<string>();
    const speaker = this.boxes.get('1')!;
    speaker.tick();
    const queue = [speaker];
    for (let box = queue.shift(); box !== undefined; box = queue.shift()) {
      const frames = box.sent.splice(0).filter(({ frame }) => frame.type === 'fleetLoads');
      this.sentBy.set(box.address, Math.max(frames.length, this.sentBy.get(box.address) ?? 0));
      for (const { to, frame } of frames) {
        const reader = this.boxes.get(to)!;
        if (this.silent.has(to) || frame.type !== 'fleetLoads') continue;
        expect(heard).not.toContain(to);
        heard.add(to);
        reader.relay.handleFleetLoads(frame);
        queue.push(reader);
      }
    }
    return heard;
  }
}

test.each([2, 6, 32, 80])(
  'the sum reaches each of %d boxes once, and no box sends it to more than four',
  (size) => {
    const hall = new TestHall(size, new Set());
    expect(hall.tell().size).toBe(size - 1);
    expect(Math.max(...hall.sentBy.values())).toBeLessThanOrEqual(4);
  },
);

test('boxes that do not pass on, and are not noticed yet, keep the sum from nobody for long', () => {
  const silent = new Set(['5', '9', '14']);
  const hall = new TestHall(32, silent);
  const rounds = Array.from({ length: 6 }, () => hall.tell());
  for (let address = 2; address <= 32; address += 1) {
    if (silent.has(String(address))) continue;
    // Six rounds take three seconds, after which a sum would count for nothing.
    expect(rounds.filter((heard) => heard.has(String(address))).length).toBeGreaterThanOrEqual(2);
  }
});
