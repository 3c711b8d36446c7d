/** Boxes that request, relay and schedule slots in virtual time; frames and views can be disturbed. */
import { createHasher } from '@hazelwalk/core';
import { Timeline } from '@hazelwalk/standins';
import type { AdmissionDecision, AdmissionHandle } from '../../admission/admission.js';
import { SlotClient } from '../../admission/slotClient.js';
import type { SlotRequestEvent } from '../../admission/slotClient.js';
import type { SchedulableEndpoint, SlotScheduling } from '../../admission/slotMessages.js';
import type { Heartbeat, PeerFrame } from '../peerFrames.js';
import { SlotRelay } from '../slotRelay.js';
import { FirstComeScheduler } from './firstComeScheduler.js';

/** Delay of each frame. */
const DELAY_MS = 1;
const TICK_MS = 40;
export const SERVICE = 'app';

/** A request of a caller at one box. */
export interface FleetRequest {
  readonly box: FleetBox;
  readonly enteredAtMs: number;
  handle: AdmissionHandle | undefined;
  decision: AdmissionDecision | undefined;
  decidedAtMs: number;
}

/** One box. */
export interface FleetBox {
  readonly address: string;
  readonly hall: string;
  /** `silent`: it neither reads nor sends, and links stay up; `down`: its links are lost. */
  state: 'running' | 'silent' | 'down';
  isStopping: boolean;
  handlesSlots: boolean;
  readonly scheduler: FirstComeScheduler;
  readonly relay: SlotRelay;
  readonly client: SlotClient;
  readonly events: SlotRequestEvent[];
  /** Frames that it received, by type. */
  readonly received: Map<string, number>;
  /** Frames and timers that wait while it is paused. */
  held: { frames: (() => void)[]; timers: (() => void)[] } | undefined;
}

/** A fleet of boxes with one service. */
export class SlotFleet {
  readonly timeline = new Timeline();
  readonly boxes: FleetBox[] = [];
  readonly requests: FleetRequest[] = [];
  endpoints: SchedulableEndpoint[] = [{ tag: 1, slotsInEffect: 2, reportedInFlight: 0 }];
  /** Whether a box sees another one. */
  sees: (from: FleetBox, to: FleetBox) => boolean = () => true;
  /** Delays at which copies of a frame arrive; none if it is lost. */
  transmit: (from: FleetBox, to: FleetBox, frame: PeerFrame) => readonly number[] = () => [DELAY_MS];

  private constructor(
    readonly hash: (text: string) => number,
    readonly isFullMesh: boolean,
    private readonly createScheduling: (() => SlotScheduling) | undefined,
  ) {}

  /** Creates a fleet with the given number of boxes in each hall. */
  static async create(
    halls: readonly number[],
    isFullMesh = true,
    createScheduling?: () => SlotScheduling,
  ): Promise<SlotFleet> {
    const hasher = await createHasher();
    const fleet = new SlotFleet((text) => hasher.h32(text), isFullMesh, createScheduling);
    halls.forEach((boxes, hall) => {
      for (let at = 0; at < boxes; at += 1) fleet.add(`10.${hall}.0.${at}:1`, `hall-${hall}`);
    });
    return fleet;
  }

  run(ms: number): void {
    this.timeline.run(this.timeline.nowMs + ms);
  }

  /** The box that schedules the service in the view of another one. */
  findScheduler(): FleetBox {
    const found = this.boxes.find(({ scheduler }) => scheduler.grants.size + scheduler.waiting.size > 0);
    if (found === undefined) throw new Error('no box schedules');
    return found;
  }

  /** Enters a request of a caller at a box. */
  enter(box: FleetBox, needsSlot = false): FleetRequest {
    const nowMs = this.timeline.nowMs;
    const request: FleetRequest = {
      box,
      enteredAtMs: nowMs,
      handle: undefined,
      decision: undefined,
      decidedAtMs: Infinity,
    };
    this.requests.push(request);
    request.handle = box.client.apply({
      needsSlot,
      latestStartAtMs: nowMs + 5_000,
      request: {
        service: SERVICE,
        rank: 0,
        team: '',
        isOnce: true,
        hasPrompt: false,
        arrivedAtMs: nowMs,
        targetAtMs: nowMs + 200,
        expiresAtMs: nowMs + 5_000,
        readContent: () => 'content',
        listPreferred: () => [],
        listExcluded: () => [],
      },
      onDecision: (decision) => {
        if (request.decision !== undefined) throw new Error('decided twice');
        request.decision = decision;
        request.decidedAtMs = this.timeline.nowMs;
      },
    });
    return request;
  }

