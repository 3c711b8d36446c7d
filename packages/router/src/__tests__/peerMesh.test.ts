import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import type { Heartbeat, PeerFrame } from '../peers/peerFrames.js';
import { encodePeerFrame, PeerFrameReader } from '../peers/peerFrameCodec.js';
import { PeerMesh } from '../peers/peerMesh.js';
import { TcpTransport } from '../peers/peerTransport.js';

const meshes: PeerMesh[] = [];
const timers: NodeJS.Timeout[] = [];
/** More heartbeats than can still be in flight on a link that goes silent. */
const MORE_THAN_IN_FLIGHT = 50;
const proxies = new Set<SilenceableProxy>();

afterEach(() => {
  for (const timer of timers.splice(0)) clearInterval(timer);
  for (const mesh of meshes.splice(0)) mesh.close();
  for (const proxy of proxies) proxy.close();
  proxies.clear();
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
  received: PeerFrame[] = [],
  port = 0,
  advertisedAddress?: string,
  now: () => number = () => performance.now(),
): Promise<PeerMesh> {
  const handlers = {
    createHeartbeat: () => createHeartbeat(advertisedAddress ?? mesh.address),
    onFrameRead: () => {},
    onFrame: (frame: PeerFrame) => void received.push(frame),
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
  timers.push(setInterval(() => mesh.broadcast(createHeartbeat(advertisedAddress ?? mesh.address)), 20));
  return mesh;
}

/** A TCP proxy that can stop forwarding on its open connections without closing them. */
class SilenceableProxy {
  connections = 0;
  private readonly sockets: Socket[] = [];
  private readonly server: Server;

  targetPort = 0;

  constructor() {
    this.server = createServer((socket) => {
      this.connections += 1;
      const upstream = connect(this.targetPort, '127.0.0.1');
      socket.pipe(upstream).pipe(socket);
      for (const end of [socket, upstream]) end.on('error', () => end.destroy());
      this.sockets.push(socket, upstream);
      proxies.add(this);
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
  // The timer must not keep the process alive after the test has timed out.
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 10).unref());
}

test('boxes that share a seed discover each other', async () => {
  const seed = await startMesh([]);
  const others = await Promise.all([startMesh([seed.address]), startMesh([seed.address])]);
  const allMeshes = [seed, ...others];
  await waitUntil(() => allMeshes.every((mesh) => mesh.countBoxes() === 3));
  // A box is counted as soon as it has responded; its loads arrive only with its own heartbeat.
  await waitUntil(() => allMeshes.every((mesh) => mesh.listRecentlySeen().length === 2));
  expect(others[0]?.listRecentlySeen().map((peer) => peer.heartbeat.loads)).toEqual([
    [4_000_000_000, 2],
    [4_000_000_000, 2],
  ]);
});

test('a seed that was never seen counts as a box, because it may spend from the same budget', async () => {
  const mesh = await startMesh(['127.0.0.1:9', '127.0.0.1:10', '127.0.0.1:11']);
  expect(mesh.countBoxes()).toBe(3);
});

test('frames of a box that restarts at its address are received again', async () => {
  const first = await startMesh([]);
  const second = await startMesh([first.address]);
  await waitUntil(() => first.countBoxes() === 2);
  const port = Number(second.address.split(':')[1]);
  second.close();
  const received: PeerFrame[] = [];
  await startMesh([first.address], received, port);
  await waitUntil(() => received.length > 0);
});

test('a seed that was down for longer than a network partition usually lasts is discovered again', async () => {
  // The clock runs fifty times as fast, and skips the downtime.
  let jumpMs = 40_000;
  const startedAtMs = performance.now();
  const now = (): number => startedAtMs + (performance.now() - startedAtMs) * 50 + jumpMs;
  const earlierSeed = await startMesh([]);
  const port = Number(earlierSeed.address.split(':')[1]);
  earlierSeed.close();
  const box = await startMesh([`127.0.0.1:${port}`], [], 0, undefined, now);
  jumpMs += 40_000;
  box.broadcast(createHeartbeat(box.address));
  await startMesh([], [], port, undefined, now);
  await waitUntil(() => box.listRecentlySeen().length === 1);
});

test('frames are decoded from any chunks, and bytes of other protocols are rejected', () => {
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

test('a link that goes silent without a reset is reconnected, even if frames of the peer still arrive', async () => {
  const proxy = new SilenceableProxy();
  await proxy.listen();
  // The first box advertises the address of the proxy, so that the link of the second box to it leads through the proxy.
  const receivedByFirst: PeerFrame[] = [];
  const first = await startMesh([], receivedByFirst, 0, proxy.address);
  proxy.targetPort = Number(first.address.split(':')[1]);
  const second = await startMesh([proxy.address]);
  await waitUntil(() => second.listReachable().length === 1);
  proxy.silence();
  receivedByFirst.length = 0;
  const countReceived = (): number =>
    receivedByFirst.filter((frame) => frame.type === 'heartbeat' && frame.address === second.address).length;
  await waitUntil(() => countReceived() >= MORE_THAN_IN_FLIGHT);
  expect(countReceived()).toBeGreaterThanOrEqual(MORE_THAN_IN_FLIGHT);
});
