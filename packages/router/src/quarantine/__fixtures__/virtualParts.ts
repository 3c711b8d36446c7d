/** A virtual fleet, with the production quarantine code, in front of engines that crash when they read a harmful part of a prompt. */
import { createHasher } from '@hazelwalk/core';
import { createRandom, drawExponential } from '@hazelwalk/standins';
import type { VirtualBox, VirtualProgram } from '../../membership/__fixtures__/virtualFleet.js';
import { VirtualFleet } from '../../membership/__fixtures__/virtualFleet.js';
import type { PeerMesh } from '../../peers/peerMesh.js';
import type { BlamedRequest } from '../blamedRequest.js';
import { CrashProgram } from './virtualCrashes.js';

const ENGINES = 13;
const ATTEMPTS = 2;
/** Time from sending a request until its engine begins to answer, and the mean time that the answer takes. */
const PREFILL_MS = 60;
const MEAN_ANSWER_MS = 800;
/** From the end of an engine until its connections are found to be refused. */
const CHECK_MS = 10;
const MEAN_DOWN_MS = 2_000;
const MS_PER_S = 1_000;

/** A request of a caller. */
export interface PartRequest {
  readonly caller: string;
  /** Shared parts of its prompt. */
  readonly parts: readonly string[];
}

interface Run {
  readonly box: VirtualBox;
  readonly request: BlamedRequest;
  readonly parts: PartRequest;
  readonly sentAtMs: number;
  readonly attempts: number;
}

/** What became of a group of requests. */
export interface PartTally {
  sent: number;
  served: number;
  refused: number;
  /** Times at which they reached engines. */
  readonly arrivedAtMs: number[];
}

/** A fleet, engines and their requests. */
export class VirtualParts {
  fleet!: VirtualFleet;
  /** Times at which harmful parts crashed engines. */
  readonly crashedAtMs: number[] = [];
  private readonly programs = new WeakMap<VirtualBox, CrashProgram>();
  private readonly runs = Array.from({ length: ENGINES }, () => new Set<Run>());
  private readonly tags = Array.from({ length: ENGINES }, (_, engine) => engine);
  private readonly isDown = Array.from({ length: ENGINES }, () => false);
  private readonly tallies = new Map<string, PartTally>();
  private sentCount = 0;

  private constructor(
    private readonly hash: (text: string) => number,
    private readonly random: () => number,
    private readonly harmful: ReadonlySet<string>,
  ) {}

  /** Creates a fleet whose boxes are connected. */
  static async create(
    boxes: number,
    halls: number,
    seed: number,
    harmful: readonly string[],
  ): Promise<VirtualParts> {
    const hasher = await createHasher();
    const parts = new VirtualParts((text) => hasher.h32(text), createRandom(seed + 1), new Set(harmful));
    const createProgram = (box: VirtualBox, mesh: PeerMesh): VirtualProgram => {
      const now = (): number => parts.fleet.timeline.nowMs;
      const program = new CrashProgram(box, mesh, { rank: parts.hash, now, random: parts.random });
      parts.programs.set(box, program);
      return program;
    };
    parts.fleet = await VirtualFleet.create({ boxes, halls, seed, createProgram });
    await parts.fleet.run(8);
    return parts;
  }

  /** Sends requests of a group at an average rate until a time, no two alike. */
  keepSending(group: string, perS: number, untilMs: number, create: () => PartRequest): void {
    const { timeline } = this.fleet;
    timeline.after(drawExponential(this.random, MS_PER_S / perS), () => {
      if (timeline.nowMs >= untilMs) return;
      const boxes = this.fleet.listRunning();
      const box = boxes[Math.floor(this.random() * boxes.length)];
      const parts = create();
      this.sentCount += 1;
      const request = { caller: parts.caller, fingerprints: [`whole-${this.sentCount}`, ...parts.parts] };
      this.findTally(group).sent += 1;
      if (box !== undefined) this.send(group, { box, request, parts, sentAtMs: 0, attempts: 0 });
      this.keepSending(group, perS, untilMs, create);
    });
  }