  /** Enters a request that holds its slot for a time, if it gets one. */
  serve(box: FleetBox, holdMs: number): FleetRequest {
    const request = this.enter(box);
    const finish = (): void => {
      if (request.decision === undefined) this.timeline.after(5, finish);
      else this.timeline.after(holdMs, () => request.handle?.release('served'));
    };
    finish();
    return request;
  }

  /** Slots that are granted by any box. */
  countGrants(): number {
    return this.boxes.reduce((sum, { scheduler }) => sum + scheduler.grants.size, 0);
  }

  /** Stops the process of a box for a time; frames wait in its sockets, and timers fire first afterwards. */
  pause(box: FleetBox, forMs: number): void {
    const held: NonNullable<FleetBox['held']> = { frames: [], timers: [] };
    box.held = held;
    this.timeline.after(forMs, () => {
      box.held = undefined;
      for (const action of [...held.timers, ...held.frames]) action();
    });
  }

  private add(address: string, hall: string): void {
    const { timeline } = this;
    const scheduler = new FirstComeScheduler();
    const events: SlotRequestEvent[] = [];
    const runTimer = (action: () => void): void => {
      if (box.held === undefined) action();
      else box.held.timers.push(action);
    };
    const relay: SlotRelay = new SlotRelay({
      mesh: {
        address,
        isFullMesh: this.isFullMesh,
        listReachable: () => this.listReachable(box),
        send: (to, frame) => this.send(box, to, frame),
      },
      hall,
      scheduling: this.createScheduling?.() ?? scheduler,
      hash: this.hash,
      now: () => timeline.nowMs,
      defer: (callback) => timeline.after(0, callback),
      isAble: () => !box.isStopping && box.handlesSlots,
      listEndpoints: () => this.endpoints,
      onAnswer: (answer) => box.client.handleAnswer(answer),
      onHopChange: ({ service, isPreviousLost }) => isPreviousLost && box.client.repeatWaiting(service),
    });
    const client = new SlotClient({
      relay,
      readAddress: () => address,
      now: () => timeline.nowMs,
      schedule: (delayMs, callback) => {
        let isCancelled = false;
        timeline.after(delayMs, () => runTimer(() => !isCancelled && callback()));
        return () => (isCancelled = true);
      },
      afterReads: (callback) => timeline.after(0, callback),
      firstNumber: 1,
      onEvent: (event) => events.push(event),
    });
    const box: FleetBox = {
      address,
      hall,
      state: 'running',
      isStopping: false,
      handlesSlots: true,
      scheduler,
      relay,
      client,
      events,
      received: new Map(),
      held: undefined,
    };
    this.boxes.push(box);
    timeline.every(TICK_MS, () => {
      if (box.state === 'running' && box.held === undefined) relay.tick(timeline.nowMs);
    });
  }

  /** In a large fleet a box is linked to its hall, and a leader also to the other leaders. */
  private listReachable(box: FleetBox): Heartbeat[] {
    return this.boxes
      .filter((other) => other !== box && other.state !== 'down' && this.sees(box, other))
      .filter((other) => this.isFullMesh || other.hall === box.hall || this.isLeader(box))
      .map(({ address, hall, isStopping, handlesSlots }) => {
        const heartbeat: Partial<Heartbeat> = { address, hall, isStopping, handlesSlots };
        return heartbeat as Heartbeat;
      });
  }

  private isLeader({ address, hall }: FleetBox): boolean {
    const live = this.boxes.filter((box) => box.hall === hall && box.state === 'running');
    return live.every((other) => this.hash(other.address) >= this.hash(address));
  }

  private send(from: FleetBox, address: string, frame: PeerFrame): void {
    const to = this.boxes.find((box) => box.address === address);
    if (to === undefined || from.state !== 'running' || !this.sees(from, to)) return;
    for (const delayMs of this.transmit(from, to, frame))
      this.timeline.after(delayMs, () => {
        if (to.held === undefined) this.receive(to, frame);
        else to.held.frames.push(() => this.receive(to, frame));
      });
  }

  private receive(box: FleetBox, frame: PeerFrame): void {
    if (box.state !== 'running') return;
    box.received.set(frame.type, (box.received.get(frame.type) ?? 0) + 1);
    if (frame.type === 'slotRequests') box.relay.handleRequests(frame);
    else if (frame.type === 'slotAnswers') box.relay.handleAnswers(frame);
    else if (frame.type === 'slotReleases') box.relay.handleReleases(frame);
  }
}
