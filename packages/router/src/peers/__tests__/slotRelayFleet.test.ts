import { createHasher } from '@hazelwalk/core';
import type { VirtualBox, VirtualProgram } from '../../membership/__fixtures__/virtualFleet.js';
import { VirtualFleet } from '../../membership/__fixtures__/virtualFleet.js';
import { SlotClient } from '../../admission/slotClient.js';
import { FirstComeScheduler } from '../__fixtures__/firstComeScheduler.js';
import type { RouterFrame } from '../peerFrames.js';
import type { PeerMesh } from '../peerMesh.js';
import { SlotRelay } from '../slotRelay.js';

const REQUEST_INTERVAL_MS = 500;
const HOLD_MS = 30;
const SLOTS = 40;

/** Requests a slot twice a second, and counts the frames about slots that it sends and receives. */
class SlotProgram implements VirtualProgram {
  frames = 0;
  served = 0;
  unserved = 0;
  readonly scheduler = new FirstComeScheduler();
  private readonly relay: SlotRelay;
  private readonly client: SlotClient;
  private requestedAtMs = 0;

  constructor(
    box: VirtualBox,
    mesh: PeerMesh,
    hash: (text: string) => number,
    private readonly fleet: VirtualFleet,
  ) {
    const { timeline } = fleet;
    this.relay = new SlotRelay({
      mesh: {
        address: box.address,
        get isFullMesh() {
          return mesh.isFullMesh;
        },
        listReachable: () => mesh.listReachable(),
        send: (to, frame) => {
          this.frames += 1;
          mesh.send(to, frame);
        },
      },
      hall: box.hall,
      scheduling: this.scheduler,
      hash,
      now: () => timeline.nowMs,
      defer: (callback) => timeline.after(0, callback),
      isAble: () => true,
      listEndpoints: () => [{ tag: 1, slotsInEffect: SLOTS, reportedInFlight: 0 }],
      onAnswer: (answer) => this.client.handleAnswer(answer),
      onHopChange: ({ service, isPreviousLost }) => isPreviousLost && this.client.repeatWaiting(service),
    });
    this.client = new SlotClient({
      relay: this.relay,
      readAddress: () => box.address,
      now: () => timeline.nowMs,
      schedule: (delayMs, callback) => {
        let isCancelled = false;
        timeline.after(delayMs, () => !isCancelled && callback());
        return () => (isCancelled = true);
      },
      afterReads: (callback) => timeline.after(0, callback),
      firstNumber: 1,
      onEvent: () => {},
    });
  }

  handleFrame(frame: RouterFrame): void {
    if (frame.type === 'slotRequests') this.relay.handleRequests(frame);
    else if (frame.type === 'slotAnswers') this.relay.handleAnswers(frame);
    else if (frame.type === 'slotReleases') this.relay.handleReleases(frame);
    else return;
    this.frames += 1;
  }

  tick(): void {
    const { nowMs } = this.fleet.timeline;
    this.relay.tick(nowMs);
    if (nowMs - this.requestedAtMs < REQUEST_INTERVAL_MS) return;
    this.requestedAtMs = nowMs;
    this.request(nowMs);
  }

  listLoads(): number[] {
    return [];
  }

  private request(nowMs: number): void {
    const request = this.client.apply({
      needsSlot: false,
      latestStartAtMs: nowMs + 1_000,
      request: {
        service: 'app',
        rank: 0,
        team: '',
        isOnce: true,
        hasPrompt: false,
        arrivedAtMs: nowMs,
        targetAtMs: nowMs + 200,
        expiresAtMs: nowMs + 1_000,
        readContent: () => 'content',
        listPreferred: () => [],
        listExcluded: () => [],
      },
      onDecision: (decision) => {
        if (decision.type === 'proceed' && decision.endpointTag !== undefined) this.served += 1;
        else this.unserved += 1;
        this.fleet.timeline.after(HOLD_MS, () => request.release('served'));
      },
    });
  }
}

interface Measured {
  readonly served: number;
  readonly unserved: number;
  /** Boxes that granted slots. */
  readonly schedulers: number;
  /** Frames about slots that a box that is no leader sent and received per second. */
  readonly framesPerS: number;
}

/** Runs a fleet until it has settled, then measures for five seconds. */
async function measure(boxes: number): Promise<Measured> {
  const hasher = await createHasher();
  const fleet: VirtualFleet = await VirtualFleet.create({
    boxes,
    halls: 4,
    seed: 7,
    createProgram: (box, mesh) => new SlotProgram(box, mesh, (text) => hasher.h32(text), fleet),
  });
  await fleet.run(15);
  const measured = fleet.boxes.map(({ address, hall, program }) => {
    const peers = fleet.listHall(hall).map((peer) => fleet.rank(peer.address));
    const isLeader = Math.min(...peers) === fleet.rank(address);
    const counts = program as SlotProgram;
    Object.assign(counts, { frames: 0, served: 0, unserved: 0 });
    return { isLeader, counts };
  });
  await fleet.run(5);
  const others = measured.filter(({ isLeader }) => !isLeader).map(({ counts }) => counts.frames);
  const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);
  return {
    served: sum(measured.map(({ counts }) => counts.served)),
    unserved: sum(measured.map(({ counts }) => counts.unserved)),
    schedulers: measured.filter(({ counts }) => counts.scheduler.grants.size > 0).length,
    framesPerS: sum(others) / others.length / 5,
  };
}

test('two requests a second at each of 65 and of 130 boxes: one box schedules, and a box that is no leader sends and receives as many frames in both', async () => {
  const small = await measure(65);
  const large = await measure(130);
  for (const [{ served, unserved, schedulers }, boxes] of [
    [small, 65],
    [large, 130],
  ] as const) {
    expect(unserved).toBe(0);
    expect(served).toBeGreaterThan(boxes * 8);
    expect(schedulers).toBeLessThanOrEqual(1);
  }
  // A request, its answer and its release, twice a second.
  expect(small.framesPerS).toBeLessThan(7);
  expect(large.framesPerS).toBeLessThan(7);
});