  /** Ends an engine for another reason than a request. */
  crashAnyEngine(): void {
    this.crash(Math.floor(this.random() * ENGINES));
  }

  findTally(group: string): PartTally {
    const known = this.tallies.get(group) ?? { sent: 0, served: 0, refused: 0, arrivedAtMs: [] };
    this.tallies.set(group, known);
    return known;
  }

  /** Draws a number below a limit. */
  draw(limit: number): number {
    return Math.floor(this.random() * limit);
  }

  private send(group: string, planned: Run): void {
    const { box, request, parts, attempts } = planned;
    const { timeline } = this.fleet;
    const program = this.findRunning(box);
    if (program === undefined) return;
    const { quarantine } = program;
    if (quarantine.readRequestRemainingMs(request) > 0) return void (this.findTally(group).refused += 1);
    const delayMs = quarantine.readRequestDecisionDelayMs(request);
    if (delayMs > 0) return timeline.after(delayMs, () => this.send(group, planned));
    const engine = this.chooseEngine(parts.parts);
    if (engine === undefined || attempts >= ATTEMPTS) return;
    const run = { ...planned, sentAtMs: timeline.nowMs, attempts: attempts + 1 };
    this.runs[engine]?.add(run);
    this.findTally(group).arrivedAtMs.push(timeline.nowMs);
    const isHarmful = parts.parts.some((part) => this.harmful.has(part));
    const answerMs = isHarmful ? 0 : drawExponential(this.random, MEAN_ANSWER_MS);
    timeline.after(PREFILL_MS + answerMs, () => this.endRun(group, engine, run, isHarmful));
  }

  private endRun(group: string, engine: number, run: Run, isHarmful: boolean): void {
    // Its engine ended meanwhile; its box sends it once more.
    if (this.runs[engine]?.has(run) !== true) return this.send(group, run);
    if (isHarmful) {
      this.crashedAtMs.push(this.fleet.timeline.nowMs);
      this.crash(engine);
      return this.fleet.timeline.after(CHECK_MS, () => this.send(group, run));
    }
    this.runs[engine].delete(run);
    this.findTally(group).served += 1;
    const program = this.findRunning(run.box);
    if (program?.quarantine.isEmpty !== false) return;
    for (const fingerprint of run.request.fingerprints) program.relay.recordSuccess(fingerprint);
  }

  private crash(engine: number): void {
    const { timeline } = this.fleet;
    if (this.isDown[engine] === true) return;
    this.isDown[engine] = true;
    const endedAtMs = timeline.nowMs;
    const endpointTag = this.tags[engine] ?? 0;
    for (const { box, request, sentAtMs } of this.runs[engine] ?? []) {
      timeline.after(CHECK_MS, () => {
        const run = { endpointTag, sentAtMs, endedAtMs };
        this.findRunning(box)?.relay.recordCrash(request.fingerprints[0] ?? '', run, request);
      });
    }
    this.runs[engine]?.clear();
    timeline.after(drawExponential(this.random, MEAN_DOWN_MS), () => {
      this.isDown[engine] = false;
      this.tags[engine] = (this.tags[engine] ?? 0) + ENGINES;
    });
  }

  /** The first engine that is up in the order of the prompt. */
  private chooseEngine(parts: readonly string[]): number | undefined {
    const rank = (engine: number): number => this.hash(`${parts.join()} ${engine}`);
    const up = Array.from({ length: ENGINES }, (_, engine) => engine).filter(
      (engine) => this.isDown[engine] !== true,
    );
    return up.sort((a, b) => rank(a) - rank(b))[0];
  }

  private findRunning(box: VirtualBox): CrashProgram | undefined {
    const isRunning = this.fleet.network.readMachine(box.address).state === 'running';
    return isRunning ? this.programs.get(box) : undefined;
  }
}
