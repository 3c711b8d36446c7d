/** Many boxes in virtual time, each with the production membership code, without sockets. */
import { createHasher } from '@hazelwalk/core';
import { createRandom, Timeline } from '@hazelwalk/standins';
import type { Heartbeat, RouterFrame } from '../../peers/peerFrames.js';
import type { Reply } from '../../peers/peerMesh.js';
import { PeerMesh } from '../../peers/peerMesh.js';
import type { CrashSnapshot } from '../../quarantine/quarantineRelay.js';
import { VirtualNetwork } from './virtualNetwork.js';

/** Tick interval of the boxes' loops. */
const TICK_MS = 50;
/** All boxes of a fleet start within this time. */
const START_SPREAD_MS = 300;
const MS_PER_S = 1_000;

/** The program of a box on top of its membership; each run of its process creates a new one. */
export interface VirtualProgram {
  handleFrame(frame: RouterFrame, reply: Reply): void;
  tick(): void;
  /** Loads that heartbeats carry in a full mesh. */
  listLoads(): number[];
  /** Crash reports sent on a new link. */
  createCrashSnapshot?(): CrashSnapshot;
  /** Prompt counts and paces added to each regular heartbeat. */
  createDemandReport?(): Pick<Heartbeat, 'prompts' | 'paces'>;
  /** What the box states of the platform in each heartbeat. */
  createPlatformReport?(): Partial<Heartbeat>;
}

/** A box of the fleet. */
export interface VirtualBox {
  readonly address: string;
  readonly hall: string;
  mesh: PeerMesh;
  program: VirtualProgram | undefined;
  /** Boxes of its hall that it takes to be down, and since when. */
  readonly downAtMs: Map<string, number>;
}

/** Size and layout of a fleet. */
export interface FleetPlan {
  readonly boxes: number;
  readonly halls: number;
  readonly seed: number;
  /** Number of boxes that every box is configured with as seeds. */
  readonly seeds?: number;
  /** Creates the program of a box; if omitted, boxes run membership only. */
  readonly createProgram?: (box: VirtualBox, mesh: PeerMesh) => VirtualProgram;
}

/** A virtual fleet. */
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
    const locations = Array.from({ length: plan.boxes }, (_, at) => createLocation(at, plan.halls));
    this.seedAddresses = locations.slice(0, plan.seeds ?? 3).map((location) => location.address);
    // A machine refuses connections until its process listens.
    for (const location of locations) this.network.setState(location.address, 'killed');
    for (const location of locations)
      this.timeline.after(this.random() * START_SPREAD_MS, () => this.add(location));
  }

  /** Creates a fleet whose boxes start within `START_SPREAD_MS`. */
  static async create(plan: FleetPlan): Promise<VirtualFleet> {
    const hasher = await createHasher();
    return new VirtualFleet(plan, (text) => hasher.h32(text));
  }

  /** Advances the virtual time. */
  async run(seconds: number): Promise<void> {
    const endMs = this.timeline.nowMs + seconds * MS_PER_S;
    // Binding is asynchronous: its promises settle between the steps.
    while (this.timeline.nowMs < endMs) {
      this.timeline.run(Math.min(endMs, this.timeline.nowMs + TICK_MS));
      await Promise.resolve();
      await Promise.resolve();
    }
  }

  /** Boxes of a hall whose processes are running. */
  listHall(hall: string): VirtualBox[] {
    return this.listRunning().filter((box) => box.hall === hall);
  }

  listRunning(): VirtualBox[] {
    return this.boxes.filter((box) => this.network.readMachine(box.address).state === 'running');
  }

  /** Ends the process of a box; connections to it are reset, or go silent if its machine lost power. */
  stop(box: VirtualBox, how: 'killed' | 'poweredOff'): void {
    this.network.setState(box.address, how);
    if (how === 'killed') box.mesh.close();
  }

  /** Starts a stopped box, which keeps no state of its former run. */
  restart(box: VirtualBox): void {
    box.downAtMs.clear();
    box.mesh = this.startMesh(box);
  }

  /** Rank of an address, as computed by the boxes. */
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

  private add(location: { readonly address: string; readonly hall: string }): VirtualBox {
    const box = { ...location, downAtMs: new Map<string, number>() } as VirtualBox;
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
      handlesSlots: true,
      tracksStreams: true,
      ...box.program?.createPlatformReport?.(),
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
        createHeartbeat: () => ({
          ...createHeartbeat(),
          provesLists: true,
          ...box.program?.createCrashSnapshot?.(),
        }),
        onFrameRead: () => {},
        onFrame: (frame, reply) => box.program?.handleFrame(frame, reply),
        onProblem: () => {},
        onStateChange: (peer, state) => {
          if (state === 'down') box.downAtMs.set(peer, timeline.nowMs);
          else box.downAtMs.delete(peer);
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
      if (machine.run !== run || machine.state === 'poweredOff' || machine.state === 'killed') return;
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

function createLocation(at: number, halls: number): { readonly address: string; readonly hall: string } {
  const hall = at % halls;
  return { address: `10.${hall}.${at >> 8}.${at & 255}:7340`, hall: `hall-${hall}` };
}
