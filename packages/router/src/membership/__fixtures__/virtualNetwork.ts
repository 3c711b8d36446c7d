/** Connections in virtual time: with delays, one-way and two-way cuts, and paused, killed or powered-off boxes. */
import type { Timeline } from '@hazelwalk/standins';
import { PeerFrameReader } from '../../peers/peerFrameCodec.js';
import type { PeerFrame } from '../../peers/peerFrames.js';
import type { ConnectionEvents, PeerConnection, PeerTransport } from '../../peers/peerTransport.js';

/** One-way delay between two boxes, as within a region. */
const DELAY_MS = 1;

type Accept = (connection: PeerConnection) => ConnectionEvents;

/** State of one box's machine. */
export type MachineState =
  /** Its process runs. */
  | 'running'
  /** Its process is paused; the machine buffers what arrives. */
  | 'paused'
  /** Its process has ended; the machine refuses and resets connections. */
  | 'killed'
  /** It has no power and sends nothing. */
  | 'poweredOff';

interface Machine {
  state: MachineState;
  /** Number of the current run of the process; connections of earlier runs are closed. */
  run: number;
  accept: Accept | undefined;
  /** Actions that run when a paused process resumes. */
  readonly deferred: (() => void)[];
}

/** The network between the boxes of a virtual fleet. */
export class VirtualNetwork {
  /** Bytes that each box sent. */
  readonly sentBytes = new Map<string, number>();
  connections = 0;
  private readonly machines = new Map<string, Machine>();
  private readonly blockedEnds = new Set<ConnectionEnd>();
  private isCut: (from: string, to: string) => boolean = () => false;

  constructor(readonly timeline: Timeline) {}

  /** Sets which directions are cut; data sent meanwhile arrives when they are open again. */
  cut(isCut: (from: string, to: string) => boolean): void {
    this.isCut = isCut;
    for (const end of this.blockedEnds) end.flush();
  }

  /** Whether data sent now arrives. */
  isOpen(from: string, to: string): boolean {
    return !this.isCut(from, to) && this.readMachine(to).state !== 'poweredOff';
  }

  /** Changes the state of a machine. */
  setState(address: string, state: MachineState): void {
    const machine = this.readMachine(address);
    const before = machine.state;
    machine.state = state;
    if (state === 'killed' || state === 'poweredOff') machine.deferred.length = 0;
    if (before === 'paused' && state === 'running') for (const action of machine.deferred.splice(0)) action();
  }

  /** Starts a new run of a box's process and returns its transport. */
  startRun(address: string): PeerTransport {
    const machine = this.readMachine(address);
    machine.run += 1;
    machine.state = 'running';
    machine.accept = undefined;
    return new VirtualTransport(this, address, machine.run);
  }

  /** Runs an action of a process: later if the process is paused, never if that run has ended. */
  actIn(address: string, run: number, action: () => void): void {
    const machine = this.readMachine(address);
    if (machine.run !== run) return;
    if (machine.state === 'running') action();
    else if (machine.state === 'paused') machine.deferred.push(action);
  }

  readMachine(address: string): Machine {
    let machine = this.machines.get(address);
    if (machine === undefined) {
      machine = { state: 'poweredOff', run: 0, accept: undefined, deferred: [] };
      this.machines.set(address, machine);
    }
    return machine;
  }

  countBytes(address: string, bytes: number): void {
    this.sentBytes.set(address, (this.sentBytes.get(address) ?? 0) + bytes);
  }

  addBlocked(end: ConnectionEnd): void {
    this.blockedEnds.add(end);
  }

  removeBlocked(end: ConnectionEnd): void {
    this.blockedEnds.delete(end);
  }

  after(action: () => void): void {
    this.timeline.after(DELAY_MS, action);
  }
}

/** One end of a connection. */
class ConnectionEnd implements PeerConnection {
  isUp = false;
  isClosed = false;
  events: ConnectionEvents | undefined;
  remote!: ConnectionEnd;
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
    if (!this.isUp || this.isClosed) return;
    this.network.countBytes(this.address, packet.length);
    this.unsent.push(packet);
    this.flush();
  }

  /** Sends the buffered packets, if the direction is not cut. */
  flush(): void {
    const { network, remote } = this;
    if (this.isClosed || !network.isOpen(this.address, remote.address)) return network.addBlocked(this);
    network.removeBlocked(this);
    for (const packet of this.unsent.splice(0)) network.after(() => remote.receive(packet));
  }

  destroy(): void {
    if (this.isClosed) return;
    this.close();
    this.network.after(() => {
      if (this.network.isOpen(this.address, this.remote.address)) this.remote.close();
    });
  }

  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.isUp = false;
    this.network.removeBlocked(this);
    this.network.after(() => this.network.actIn(this.address, this.run, () => this.events?.onClosed()));
  }

  private receive(packet: Buffer): void {
    const machine = this.network.readMachine(this.address);
    const isGone = machine.run !== this.run || machine.state === 'killed';
    // The machine of an ended process resets connections on which data still arrives; one without power sends nothing.
    if (isGone && machine.state !== 'poweredOff') return void this.network.after(() => this.remote.close());
    if (this.isClosed) return;
    this.network.actIn(this.address, this.run, () => {
      for (const frame of this.reader.push(packet).unwrap()) this.deliver(frame);
    });
  }

  private deliver(frame: PeerFrame): void {
    if (!this.isClosed) this.events?.onFrame(frame);
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
    const near = new ConnectionEnd(network, this.address, this.run);
    const far = new ConnectionEnd(network, address, machine.run);
    near.remote = far;
    far.remote = near;
    near.events = events;
    network.after(() => this.arrive(near, far));
    return near;
  }

  close(): void {}

  private arrive(near: ConnectionEnd, far: ConnectionEnd): void {
    const { network } = this;
    const isOpen = network.isOpen(near.address, far.address) && network.isOpen(far.address, near.address);
    // An attempt to connect across a cut gets no response: the connecting box gives up by its own timeout.
    if (near.isClosed || !isOpen) return;
    const machine = network.readMachine(far.address);
    const { accept } = machine;
    if (machine.state === 'killed' || accept === undefined) return near.close();
    network.connections += 1;
    far.isUp = true;
    network.actIn(far.address, far.run, () => (far.events = accept(far)));
    network.after(() => {
      if (near.isClosed) return;
      near.isUp = true;
      network.actIn(near.address, near.run, () => near.events?.onUp());
    });
  }
}
