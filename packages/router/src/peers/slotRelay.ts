/**
 * Brings requests for slots to the box that schedules them, and the answers back. Each box routes its own requests; the
 * leader of a hall in a large fleet also those of its hall; the scheduling box hands them to `SlotScheduling`.
 *
 * For each request for a slot a box remembers the hop to which it went last. Only that hop decides: a slot that another one
 * grants, such as a former scheduling box whose answer was late, is given back at once. So no request holds two slots.
 * A hop that does not answer for a while is passed over, and messages of a box that is down are withdrawn.
 */
import type {
  SchedulableEndpoint,
  SlotAnswer,
  SlotRelease,
  SlotRequest,
  SlotScheduling,
  SlotRequestId,
} from '../admission/slotMessages.js';
import { readSlotRequestKey } from '../admission/slotMessages.js';
import type { SlotAnswersFrame, SlotReleasesFrame, SlotRequestsFrame } from './slotFrames.js';
import type { PeerMesh } from './peerMesh.js';
import { SlotOutbox } from './slotOutbox.js';
import type { SlotBoxView } from './slotRoute.js';
import { findNextHop } from './slotRoute.js';

/** A hop that leaves requests unanswered for this long is passed over: twice what a box waits for an answer. */
const HOP_SILENCE_MS = 150;
/** For how long it is passed over; twice as long each time that it is silent again, since each trial delays requests. */
const PASS_OVER_MS = 3_000;
const MAX_PASS_OVER_MS = 24_000;
/** How long a view of the reachable boxes is used. */
const VIEW_MS = 40;
/** A tick that comes this much later means that this box itself stood still, and others may have answered meanwhile. */
const MAX_TICK_DELAY_MS = 100;
/** Requests without a message for this long are forgotten; no request takes as long. */
const HOP_TTL_MS = 600_000;
const SWEEP_INTERVAL_MS = 10_000;

/** Dependencies and callbacks of the relay. */
export interface SlotRelayOptions {
  readonly mesh: Pick<PeerMesh, 'address' | 'isFullMesh' | 'listReachable' | 'send'>;
  readonly hall: string;
  readonly scheduling: SlotScheduling;
  /** Hash of a text, the same at all boxes; the box with the least one is first. */
  readonly hash: (text: string) => number;
  readonly now: () => number;
  /** Calls back at the end of this turn of the loop. */
  readonly defer: (callback: () => void) => void;
  /** Whether this box may schedule and relay for others. */
  readonly isAble: () => boolean;
  /** Lists the endpoints of a service whose slots can be granted. */
  readonly listEndpoints: (service: string) => readonly SchedulableEndpoint[];
  /** Called with each answer to a request of this box. */
  readonly onAnswer: (answer: SlotAnswer) => void;
  /** Called when requests of this box for a service go to another hop than before. */
  readonly onHopChange: (change: HopChange) => void;
}

/** Requests of this box for a service go to another hop from now on. */
export interface HopChange {
  readonly service: string;
  readonly hop: string;
  readonly previous: string;
  /** The previous hop no longer answers, so that what waits there has to be requested anew. */
  readonly isPreviousLost: boolean;
}

interface HopRecord extends SlotRequestId {
  readonly service: string;
  /** Box to which the request was sent last; the own address if this box schedules it. */
  hop: string;
  /** Box to which answers go; the own address for requests of this box. */
  from: string;
  updatedAtMs: number;
}

interface RelayView extends SlotBoxView {
  readonly createdAtMs: number;
  /** Addresses of all reachable boxes. */
  readonly reachable: ReadonlySet<string>;
  /** Addresses of those that answer frames about slots, also if they are about to stop. */
  readonly answering: ReadonlySet<string>;
  /** Addresses of the reachable boxes of the own hall. */
  readonly inOwnHall: ReadonlySet<string>;
  /** Next hops that were determined so far, by service, for own requests and for relayed ones. */
  readonly hops: Map<string, string>;
}

/** Routes the messages about slots of one box. */
export class SlotRelay {
  private readonly outbox: SlotOutbox;
  private readonly records = new Map<string, HopRecord>();
  private view: RelayView | undefined;
  /** When the first request without an answer was sent, by hop. */
  private readonly unansweredSinceMs = new Map<string, number>();
  private readonly passedOver = new Map<string, { readonly untilMs: number; readonly forMs: number }>();
  /** Services that this box schedules at present. */
  private readonly scheduled = new Set<string>();
  /** Hops of the services that this box has requests for. */
  private readonly ownHops = new Map<string, string>();
  private tickedAtMs: number;
  private sweptAtMs = 0;

  constructor(private readonly options: SlotRelayOptions) {
    const { mesh, defer, now } = options;
    this.tickedAtMs = now();
    this.outbox = new SlotOutbox({
      mesh,
      defer,
      onRequestsSent: (hop) => {
        if (!this.unansweredSinceMs.has(hop)) this.unansweredSinceMs.set(hop, now());
      },
    });
  }

