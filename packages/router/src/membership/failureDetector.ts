/**
 * Detects boxes of the own hall that died, hang or are cut off, in about two seconds and at a cost that does not depend on
 * the number of boxes. Each box probes the next few boxes on a ring. If one of them sends no ack, other boxes probe it
 * indirectly, and if they get no ack either, it is reported down to the whole hall. This is SWIM (Das, Gupta, Motivala,
 * 2002) with two extensions of Lifeguard (Dadgar, Phillips, Currey, 2017): a box that was late itself extends the timeouts
 * of its pending probes, and one that receives no acks at all declares no other box down.
 *
 * Does no I/O and reads no clock: time and frames are passed in, effects are returned.
 */
import type { BoxDown, BoxUp, PeerFrame, Probe, ProbeAck, ProbeRequest } from '../peers/peerFrames.js';

/** Interval between probes. They go to the `MONITORED_BOXES` in turn, so each of these is probed once a second. */
const PROBE_INTERVAL_MS = 500;
/** Boxes on the ring that a box monitors; as many monitor it. Two, so that one is left if the other is down. */
const MONITORED_BOXES = 2;
/** A live box sends an ack within one turn of its loop; this covers one that has just started on a third of a core. */
const ACK_TIMEOUT_MS = 400;
/** Timeout of indirect probes: they pass two more links and wait for the loops of the helpers. */
const INDIRECT_TIMEOUT_MS = 500;
/** Boxes that are requested to probe indirectly: one may be behind the same fault. */
const HELPER_COUNT = 2;
/** A gap between ticks that shows that this box was not running; the tick interval is a fifth of it. */
const LATE_TICK_MS = 200;
/** A box that got no ack for three probe intervals was cut off itself: its probes may never have arrived. */
const CUT_OFF_MS = 3 * PROBE_INTERVAL_MS;
/** Indirect probes without an ack are forgotten after this: a later ack is of no use to the requester. */
const INDIRECT_PROBE_TTL_MS = 5_000;

/** A frame that the caller has to send, or a change of a box's state. */
export type DetectorEffect =
  | { readonly type: 'send'; readonly to: string; readonly frame: PeerFrame }
  /** Send to every box of the hall. */
  | { readonly type: 'sendToHall'; readonly frame: PeerFrame }
  /** The box is down and must not be relied on: `unheard` if it sent no ack, `told` if another box reported it. */
  | { readonly type: 'down'; readonly address: string; readonly reason: 'unheard' | 'told' }
  | { readonly type: 'up'; readonly address: string }
  /** Other boxes reach the box, this one does not: its link may be dead. */
  | { readonly type: 'reconnectLink'; readonly address: string };

/** Settings and dependencies of the detector. */
export interface DetectorOptions {
  /** Address of this box, known once its listener is bound. */
  readonly readAddress: () => string;
  /** Rank of an address, the same on all boxes, which orders the ring. */
  readonly rank: (address: string) => number;
  /** Between 0 and 1; selects helpers. */
  readonly random: () => number;
  /** Greater than in any earlier run of this box, unless its clock went backwards. */
  readonly firstIncarnation: number;
}

/** A probe of this box that is still without an ack. */
interface PendingProbe {
  readonly sentAtMs: number;
  readonly sequence: number;
  stage: 'direct' | 'indirect';
  /** End of the stage, extended if this box is late itself. */
  endsAtMs: number;
}

/** A probe that this box sent on the request of another one. */
interface IndirectProbe {
  readonly requester: string;
  readonly requesterSequence: number;
  readonly sentAtMs: number;
}

/** Monitors some boxes of the hall on behalf of one box. */
export class FailureDetector {
  private ownIncarnation: number;
  private readonly incarnations = new Map<string, number>();
  /** Incarnation in which a box was declared down. */
  private readonly down = new Map<string, number>();
  /** By the address of the probed box. */
  private readonly pendingProbes = new Map<string, PendingProbe>();
  /** By the sequence number of this box. */
  private readonly indirectProbes = new Map<number, IndirectProbe>();
  private sequence = 0;
  private turn = 0;
  private probedAtMs = -Infinity;
  private tickedAtMs = -Infinity;
  /** When this box last got an ack from any box. */
  private lastAckAtMs = -Infinity;

  constructor(private readonly options: DetectorOptions) {
    this.ownIncarnation = options.firstIncarnation;
  }

  /** Incarnation of this box, as it states it to others. */
  get incarnation(): number {
    return this.ownIncarnation;
  }

  /** Whether a box was declared down and has not come back since. */
  isDown(address: string): boolean {
    return this.down.has(address);
  }

