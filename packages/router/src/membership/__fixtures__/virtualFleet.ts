/** Many boxes in virtual time, each with the membership that ships, without sockets. */
import { createHasher } from '@hazelwalk/core';
import { createRandom, Timeline } from '@hazelwalk/standins';
import type { Heartbeat, RouterFrame } from '../../peers/peerFrames.js';
import { PeerMesh } from '../../peers/peerMesh.js';
import type { CrashSnapshot } from '../../quarantine/quarantineRelay.js';
import { VirtualNetwork } from './virtualNetwork.js';

/** Pace of the boxes' loops. */
const TICK_MS = 50;
/** Boxes of a fleet that starts are up within this. */
const START_SPREAD_MS = 300;
const MS_PER_S = 1_000;

/** What runs in a box on top of its membership; a new one for each run of its process. */
export interface VirtualProgram {
  handleFrame(frame: RouterFrame): void;
  tick(): void;
  /** Loads that heartbeats of a small fleet carry. */
  listLoads(): number[];
  /** What is told on a new link of requests that crash their endpoints. */
  createCrashSnapshot?(): CrashSnapshot;
  /** What a heartbeat tells besides, each time. */
  createDemandReport?(): Pick<Heartbeat, 'prompts'>;
}

/** One box. */
export interface VirtualBox {
  readonly address: string;
  readonly hall: string;
  mesh: PeerMesh;
  program: VirtualProgram | undefined;
  /** Boxes of its hall that it found to be down, and when. */
  readonly downAtMs: Map<string, number>;
}

/** How a fleet is laid out. */
export interface FleetPlan {
  readonly boxes: number;
  readonly halls: number;
  readonly seed: number;
  /** How many boxes are named to every box as those to turn to first. */
  readonly seeds?: number;
  /** Creates what runs on top of membership; left out: nothing. */
  readonly createProgram?: (box: VirtualBox, mesh: PeerMesh) => VirtualProgram;
}

/** A fleet. */
export class VirtualFleet {
  readonly timeline = new Timeline();
  readonly network = new VirtualNetwork(this.timeline);
  readonly boxes: VirtualBox[] = [];
  private readonly random: () => number;
  private readonly seedAddresses: string[];

  private constructor(
    private readonly plan: FleetPlan,
    private readonly hash: (text: string) => number,
  ) {
    this.random = createRandom(plan.seed);
    const places = Array.from({ length: plan.boxes }, (_, at) => createPlace(at, plan.halls));
    this.seedAddresses = places.slice(0, plan.seeds ?? 3).map((place) => place.address);
    // Until its process listens a machine refuses connections.
    for (const place of places) this.network.setState(place.address, 'killed');
    for (const place of places) this.timeline.after(this.random() * START_SPREAD_MS, () => this.add(place));
  }

  /** Creates a fleet whose boxes start within a moment. */
  static async create(plan: FleetPlan): Promise<VirtualFleet> {
    const hasher = await createHasher();
    return new VirtualFleet(plan, (text) => hasher.h32(text));
  }

  /** Lets time pass. */
  async run(seconds: number): Promise<void> {
    const endMs = this.timeline.nowMs + seconds * MS_PER_S;
    // Binding is asynchronous: it gets its turn between the steps.
    while (this.timeline.nowMs < endMs) {
      this.timeline.run(Math.min(endMs, this.timeline.nowMs + TICK_MS));
      await Promise.resolve();
      await Promise.resolve();
    }
  }

  /** Boxes of a hall whose processes run. */
  listHall(hall: string): VirtualBox[] {
    return this.listRunning().filter((box) => box.hall === hall);
  }

  listRunning(): VirtualBox[] {
    return this.boxes.filter((box) => this.network.readMachine(box.address).state === 'running');
  }

  /** The process of a box ends; connections to it are reset, or say nothing if its machine lost power. */
  stop(box: VirtualBox, how: 'killed' | 'dark'): void {
    this.network.setState(box.address, how);
    if (how === 'killed') box.mesh.close();
  }

  /** Starts a box that was stopped: it knows nothing of its former run. */
  restart(box: VirtualBox): void {
    box.downAtMs.clear();
    box.mesh = this.startMesh(box);
  }

  /** Rank of an address, as the boxes see it. */
  rank(address: string): number {
    return this.hash(address);
  }

  find(address: string): VirtualBox {
    const box = this.boxes.find((one) => one.address === address);
    if (box === undefined) throw new Error(`no box at ${address}`);
    return box;
  }

  isSeed(address: string): boolean {
    return this.seedAddresses.includes(address);
  }

  /** Adds a box to the fleet. */
  addNew(hall: string): VirtualBox {
    return this.add({ address: `10.9.${this.boxes.length >> 8}.${this.boxes.length & 255}:7340`, hall });
  }

  private add(place: { readonly address: string; readonly hall: string }): VirtualBox {
    const box = { ...place, downAtMs: new Map<string, number>() } as VirtualBox;
    this.boxes.push(box);
    box.mesh = this.startMesh(box);
    return box;
  }

  private startMesh(box: VirtualBox): PeerMesh {
    const { timeline, network } = this;
    const { address, hall } = box;
    const transport = network.startRun(address);
    const { run } = network.readMachine(address);
    const createHeartbeat = (): Heartbeat => ({
      type: 'heartbeat',
      hall,
      feed: 'able',
      linkMbps: 1_000,
      address,
      boxes: mesh.countBoxes(),
      configurationVersion: 1,
      endpointsRevision: 1,
      era: 0,
      loads: mesh.isFullMesh ? (box.program?.listLoads() ?? []) : [],
      homes: [],
      incarnation: mesh.incarnation,
      isStopping: false,
    });
    const mesh: PeerMesh = new PeerMesh(
      {
        hall,
        seeds: this.seedAddresses,
        transport,
        now: () => timeline.nowMs,
        random: this.random,
        rank: this.hash,
        firstIncarnation: timeline.nowMs,
      },
      {
        createHeartbeat: () => ({ ...createHeartbeat(), ...box.program?.createCrashSnapshot?.() }),
        onFrameRead: () => {},
        onFrame: (frame) => box.program?.handleFrame(frame),
        onProblem: () => {},
        onStateChange: (other, standing) => {
          if (standing === 'down') box.downAtMs.set(other, timeline.nowMs);
          else box.downAtMs.delete(other);
        },
      },
    );
    box.program = this.plan.createProgram?.(box, mesh);
    void mesh.listen('', 0);
    this.keepTicking(box, run, mesh, createHeartbeat);
    return mesh;
  }

  private keepTicking(box: VirtualBox, run: number, mesh: PeerMesh, createHeartbeat: () => Heartbeat): void {
    let heartbeatAtMs = -Infinity;
    const tick = (): void => {
      const machine = this.network.readMachine(box.address);
      if (machine.run !== run || machine.state === 'dark' || machine.state === 'killed') return;
      if (machine.state === 'running') {
        mesh.tick();
        box.program?.tick();
        if (this.timeline.nowMs - heartbeatAtMs >= mesh.heartbeatIntervalMs) {
          heartbeatAtMs = this.timeline.nowMs;
          mesh.broadcast({ ...createHeartbeat(), ...box.program?.createDemandReport?.() });
        }
      }
      this.timeline.after(TICK_MS, tick);
    };
    this.timeline.after(this.random() * TICK_MS, tick);
  }
}

function createPlace(at: number, halls: number): { readonly address: string; readonly hall: string } {
  const hall = at % halls;
  return { address: `10.${hall}.${at >> 8}.${at & 255}:7340`, hall: `hall-${hall}` };
}
