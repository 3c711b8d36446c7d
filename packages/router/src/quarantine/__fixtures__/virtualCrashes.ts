/** A virtual fleet whose callers send requests that crash the endpoint that runs them; boxes tell each other as they ship. */
import { createHasher } from '@hazelwalk/core';
import { createRandom, drawExponential } from '@hazelwalk/standins';
import type { VirtualBox, VirtualProgram } from '../../membership/__fixtures__/virtualFleet.js';
import { VirtualFleet } from '../../membership/__fixtures__/virtualFleet.js';
import type { RouterFrame } from '../../peers/peerFrames.js';
import type { PeerMesh } from '../../peers/peerMesh.js';
import { QUARANTINE_THRESHOLD, Quarantine } from '../quarantine.js';
import type { CrashSnapshot, QuarantineRelayOptions } from '../quarantineRelay.js';
import { QuarantineRelay } from '../quarantineRelay.js';

/** From sending a request until its endpoint crashes: a wait in its queue, and a run. */
const LEAST_RUN_MS = 60;
const MEAN_WAIT_MS = 150;
const MS_PER_S = 1_000;

class CrashProgram implements VirtualProgram {
  readonly quarantine: Quarantine;
  readonly relay: QuarantineRelay;

  constructor(
    box: VirtualBox,
    mesh: PeerMesh,
    shared: Pick<QuarantineRelayOptions, 'rank' | 'now' | 'random'>,
  ) {
    this.quarantine = new Quarantine(shared.now, () => {});
    this.relay = new QuarantineRelay({ ...shared, mesh, quarantine: this.quarantine, hall: box.hall });
  }

  handleFrame(frame: RouterFrame): void {
    if (frame.type === 'crashNews') this.relay.handleCrashReports(frame);
    if (frame.type === 'heartbeat') this.relay.handleHeartbeat(frame);
  }

  tick(): void {
    this.relay.tick();
  }

  listLoads(): number[] {
    return [];
  }

  createCrashSnapshot(): CrashSnapshot {
    return this.relay.createSnapshot();
  }
}

/** What a crashing request did. */
interface Tally {
  crashes: number;
  /** When the third endpoint crashed. */
  condemnedAtMs: number | undefined;
  readonly sentAtMs: number[];
}

/** A fleet with requests that crash their endpoints. */
export class VirtualCrashes {
  fleet!: VirtualFleet;
  private readonly programs = new WeakMap<VirtualBox, CrashProgram>();
  private readonly tallies = new Map<string, Tally>();
  private nextEndpointTag = 1;

  private constructor(
    private readonly rank: (address: string) => number,
    private readonly random: () => number,
  ) {}

  /** Creates a fleet whose boxes have met. */
  static async create(boxes: number, halls: number, seed: number): Promise<VirtualCrashes> {
    const hasher = await createHasher();
    const crashes = new VirtualCrashes((address) => hasher.h32(address), createRandom(seed + 1));
    const createProgram = (box: VirtualBox, mesh: PeerMesh): VirtualProgram =>
      crashes.createProgram(box, mesh);
    crashes.fleet = await VirtualFleet.create({ boxes, halls, seed, createProgram });
    await crashes.fleet.run(8);
    return crashes;
  }

  /** Callers send this request from now on, so many times a second, to boxes drawn at random. */
  keepSending(content: string, perS: number): void {
    this.fleet.timeline.after(drawExponential(this.random, MS_PER_S / perS), () => {
      const boxes = this.fleet.listRunning();
      const box = boxes[Math.floor(this.random() * boxes.length)];
      if (box !== undefined) this.sendAt(box, content);
      this.keepSending(content, perS);
    });
  }

  /** A caller sends the request to a box; true if the box sends it to an endpoint. */
  sendAt(box: VirtualBox, content: string): boolean {
    const { quarantine } = this.findProgram(box);
    if (quarantine.readRemainingMs(content) > 0) return false;
    const { timeline } = this.fleet;
    const judgedInMs = quarantine.readDecisionDelayMs(content);
    if (judgedInMs > 0) {
      timeline.after(judgedInMs, () => this.sendAt(box, content));
      return false;
    }
    const sentAtMs = timeline.nowMs;
    const tally = this.findTally(content);
    tally.sentAtMs.push(sentAtMs);
    const endpointTag = (this.nextEndpointTag += 1);
    timeline.after(LEAST_RUN_MS + drawExponential(this.random, MEAN_WAIT_MS), () => {
      tally.crashes += 1;
      if (tally.crashes === QUARANTINE_THRESHOLD) tally.condemnedAtMs = timeline.nowMs;
      const isThere = this.fleet.network.readMachine(box.address).state === 'running';
      if (!isThere) return;
      const { relay } = this.findProgram(box);
      relay.recordCrash(content, { endpointTag, sentAtMs, endedAtMs: timeline.nowMs });
    });
    return true;
  }

  /** Times that the request was sent to an endpoint later than this after it had crashed the third. */
  countSentAfter(content: string, ms: number): number {
    const { condemnedAtMs, sentAtMs } = this.findTally(content);
    if (condemnedAtMs === undefined)
      throw new Error(`${content} has not crashed ${QUARANTINE_THRESHOLD} endpoints`);
    return sentAtMs.filter((atMs) => atMs > condemnedAtMs + ms).length;
  }

  /** Endpoints that the request crashed. */
  countCrashes(content: string): number {
    return this.findTally(content).crashes;
  }

  /** How long after the third crash the request was last sent to an endpoint. */
  readLastSendMs(content: string): number {
    const { condemnedAtMs = 0, sentAtMs } = this.findTally(content);
    return Math.max(0, (sentAtMs.at(-1) ?? 0) - condemnedAtMs);
  }

  /** Boxes that do not know yet that a request is not to be sent. */
  countUnaware(content: string): number {
    return this.fleet
      .listRunning()
      .filter((box) => this.findProgram(box).quarantine.readRemainingMs(content) === 0).length;
  }

  /** An endpoint answers the request whole, by way of this box. */
  answerAt(box: VirtualBox, content: string): void {
    this.findProgram(box).relay.recordSuccess(content);
  }

  private createProgram(box: VirtualBox, mesh: PeerMesh): VirtualProgram {
    const { rank, random } = this;
    const now = (): number => this.fleet.timeline.nowMs;
    const program = new CrashProgram(box, mesh, { rank, random, now });
    this.programs.set(box, program);
    return program;
  }

  private findProgram(box: VirtualBox): CrashProgram {
    const program = this.programs.get(box);
    if (program === undefined) throw new Error(`no program at ${box.address}`);
    return program;
  }

  private findTally(content: string): Tally {
    let tally = this.tallies.get(content);
    if (tally === undefined) {
      tally = { crashes: 0, condemnedAtMs: undefined, sentAtMs: [] };
      this.tallies.set(content, tally);
    }
    return tally;
  }
}