  /**
   * Runs once a tick.
   *
   * @param listBoxes returns the addresses of the other boxes of the hall to which a link is up
   */
  tick(listBoxes: () => readonly string[], nowMs: number): DetectorEffect[] {
    this.extendIfLate(nowMs);
    const isDue = [...this.pendingProbes.values()].some((probe) => nowMs >= probe.endsAtMs);
    const isProbeDue = nowMs - this.probedAtMs >= PROBE_INTERVAL_MS;
    if (!isDue && !isProbeDue) return [];
    const boxes = listBoxes();
    const effects = this.checkPendingProbes(boxes, nowMs);
    if (!isProbeDue) return effects;
    this.probedAtMs = nowMs;
    this.removeExpiredProbes(nowMs);
    return [...effects, ...this.probeNext(boxes, nowMs)];
  }

  /** Answers a probe. A box that was declared down gets the report of that instead of an ack, so that it can refute it. */
  answerProbe(probe: Probe): ProbeAck | BoxDown {
    const report = this.findDownReport(probe.address);
    if (report !== undefined && report.incarnation >= probe.incarnation) return report;
    return this.createAck(probe.sequence);
  }

  /** The report that a box is down; undefined if it counts as up. */
  findDownReport(address: string): BoxDown | undefined {
    const incarnation = this.down.get(address);
    return incarnation === undefined ? undefined : { type: 'boxDown', address, incarnation };
  }

  /** Handles an ack from a probed box, sent by itself or relayed by a helper. */
  handleProbeAck(ack: ProbeAck, nowMs: number): DetectorEffect[] {
    if (nowMs - this.lastAckAtMs > CUT_OFF_MS) this.dropOtherProbes(ack.address);
    this.lastAckAtMs = nowMs;
    const indirect = this.indirectProbes.get(ack.sequence);
    if (indirect !== undefined) {
      this.indirectProbes.delete(ack.sequence);
      const frame: ProbeAck = { ...ack, sequence: indirect.requesterSequence, isRelayed: true };
      return [{ type: 'send', to: indirect.requester, frame }];
    }
    const probe = this.pendingProbes.get(ack.address);
    if (probe === undefined || probe.sequence !== ack.sequence) return [];
    this.pendingProbes.delete(ack.address);
    const effects = this.recordIncarnation(ack.address, ack.incarnation);
    if (ack.isRelayed) effects.push({ type: 'reconnectLink', address: ack.address });
    return effects;
  }

  /** Probes a box on the request of another one. */
  handleProbeRequest(request: ProbeRequest, nowMs: number): DetectorEffect[] {
    const frame = this.createProbe();
    this.indirectProbes.set(frame.sequence, {
      requester: request.address,
      requesterSequence: request.sequence,
      sentAtMs: nowMs,
    });
    return [{ type: 'send', to: request.target, frame }];
  }

  /** Handles the report that a box of the hall is down. If that is this box, it refutes the report. */
  handleBoxDown(frame: BoxDown): DetectorEffect[] {
    const { address, incarnation } = frame;
    if (address === this.options.readAddress()) return this.refute(incarnation);
    // The report of an earlier incarnation does not apply to the current one.
    if (incarnation < (this.incarnations.get(address) ?? 0)) return [];
    return this.markDown(address, incarnation, 'told');
  }

  /** Records the incarnation that a box states; one newer than that declared down brings the box back up. */
  recordIncarnation(address: string, incarnation: number): DetectorEffect[] {
    if (incarnation > (this.incarnations.get(address) ?? 0)) this.incarnations.set(address, incarnation);
    const downAt = this.down.get(address);
    if (downAt === undefined || incarnation <= downAt) return [];
    this.down.delete(address);
    return [{ type: 'up', address }];
  }

  /** Forgets a box that was not seen for long. */
  forget(address: string): void {
    this.incarnations.delete(address);
    this.down.delete(address);
    this.pendingProbes.delete(address);
  }

  /** While this box was paused or late it could not read acks, so all pending probes get a new ack timeout. */
  private extendIfLate(nowMs: number): void {
    const sinceTickMs = nowMs - this.tickedAtMs;
    this.tickedAtMs = nowMs;
    if (sinceTickMs <= LATE_TICK_MS || sinceTickMs === Infinity) return;
    for (const probe of this.pendingProbes.values()) probe.endsAtMs = nowMs + ACK_TIMEOUT_MS;
  }

  private removeExpiredProbes(nowMs: number): void {
    for (const [sequence, probe] of this.indirectProbes) {
      if (nowMs - probe.sentAtMs > INDIRECT_PROBE_TTL_MS) this.indirectProbes.delete(sequence);
    }
  }

  private checkPendingProbes(boxes: readonly string[], nowMs: number): DetectorEffect[] {
    const effects: DetectorEffect[] = [];
    for (const [address, probe] of this.pendingProbes) {
      // A broken link already shows that the box cannot be reached.
      if (!boxes.includes(address)) this.pendingProbes.delete(address);
      else if (nowMs >= probe.endsAtMs) effects.push(...this.advance(address, probe, boxes, nowMs));
    }
    return effects;
  }