  /** Routes a request of this box, or one that it repeats. The answer may come before this returns. */
  request(request: SlotRequest): void {
    const hop = this.findHop(request.service, false);
    this.noteOwnHop(request.service, hop);
    this.route(request, this.options.mesh.address, hop);
  }

  /** Routes a release or a withdrawal of this box. */
  release(release: SlotRelease): void {
    const key = readSlotRequestKey(release);
    const record = this.records.get(key);
    this.records.delete(key);
    if (record !== undefined) this.sendRelease(record.hop, release);
  }

  /** Handles requests of another box: schedules them, or relays those of the own hall. */
  handleRequests({ address, requests }: SlotRequestsFrame): void {
    for (const request of requests) this.route(request, address, this.findHopFor(request.service, address));
  }

  /** Handles answers of a hop. */
  handleAnswers({ address, answers }: SlotAnswersFrame): void {
    this.unansweredSinceMs.delete(address);
    if (!this.isPassedOver(address)) this.passedOver.delete(address);
    for (const answer of answers) {
      if (this.records.get(readSlotRequestKey(answer))?.hop === address) this.passOn(answer);
      else if (answer.type === 'granted') this.outbox.addRelease(address, createUnusedRelease(answer));
    }
  }

  /** Handles releases of another box. One that comes late over a former way would free a slot that is in use. */
  handleReleases({ address, releases }: SlotReleasesFrame): void {
    for (const release of releases) {
      const record = this.records.get(readSlotRequestKey(release));
      if (record === undefined) this.sendRelease(this.findHopFor(release.service, address), release);
      else if (record.from === address) this.release(release);
    }
  }

  /** Runs once a tick of the loop. */
  tick(nowMs: number): void {
    this.allowForOwnDelay(nowMs);
    if (this.records.size === 0 && this.scheduled.size === 0) return;
    this.passOverSilentHops(nowMs);
    this.withdrawUnreachable();
    this.sweep(nowMs);
    this.refreshScheduled(nowMs);
    this.checkOwnHops();
  }

  private route(request: SlotRequest, from: string, hop: string): void {
    const { box, number, service } = request;
    const known = this.records.get(readSlotRequestKey(request));
    // What waits at a box that still answers, such as one that is about to stop, keeps its place there.
    if (known !== undefined && this.answers(known.hop)) return this.send(request, { ...known, from });
    if (known !== undefined) this.sendRelease(known.hop, createUnusedRelease(request));
    this.send(request, { box, number, service, hop, from, updatedAtMs: 0 });
  }

  private send(request: SlotRequest, record: HopRecord): void {
    const { now, mesh, scheduling } = this.options;
    const { service, hop } = record;
    this.records.set(readSlotRequestKey(record), { ...record, updatedAtMs: now() });
    if (hop !== mesh.address) return this.outbox.addRequest(hop, request);
    if (!this.scheduled.has(service)) this.startScheduling(service);
    this.deliver(scheduling.handleRequest(request, now()));
  }

  private sendRelease(hop: string, release: SlotRelease): void {
    const { mesh, scheduling, now } = this.options;
    if (hop === mesh.address) this.deliver(scheduling.handleRelease(release, now()));
    else this.outbox.addRelease(hop, release);
  }

  /** Delivers answers of the own scheduling; a slot for a request that has gone elsewhere is given back. */
  private deliver(answers: readonly SlotAnswer[]): void {
    const { mesh, scheduling, now } = this.options;
    for (const answer of answers) {
      if (this.records.get(readSlotRequestKey(answer))?.hop === mesh.address) this.passOn(answer);
      else if (answer.type === 'granted')
        this.deliver(scheduling.handleRelease(createUnusedRelease(answer), now()));
    }
  }

  private passOn(answer: SlotAnswer): void {
    const key = readSlotRequestKey(answer);
    const record = this.records.get(key);
    if (record === undefined) return;
    if (answer.type === 'rejected') this.records.delete(key);
    if (record.from === this.options.mesh.address) this.options.onAnswer(answer);
    else this.outbox.addAnswer(record.from, answer);
  }

  private startScheduling(service: string): void {
    const { scheduling, listEndpoints, now } = this.options;
    this.scheduled.add(service);
    this.deliver(scheduling.setEndpoints(service, listEndpoints(service), now()));
  }

  private refreshScheduled(nowMs: number): void {
    const { scheduling, listEndpoints, mesh } = this.options;
    // It forgets services without requests, so their endpoints are set afterwards.
    this.deliver(scheduling.tick(nowMs));
    const inUse = new Set<string>();
    for (const { hop, service } of this.records.values()) if (hop === mesh.address) inUse.add(service);
    for (const service of this.scheduled) {
      if (inUse.has(service)) this.deliver(scheduling.setEndpoints(service, listEndpoints(service), nowMs));
      else this.scheduled.delete(service);
    }
  }

