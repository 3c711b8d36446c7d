/** Connections between boxes in virtual time: delay, cuts one way and both, boxes without power, paused or killed. */
import type { Timeline } from '@hazelwalk/standins';
import { PeerFrameReader } from '../../peers/peerFrameCodec.js';
import type { PeerFrame } from '../../peers/peerFrames.js';
import type { ConnectionEvents, PeerConnection, PeerTransport } from '../../peers/peerTransport.js';

/** One way between two boxes, as within a region. */
const DELAY_MS = 1;

type Accept = (connection: PeerConnection) => ConnectionEvents;

/** State of one box's machine. */
export type MachineState =
  /** Its process runs. */
  | 'running'
  /** Its process stands still; the machine takes what arrives. */
  | 'paused'
  /** Its process is gone; the machine says so to whoever asks. */
  | 'killed'
  /** It says nothing. */
  | 'dark';

interface Machine {
  state: MachineState;
  /** Which run of the process; connections of an earlier one are gone. */
  run: number;
  accept: Accept | undefined;
  /** What happens when a paused process goes on. */
  readonly held: (() => void)[];
}

/** Everything between the boxes of a virtual fleet. */
export class VirtualNetwork {
  /** Bytes that each box sent. */
  readonly sentBytes = new Map<string, number>();
  connections = 0;
  private readonly machines = new Map<string, Machine>();
  private readonly waiting = new Set<VirtualEnd>();
  private blocks: (from: string, to: string) => boolean = () => false;

  constructor(readonly timeline: Timeline) {}

  /** Says which ways are cut; what was sent meanwhile arrives when they are open again. */
  cut(blocks: (from: string, to: string) => boolean): void {
    this.blocks = blocks;
    for (const end of this.waiting) end.flush();
  }

  /** Whether something sent now gets through. */
  isOpen(from: string, to: string): boolean {
    return !this.blocks(from, to) && this.readMachine(to).state !== 'dark';
  }

  /** Changes what a machine does. */
  setState(address: string, state: MachineState): void {
    const machine = this.readMachine(address);
    const before = machine.state;
    machine.state = state;
    if (state === 'killed' || state === 'dark') machine.held.length = 0;
    if (before === 'paused' && state === 'running') for (const act of machine.held.splice(0)) act();
  }

  /** A new run of a box's process begins; its transport. */
  startRun(address: string): PeerTransport {
    const machine = this.readMachine(address);
    machine.run += 1;
    machine.state = 'running';
    machine.accept = undefined;
    return new VirtualTransport(this, address, machine.run);
  }

  /** Runs an action of a process, later if it is paused, never if that run is over. */
  actIn(address: string, run: number, act: () => void): void {
    const machine = this.readMachine(address);
    if (machine.run !== run) return;
    if (machine.state === 'running') act();
    else if (machine.state === 'paused') machine.held.push(act);
  }

  readMachine(address: string): Machine {
    let machine = this.machines.get(address);
    if (machine === undefined) {
      machine = { state: 'dark', run: 0, accept: undefined, held: [] };
      this.machines.set(address, machine);
    }
    return machine;
  }

  countBytes(address: string, bytes: number): void {
    this.sentBytes.set(address, (this.sentBytes.get(address) ?? 0) + bytes);
  }

  noteWaiting(end: VirtualEnd): void {
    this.waiting.add(end);
  }

  noteFlushed(end: VirtualEnd): void {
    this.waiting.delete(end);
  }

  after(act: () => void): void {
    this.timeline.after(DELAY_MS, act);
  }
}

/** One end of a connection. */
class VirtualEnd implements PeerConnection {
  isUp = false;
  isOver = false;
  events: ConnectionEvents | undefined;
  other!: VirtualEnd;
  private readonly unsent: Buffer[] = [];
  private readonly reader = new PeerFrameReader();

  constructor(
    private readonly network: VirtualNetwork,
    readonly address: string,
    readonly run: number,
  ) {}

  get unsentBytes(): number {
    return this.unsent.reduce((sum, packet) => sum + packet.length, 0);
  }

  write(packet: Buffer): void {
    if (!this.isUp || this.isOver) return;
    this.network.countBytes(this.address, packet.length);
    this.unsent.push(packet);
    this.flush();
  }

  /** Sends what waits, if the way is open. */
  flush(): void {
    const { network, other } = this;
    if (this.isOver || !network.isOpen(this.address, other.address)) return network.noteWaiting(this);
    network.noteFlushed(this);
    for (const packet of this.unsent.splice(0)) network.after(() => other.take(packet));
  }

  destroy(): void {
    if (this.isOver) return;
    this.close();
    this.network.after(() => {
      if (this.network.isOpen(this.address, this.other.address)) this.other.close();
    });
  }

  close(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.isUp = false;
    this.network.noteFlushed(this);
    this.network.after(() => this.network.actIn(this.address, this.run, () => this.events?.onClosed()));
  }

  private take(packet: Buffer): void {
    const machine = this.network.readMachine(this.address);
    const isGone = machine.run !== this.run || machine.state === 'killed';
    // The machine of a process that is gone resets what still arrives; one without power says nothing.
    if (isGone && machine.state !== 'dark') return void this.network.after(() => this.other.close());
    if (this.isOver) return;
    this.network.actIn(this.address, this.run, () => {
      for (const frame of this.reader.push(packet).unwrap()) this.deliver(frame);
    });
  }

  private deliver(frame: PeerFrame): void {
    if (!this.isOver) this.events?.onFrame(frame);
  }
}

class VirtualTransport implements PeerTransport {
  constructor(
    private readonly network: VirtualNetwork,
    private readonly address: string,
    private readonly run: number,
  ) {}

  listen(_host: string, _port: number, onAccepted: Accept): Promise<string> {
    this.network.readMachine(this.address).accept = onAccepted;
    return Promise.resolve(this.address);
  }

  connect(address: string, events: ConnectionEvents): PeerConnection {
    const { network } = this;
    const machine = network.readMachine(address);
    const near = new VirtualEnd(network, this.address, this.run);
    const far = new VirtualEnd(network, address, machine.run);
    near.other = far;
    far.other = near;
    near.events = events;
    network.after(() => this.arrive(near, far));
    return near;
  }

  close(): void {}

  private arrive(near: VirtualEnd, far: VirtualEnd): void {
    const { network } = this;
    const isOpen = network.isOpen(near.address, far.address) && network.isOpen(far.address, near.address);
    // Nothing is heard of an attempt behind a cut: whoever made it gives up by itself.
    if (near.isOver || !isOpen) return;
    const machine = network.readMachine(far.address);
    const { accept } = machine;
    if (machine.state === 'killed' || accept === undefined) return near.close();
    network.connections += 1;
    far.isUp = true;
    network.actIn(far.address, far.run, () => (far.events = accept(far)));
    network.after(() => {
      if (near.isOver) return;
      near.isUp = true;
      network.actIn(near.address, near.run, () => near.events?.onUp());
    });
  }
}