  /** Starts the next stage of a probe whose current stage ended without an ack. */
  private advance(
    address: string,
    probe: PendingProbe,
    boxes: readonly string[],
    nowMs: number,
  ): DetectorEffect[] {
    switch (probe.stage) {
      case 'direct':
        probe.stage = 'indirect';
        probe.endsAtMs = nowMs + INDIRECT_TIMEOUT_MS;
        return this.requestIndirectProbes(address, probe, boxes);
      case 'indirect':
        if (this.lastAckAtMs > probe.sentAtMs) return this.declareDown(address);
        // No box sends acks, so this box may be the one that is cut off. It keeps waiting and declares no other box down.
        probe.endsAtMs = nowMs + ACK_TIMEOUT_MS;
        return [];
    }
  }

  /** After this box was cut off, boxes whose acks are missing are probed again before they can be declared down. */
  private dropOtherProbes(ackedBy: string): void {
    for (const address of this.pendingProbes.keys())
      if (address !== ackedBy) this.pendingProbes.delete(address);
  }

  private requestIndirectProbes(
    address: string,
    probe: PendingProbe,
    boxes: readonly string[],
  ): DetectorEffect[] {
    const helpers = boxes.filter(
      (box) => box !== address && !this.pendingProbes.has(box) && !this.isDown(box),
    );
    const frame: ProbeRequest = {
      type: 'probeRequest',
      address: this.options.readAddress(),
      target: address,
      sequence: probe.sequence,
    };
    return pickRandom(helpers, HELPER_COUNT, this.options.random).map((to) => ({ type: 'send', to, frame }));
  }

  private declareDown(address: string): DetectorEffect[] {
    this.pendingProbes.delete(address);
    const incarnation = this.incarnations.get(address) ?? 0;
    const frame: BoxDown = { type: 'boxDown', address, incarnation };
    return [...this.markDown(address, incarnation, 'unheard'), { type: 'sendToHall', frame }];
  }

  private markDown(address: string, incarnation: number, reason: 'unheard' | 'told'): DetectorEffect[] {
    const isNew = !this.down.has(address);
    this.down.set(address, Math.max(incarnation, this.down.get(address) ?? 0));
    this.pendingProbes.delete(address);
    return isNew ? [{ type: 'down', address, reason }] : [];
  }

  /** Refutes a report that this box is down, with a higher incarnation. */
  private refute(incarnation: number): DetectorEffect[] {
    this.ownIncarnation = Math.max(this.ownIncarnation, incarnation + 1);
    const frame: BoxUp = {
      type: 'boxUp',
      address: this.options.readAddress(),
      incarnation: this.ownIncarnation,
    };
    return [{ type: 'sendToHall', frame }];
  }

  /**
   * Probes the next box on the ring. Boxes with a pending probe are passed over, so that acks of others can show that this
   * box is not cut off.
   */
  private probeNext(boxes: readonly string[], nowMs: number): DetectorEffect[] {
    const free = boxes.filter((box) => !this.isDown(box) && !this.pendingProbes.has(box));
    const monitored = this.listNextOnRing(free);
    const target = monitored[this.turn % MONITORED_BOXES] ?? monitored[0];
    this.turn += 1;
    if (target === undefined) return [];
    const frame = this.createProbe();
    this.pendingProbes.set(target, {
      sentAtMs: nowMs,
      sequence: frame.sequence,
      stage: 'direct',
      endsAtMs: nowMs + ACK_TIMEOUT_MS,
    });
    return [{ type: 'send', to: target, frame }];
  }

  private listNextOnRing(boxes: readonly string[]): string[] {
    const { rank, readAddress } = this.options;
    const own = rank(readAddress());
    const ordered = boxes
      .map((address) => ({ address, rank: rank(address) }))
      .sort((a, b) => a.rank - b.rank);
    const after = ordered.filter((box) => box.rank > own);
    const before = ordered.filter((box) => box.rank <= own);
    return [...after, ...before].slice(0, MONITORED_BOXES).map((box) => box.address);
  }

  private createProbe(): Probe {
    this.sequence += 1;
    return {
      type: 'probe',
      address: this.options.readAddress(),
      sequence: this.sequence,
      incarnation: this.ownIncarnation,
    };
  }

  private createAck(sequence: number): ProbeAck {
    return {
      type: 'probeHeard',
      address: this.options.readAddress(),
      sequence,
      incarnation: this.ownIncarnation,
      isRelayed: false,
    };
  }
}

/** Picks some entries of a list at random, each at most once. */
function pickRandom(list: readonly string[], count: number, random: () => number): string[] {
  const rest = [...list];
  const picked: string[] = [];
  while (picked.length < count && rest.length > 0) {
    picked.push(...rest.splice(Math.floor(random() * rest.length), 1));
  }
  return picked;
}
