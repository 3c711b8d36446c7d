import { LoadRelay } from '../peers/loadRelay.js';
import type { Heartbeat, PeerFrame } from '../peers/peerFrames.js';
import type { PeerMesh } from '../peers/peerMesh.js';
import type { ListedEndpoint } from '../records.js';
import { addLoads } from '../systems/loadExchange.js';
import { EndpointTable } from '../tables/endpointTable.js';

const TAG = 77;
const endpoint: ListedEndpoint = {
  id: 'e-1',
  service: 'llm',
  host: '10.1.0.1',
  port: 80,
  hall: 'mixco',
  slots: 4,
  state: 'live',
};

const heartbeatOf = (address: string, hall: string, requests: number): Heartbeat => ({
  type: 'heartbeat',
  hall,
  feed: 'able',
  address,
  configurationVersion: 1,
  endpointsRevision: 1,
  loads: requests === 0 ? [] : [TAG, requests],
  isStopping: false,
});

/** One box of the hall mixco in a fleet of two halls; its address ranks it. */
class TestBox {
  nowMs = 10_000;
  peers: Heartbeat[] = [];
  readonly sent: { to: string; frame: PeerFrame }[] = [];
  readonly table = new EndpointTable(() => TAG);
  readonly relay: LoadRelay;

  constructor(address: string) {
    const mesh = {
      address,
      isFlat: false,
      listLoadPeers: () =>
        this.peers
          .filter((heartbeat) => heartbeat.hall === 'mixco')
          .map((heartbeat) => ({ heartbeat, heardAtMs: this.nowMs })),
      listLinked: () => this.peers,
      send: (to: string, frame: PeerFrame) => void this.sent.push({ to, frame }),
      sendToHall: (to: string, frame: PeerFrame) => void this.sent.push({ to, frame }),
    } as unknown as PeerMesh;
    this.table.upsert(endpoint, 0);
    this.relay = new LoadRelay({
      mesh,
      table: this.table,
      hall: 'mixco',
      hash: (text) => Number(text),
      now: () => this.nowMs,
    });
  }

  get peersInFlight(): number {
    return this.table.byId.get(endpoint.id)?.peersInFlight ?? -1;
  }
}

test('adds loads endpoint by endpoint', () => {
  expect(addLoads([[7, 2], [7, 1, 9, 4], []])).toEqual([7, 3, 9, 4]);
});

test('a box counts the loads of its hall and the sums of the others, each once', () => {
  const box = new TestBox('5');
  box.peers = [heartbeatOf('1', 'mixco', 2), heartbeatOf('2', 'mixco', 3), heartbeatOf('9', 'antigua', 50)];
  box.relay.handleHallLoads({ type: 'hallLoads', hall: 'antigua', loads: [TAG, 4] });
  box.relay.handleHallLoads({ type: 'hallLoads', hall: 'mixco', loads: [TAG, 100] });
  box.relay.tick();
  expect(box.peersInFlight).toBe(9);
});

test('sums that are not renewed count for nothing after a while', () => {
  const box = new TestBox('5');
  box.relay.handleHallLoads({ type: 'hallLoads', hall: 'antigua', loads: [TAG, 4] });
  box.nowMs += 7_000;
  box.relay.tick();
  expect(box.peersInFlight).toBe(0);
});

test('the first two boxes of a hall tell the first two of every other hall what the hall has together', () => {
  const box = new TestBox('1');
  box.table.byId.get(endpoint.id)!.inFlight = 1;
  box.peers = [
    heartbeatOf('2', 'mixco', 3),
    heartbeatOf('7', 'antigua', 0),
    heartbeatOf('8', 'antigua', 0),
    heartbeatOf('9', 'antigua', 0),
  ];
  box.relay.tick();
  expect(box.sent).toEqual(
    ['7', '8'].map((to) => ({ to, frame: { type: 'hallLoads', hall: 'mixco', loads: [TAG, 4] } })),
  );
  const third = new TestBox('3');
  third.peers = [heartbeatOf('1', 'mixco', 0), heartbeatOf('2', 'mixco', 0), heartbeatOf('7', 'antigua', 0)];
  third.relay.tick();
  expect(third.sent).toEqual([]);
});

test('a speaker passes the sums of another hall on at home, one copy a period', () => {
  const box = new TestBox('1');
  const frame = { type: 'hallLoads', hall: 'antigua', loads: [TAG, 4] } as const;
  box.relay.handleHallLoads({ ...frame, loads: [...frame.loads] });
  box.nowMs += 10;
  box.relay.handleHallLoads({ ...frame, loads: [...frame.loads] });
  expect(box.sent).toEqual([{ to: 'mixco', frame }]);
});