  /** Time during which this box stood still does not count as silence of others. */
  private allowForOwnDelay(nowMs: number): void {
    const sinceTickMs = nowMs - this.tickedAtMs;
    this.tickedAtMs = nowMs;
    if (sinceTickMs < MAX_TICK_DELAY_MS) return;
    for (const [hop, sinceMs] of this.unansweredSinceMs)
      this.unansweredSinceMs.set(hop, Math.min(nowMs, sinceMs + sinceTickMs));
  }

  private passOverSilentHops(nowMs: number): void {
    for (const [hop, sinceMs] of this.unansweredSinceMs) {
      if (nowMs - sinceMs < HOP_SILENCE_MS) continue;
      this.unansweredSinceMs.delete(hop);
      const forMs = Math.min(MAX_PASS_OVER_MS, 2 * (this.passedOver.get(hop)?.forMs ?? PASS_OVER_MS / 2));
      this.passedOver.set(hop, { untilMs: nowMs + forMs, forMs });
      this.view = undefined;
    }
  }

  /** Withdraws the requests and releases the slots of boxes that were linked to this one and no longer are. */
  private withdrawUnreachable(): void {
    const { mesh, scheduling, now } = this.options;
    const { reachable } = this.readView();
    const gone = new Set<string>();
    for (const [key, record] of this.records) {
      const { box, from, hop } = record;
      if (box === mesh.address || from !== box || reachable.has(box)) continue;
      gone.add(box);
      this.records.delete(key);
      if (hop !== mesh.address) this.outbox.addRelease(hop, createUnusedRelease(record));
    }
    for (const box of gone) this.deliver(scheduling.dropBox(box, now()));
  }

  private sweep(nowMs: number): void {
    if (nowMs - this.sweptAtMs < SWEEP_INTERVAL_MS) return;
    this.sweptAtMs = nowMs;
    for (const [key, { updatedAtMs }] of this.records)
      if (nowMs - updatedAtMs > HOP_TTL_MS) this.records.delete(key);
    for (const [hop, { untilMs }] of this.passedOver)
      if (nowMs - untilMs > HOP_TTL_MS) this.passedOver.delete(hop);
  }

  /** Reports services whose requests go to another hop from now on, so that waiting ones are repeated there at once. */
  private checkOwnHops(): void {
    const services = new Set<string>();
    for (const { from, service } of this.records.values())
      if (from === this.options.mesh.address) services.add(service);
    for (const service of this.ownHops.keys()) {
      if (services.has(service)) this.noteOwnHop(service, this.findHop(service, false));
      else this.ownHops.delete(service);
    }
  }

  private noteOwnHop(service: string, hop: string): void {
    const previous = this.ownHops.get(service);
    this.ownHops.set(service, hop);
    if (previous === undefined || previous === hop) return;
    this.options.onHopChange({ service, hop, previous, isPreviousLost: !this.answers(previous) });
  }

  /** Whether a box answers requests that it has got, also if it gets no new ones. */
  private answers(hop: string): boolean {
    return hop === this.options.mesh.address || this.readView().answering.has(hop);
  }

  /** Next hop of messages from another box: those of the own hall are relayed in a large fleet, others stay here. */
  private findHopFor(service: string, from: string): string {
    const view = this.readView();
    const mustRelay = !view.isFullMesh && view.inOwnHall.has(from);
    return mustRelay ? this.findHop(service, true) : view.own.address;
  }

  private isPassedOver(hop: string): boolean {
    return (this.passedOver.get(hop)?.untilMs ?? 0) > this.options.now();
  }

  private findHop(service: string, isRelaying: boolean): string {
    const view = this.readView();
    const key = `${isRelaying ? 'relayed' : 'own'} ${service}`;
    const known = view.hops.get(key);
    if (known !== undefined) return known;
    const hop = findNextHop(service, view, isRelaying, this.options.hash);
    view.hops.set(key, hop);
    return hop;
  }

  private readView(): RelayView {
    const nowMs = this.options.now();
    if (this.view === undefined || nowMs - this.view.createdAtMs >= VIEW_MS)
      this.view = this.createView(nowMs);
    return this.view;
  }

  private createView(nowMs: number): RelayView {
    const { mesh, hall, isAble } = this.options;
    const reachable = mesh.listReachable();
    const answering = reachable.filter(
      ({ address, handlesSlots }) => handlesSlots === true && !this.isPassedOver(address),
    );
    return {
      isFullMesh: mesh.isFullMesh,
      own: { address: mesh.address, hall },
      isOwnAble: isAble(),
      peers: answering.filter(({ isStopping }) => !isStopping),
      createdAtMs: nowMs,
      reachable: new Set(reachable.map(({ address }) => address)),
      answering: new Set(answering.map(({ address }) => address)),
      inOwnHall: new Set(reachable.filter((peer) => peer.hall === hall).map(({ address }) => address)),
      hops: new Map(),
    };
  }
}

function createUnusedRelease({
  box,
  number,
  service,
}: SlotRequestId & { readonly service: string }): SlotRelease {
  return { box, number, service, outcome: 'unused', heldMs: 0 };
}
