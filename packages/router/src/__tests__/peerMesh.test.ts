import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { Heartbeat, PeerFrame } from '../peers/peerFrames.js';
import { encodePeerFrame, PeerFrameReader } from '../peers/peerFrameCodec.js';
import { PeerMesh } from '../peers/peerMesh.js';
import { TcpTransport } from '../peers/peerTransport.js';

const meshes: PeerMesh[] = [];
const timers: NodeJS.Timeout[] = [];
/** Heartbeats that may still be under way on a link that goes silent, and more. */
const MORE_THAN_UNDER_WAY = 50;
const relays = new Set<SilentRelay>();

afterEach(() => {
  for (const timer of timers.splice(0)) clearInterval(timer);
  for (const mesh of meshes.splice(0)) mesh.close();
  for (const relay of relays) relay.close();
  relays.clear();
});

const createHeartbeat = (address: string): Heartbeat => ({
  type: 'heartbeat',
  hall: 'mixco',
  feed: 'able',
  linkMbps: 1_000,
  address,
  boxes: 1,
  configurationVersion: 3,
  endpointsRevision: 9,
  era: 0,
  loads: [4_000_000_000, 2],
  homes: [],
  incarnation: 1,
  isStopping: false,
});

async function startMesh(
  seeds: readonly string[],
  heard: PeerFrame[] = [],
  port = 0,
  knownAs?: string,
  now: () => number = () => performance.now(),
): Promise<PeerMesh> {
  const handlers = {
    createHeartbeat: () => createHeartbeat(knownAs ?? mesh.address),
    onFrameRead: () => {},
    onFrame: (frame: PeerFrame) => void heard.push(frame),
    onProblem: () => {},
    onStateChange: () => {},
  };
  const options = {
    hall: 'mixco',
    seeds,
    transport: new TcpTransport(),
    now,
    random: Math.random,
    rank: (address: string) => Number(address.split(':')[1]),
    firstIncarnation: 1,
  };
  const mesh: PeerMesh = new PeerMesh(options, handlers);
  meshes.push(mesh);
  await mesh.listen('127.0.0.1', port);
  timers.push(setInterval(() => mesh.broadcast(createHeartbeat(knownAs ?? mesh.address)), 20));
  return mesh;
}

/** Passes connections on until it is told to let those that are open go silent. */
class SilentRelay {
  connections = 0;
  private readonly sockets: Socket[] = [];
  private readonly server: Server;

  targetPort = 0;

  constructor() {
    this.server = createServer((socket) => {
      this.connections += 1;
      const onward = connect(this.targetPort, '127.0.0.1');
      socket.pipe(onward).pipe(socket);
      for (const end of [socket, onward]) end.on('error', () => end.destroy());
      this.sockets.push(socket, onward);
      relays.add(this);
    });
  }

  async listen(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  silence(): void {
    for (const socket of this.sockets) socket.unpipe().resume();
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  // A wait of a test that has timed out must not keep the run from ending.
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 10).unref());
}

test('boxes that share one seed find each other', async () => {
  const seed = await startMesh([]);
  const others = await Promise.all([startMesh([seed.address]), startMesh([seed.address])]);
  const found = [seed, ...others];
  await waitUntil(() => found.every((mesh) => mesh.countBoxes() === 3));
  // A box that answered counts at once; its loads come with its own heartbeat.
  await waitUntil(() => found.every((mesh) => mesh.listRecentlySeen().length === 2));
  expect(others[0]?.listRecentlySeen().map((peer) => peer.heartbeat.loads)).toEqual([
    [4_000_000_000, 2],
    [4_000_000_000, 2],
  ]);
});

test('a seed that was never heard counts as a box: it may spend from the same budget', async () => {
  const mesh = await startMesh(['127.0.0.1:9', '127.0.0.1:10', '127.0.0.1:11']);
  expect(mesh.countBoxes()).toBe(3);
});

test('a box that starts again at its address is heard again', async () => {
  const first = await startMesh([]);
  const second = await startMesh([first.address]);
  await waitUntil(() => first.countBoxes() === 2);
  const port = Number(second.address.split(':')[1]);
  second.close();
  const heard: PeerFrame[] = [];
  await startMesh([first.address], heard, port);
  await waitUntil(() => heard.length > 0);
});

test('a seed that was away for longer than a cut usually lasts is found again', async () => {
  // Time passes fifty times as fast, and jumps over the time away.
  let jumpMs = 40_000;
  const startedAtMs = performance.now();
  const now = (): number => startedAtMs + (performance.now() - startedAtMs) * 50 + jumpMs;
  const former = await startMesh([]);
  const port = Number(former.address.split(':')[1]);
  former.close();
  const box = await startMesh([`127.0.0.1:${port}`], [], 0, undefined, now);
  jumpMs += 40_000;
  box.broadcast(createHeartbeat(box.address));
  await startMesh([], [], port, undefined, now);
  await waitUntil(() => box.listRecentlySeen().length === 1);
});

test('frames survive any cut, and foreign bytes are refused', () => {
  const packet = encodePeerFrame(createHeartbeat('127.0.0.1:1'));
  const reader = new PeerFrameReader();
  const frames = [...packet].flatMap((byte) => reader.push(Buffer.from([byte])).unwrap());
  expect(frames).toEqual([createHeartbeat('127.0.0.1:1')]);
  expect(new PeerFrameReader().push(Buffer.from('GET / HTTP/1.1\r\n\r\n')).val).toMatchObject({
    code: 'frameTooLarge',
  });
  expect(new PeerFrameReader().push(Buffer.from([0, 0, 0, 1, 0xff])).val).toMatchObject({
    code: 'frameMalformed',
  });
});

test('a link that goes silent without a reset is made anew, though the peer is still heard', async () => {
  const relay = new SilentRelay();
  await relay.listen();
  // The first box is known by the address of the relay, so that the second one's link to it leads through there.
  const heardByFirst: PeerFrame[] = [];
  const first = await startMesh([], heardByFirst, 0, relay.address);
  relay.targetPort = Number(first.address.split(':')[1]);
  const second = await startMesh([relay.address]);
  await waitUntil(() => second.listReachable().length === 1);
  relay.silence();
  heardByFirst.length = 0;
  const countHeard = (): number =>
    heardByFirst.filter((frame) => frame.type === 'heartbeat' && frame.address === second.address).length;
  await waitUntil(() => countHeard() >= MORE_THAN_UNDER_WAY);
  expect(countHeard()).toBeGreaterThanOrEqual(MORE_THAN_UNDER_WAY);
});
