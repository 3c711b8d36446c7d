/** A virtual fleet, with the production quarantine code, whose callers send requests that crash their endpoints. */
import { createHasher } from '@hazelwalk/core';
import { createRandom, drawExponential } from '@hazelwalk/standins';
import type { VirtualBox, VirtualProgram } from '../../membership/__fixtures__/virtualFleet.js';
import { VirtualFleet } from '../../membership/__fixtures__/virtualFleet.js';
import type { RouterFrame } from '../../peers/peerFrames.js';
import type { PeerMesh } from '../../peers/peerMesh.js';
import { Quarantine, QUARANTINE_THRESHOLD } from '../quarantine.js';
import type { CrashSnapshot, QuarantineRelayOptions } from '../quarantineRelay.js';
import { QuarantineRelay } from '../quarantineRelay.js';

/** Least time from sending a request until its endpoint crashes, and the mean of the time that it is queued besides. */
const MIN_RUN_MS = 60;
const MEAN_QUEUE_MS = 150;
const MS_PER_S = 1_000;

/** The quarantine of one box. */
export class CrashProgram implements VirtualProgram {
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

/** Crashes and sends of one request. */
interface Tally {
  crashes: number;
  /** Time of the crash that reaches the quarantine threshold. */
  thirdCrashAtMs: number | undefined;
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

  /** Creates a fleet whose boxes are connected. */
  static async create(boxes: number, halls: number, seed: number): Promise<VirtualCrashes> {
    const hasher = await createHasher();
    const crashes = new VirtualCrashes((address) => hasher.h32(address), createRandom(seed + 1));
    const createProgram = (box: VirtualBox, mesh: PeerMesh): VirtualProgram =>
      crashes.createProgram(box, mesh);
    crashes.fleet = await VirtualFleet.create({ boxes, halls, seed, createProgram });
    await crashes.fleet.run(8);
    return crashes;
  }

  /** Sends a request from now on at an average rate, to boxes drawn at random. */
  keepSending(fingerprint: string, perS: number): void {
    this.fleet.timeline.after(drawExponential(this.random, MS_PER_S / perS), () => {
      const boxes = this.fleet.listRunning();
      const box = boxes[Math.floor(this.random() * boxes.length)];
      if (box !== undefined) this.sendAt(box, fingerprint);
      this.keepSending(fingerprint, perS);
    });
  }

  /** Sends a request to a box; returns true if the box sends it to an endpoint. */
  sendAt(box: VirtualBox, fingerprint: string): boolean {
    const { quarantine } = this.findProgram(box);
    if (quarantine.readRemainingMs(fingerprint) > 0) return false;
    const { timeline } = this.fleet;
    const decisionDelayMs = quarantine.readDecisionDelayMs(fingerprint);
    if (decisionDelayMs > 0) {
      timeline.after(decisionDelayMs, () => this.sendAt(box, fingerprint));
      return false;
    }
    const sentAtMs = timeline.nowMs;
    const tally = this.findTally(fingerprint);
    tally.sentAtMs.push(sentAtMs);
    const endpointTag = (this.nextEndpointTag += 1);
    timeline.after(MIN_RUN_MS + drawExponential(this.random, MEAN_QUEUE_MS), () => {
      tally.crashes += 1;
      if (tally.crashes === QUARANTINE_THRESHOLD) tally.thirdCrashAtMs = timeline.nowMs;
      const isRunning = this.fleet.network.readMachine(box.address).state === 'running';
      if (!isRunning) return;
      const { relay } = this.findProgram(box);
      relay.recordCrash(fingerprint, { endpointTag, sentAtMs, endedAtMs: timeline.nowMs });
    });
    return true;
  }

  /** How often a request was sent to an endpoint later than this after its third crash. */
  countSentAfter(fingerprint: string, ms: number): number {
    const { thirdCrashAtMs, sentAtMs } = this.findTally(fingerprint);
    if (thirdCrashAtMs === undefined)
      throw new Error(`${fingerprint} has not crashed ${QUARANTINE_THRESHOLD} endpoints`);
    return sentAtMs.filter((atMs) => atMs > thirdCrashAtMs + ms).length;
  }

  /** Number of endpoints that a request crashed. */
  countCrashes(fingerprint: string): number {
    return this.findTally(fingerprint).crashes;
  }

  /** How long after its third crash a request was last sent to an endpoint. */
  readLastSendMs(fingerprint: string): number {
    const { thirdCrashAtMs = 0, sentAtMs } = this.findTally(fingerprint);
    return Math.max(0, (sentAtMs.at(-1) ?? 0) - thirdCrashAtMs);
  }

  /** Number of running boxes at which a request is not in quarantine. */
  countSending(fingerprint: string): number {
    return this.fleet
      .listRunning()
      .filter((box) => this.findProgram(box).quarantine.readRemainingMs(fingerprint) === 0).length;
  }

  /** Records a complete response to a request at a box. */
  completeAt(box: VirtualBox, fingerprint: string): void {
    this.findProgram(box).relay.recordSuccess(fingerprint);
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

  private findTally(fingerprint: string): Tally {
    let tally = this.tallies.get(fingerprint);
    if (tally === undefined) {
      tally = { crashes: 0, thirdCrashAtMs: undefined, sentAtMs: [] };
      this.tallies.set(fingerprint, tally);
    }
    return tally;
  }
}
