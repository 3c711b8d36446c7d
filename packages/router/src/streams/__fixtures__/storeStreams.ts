/** A virtual fleet whose boxes read a virtual store, begin streams at what they list and take up streams of others. */
import { createHasher } from '@hazelwalk/core';
import { createRandom } from '@hazelwalk/standins';
import type { VirtualBox } from '../../membership/__fixtures__/virtualFleet.js';
import { VirtualFleet } from '../../membership/__fixtures__/virtualFleet.js';
import { RouterMetrics } from '../../observability/metrics.js';
import { StoreProgram } from './storeProgram.js';
import { SERVICE, VirtualStore } from './virtualStore.js';
import type { TakenUp } from './virtualStreams.js';
import { judge } from './virtualStreams.js';

/** Size and settings of a fleet. */
export interface StoreFleetPlan {
  readonly boxes: number;
  readonly halls: number;
  readonly seed: number;
  /** Time within which a published change has to be in force. */
  readonly applyBoundMs: number;
  /** Time that the fleet runs before anything happens; by default longer than streams can be taken up. */
  readonly settleS?: number;
}

/** A stream that a caller has seen the first event of. */
interface BegunStream {
  readonly key: number;
  readonly version: string;
  readonly box: VirtualBox;
  isTaken: boolean;
}

/** The fleet, its store and its streams. */
export class StoreStreams {
  fleet!: VirtualFleet;
  store!: VirtualStore;
  readonly random: () => number;
  /** Streams that callers took up, by the version that began them. */
  readonly taken = new Map<string, TakenUp>();
  private readonly programs = new WeakMap<VirtualBox, StoreProgram>();
  private readonly begun: BegunStream[] = [];
  private nextKey = 1;

  private constructor(seed: number) {
    this.random = createRandom(seed);
  }

  static async create({
    boxes,
    halls,
    seed,
    applyBoundMs,
    settleS = 36,
  }: StoreFleetPlan): Promise<StoreStreams> {
    const streams = new StoreStreams(seed);
    const hasher = await createHasher();
    const metrics = new RouterMetrics();
    const hash = (text: string): number => hasher.h32(text);
    streams.fleet = await VirtualFleet.create({
      boxes,
      halls,
      seed,
      createProgram: (box, mesh) => {
        const { network } = streams.fleet;
        const { run } = network.readMachine(box.address);
        const isRunning = (): boolean => {
          const machine = network.readMachine(box.address);
          return machine.run === run && (machine.state === 'running' || machine.state === 'paused');
        };
        const act = (action: () => void): void => network.actIn(box.address, run, action);
        const { store } = streams;
        const program = new StoreProgram(box, mesh, { store, hash, isRunning, act, metrics, applyBoundMs });
        streams.programs.set(box, program);
        return program;
      },
    });
    streams.store = new VirtualStore(streams.fleet.timeline);
    streams.store.list('v1');
    await streams.fleet.run(settleS);
    return streams;
  }

  /** Begins a stream at each of some boxes, at an endpoint that the box would choose among. */
  beginAt(boxes: readonly VirtualBox[]): void {
    for (const box of boxes) {
      const program = this.find(box);
      const rows = program.listOpen();
      const row = rows[Math.floor(this.random() * rows.length)];
      const version = row?.listing.softwareVersion;
      if (version === undefined) continue;
      const stream = { key: this.nextKey, version, box, isTaken: false };
      this.nextKey += 1;
      program.streams.tracker.recordFirstEvent(stream.key, { service: SERVICE, softwareVersion: version });
      this.begun.push(stream);
    }
  }

  /** Callers take up, all at once, the streams for which `isBroken` holds, at boxes that run and do not have them. */
  takeUp(isBroken: (stream: { readonly version: string; readonly box: VirtualBox }) => boolean): void {
    for (const stream of this.begun) {
      if (stream.isTaken || !isBroken(stream)) continue;
      stream.isTaken = true;
      const boxes = this.fleet.listRunning().filter((box) => box !== stream.box);
      const box = boxes[Math.floor(this.random() * boxes.length)];
      if (box === undefined) continue;
      const counts = this.taken.get(stream.version) ?? { right: 0, wrong: 0, unknown: 0 };
      this.taken.set(stream.version, counts);
      this.find(box).streams.lookup.find({ key: stream.key, service: SERVICE }, (result) => {
        counts[judge(result, stream.version)] += 1;
      });
    }
  }

  /**
   * Begins streams while one or two versions serve, kills all boxes at once and starts them again a second later; then callers
   * take up all streams.
   *
   * @returns number of streams
   */
  async restartAll(versions: number): Promise<number> {
    const { fleet } = this;
    if (versions === 2) this.store.list('v2');
    await fleet.run(2);
    for (let round = 0; round < 4; round += 1) this.beginAt(fleet.boxes);
    await fleet.run(1);
    for (const box of fleet.boxes) fleet.stop(box, 'killed');
    await fleet.run(1);
    for (const box of fleet.boxes) fleet.restart(box);
    await fleet.run(3);
    this.takeUp(() => true);
    await fleet.run(1);
    return this.begun.length;
  }

  count(kind: keyof TakenUp): number {
    return [...this.taken.values()].reduce((sum, counts) => sum + counts[kind], 0);
  }

  find(box: VirtualBox): StoreProgram {
    const program = this.programs.get(box);
    if (program === undefined) throw new Error(`no program at ${box.address}`);
    return program;
  }
}
