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
import { GRANT_USE_MS, readSlotRequestKey } from '../admission/slotMessages.js';
import type { SlotAnswersFrame, SlotReleasesFrame, SlotRequestsFrame } from './slotFrames.js';
import { HopSilence } from './hopSilence.js';
import type { PeerMesh } from './peerMesh.js';
import { RelayViews } from './relayViews.js';
import { SlotOutbox } from './slotOutbox.js';
import { findNextHop } from './slotRoute.js';

/** A tick that comes this much later means that this box itself stood still, and others may have answered meanwhile. */
const MAX_TICK_DELAY_MS = 100;
/** Requests without a message for this long are forgotten; no request takes as long. */
const HOP_TTL_MS = 600_000;
const SWEEP_INTERVAL_MS = 10_000;
/** A box that begins to schedule grants nothing at brittle endpoints for this long: the others report what they hold. */
const TAKEOVER_MS = 100;

/** Whether requests are of this box, or of others of its hall for which it relays. */
type RequestSource = 'own' | 'relayed';

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
  /** The request as it was sent last. */
  readonly request: SlotRequest;
  /** The slot that was granted to it; undefined while it waits. */
  held?: { readonly endpointTag: number; readonly sinceMs: number } | undefined;
}

/** Routes the messages about slots of one box. */
export class SlotRelay {
  private readonly outbox: SlotOutbox;
  private readonly records = new Map<string, HopRecord>();
  private readonly views: RelayViews;
  private readonly silence = new HopSilence();
  /** Services that this box schedules at present. */
  private readonly scheduled = new Set<string>();
  /** Hops of the services that this box has requests for, its own ones and those that it relays. */
  private readonly usedHops: Readonly<Record<RequestSource, Map<string, string>>> = {
    own: new Map(),
    relayed: new Map(),
  };
  private tickedAtMs: number;
  private sweptAtMs = 0;

  constructor(private readonly options: SlotRelayOptions) {
    const { mesh, defer, now } = options;
    this.tickedAtMs = now();
    this.views = new RelayViews({ ...options, silence: this.silence });
    this.outbox = new SlotOutbox({
      mesh,
      defer,
      onRequestsSent: (hop) => this.silence.recordSent(hop, now()),
    });
  }

  /** Routes a request of this box, or one that it repeats. The answer may come before this returns. */
  request(request: SlotRequest): void {
    this.allowForOwnDelay(this.options.now());
    this.checkHop(request.service, 'own');
    this.route(request, this.options.mesh.address, this.findHop(request.service, 'own'));
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
    this.allowForOwnDelay(this.options.now());
    for (const request of requests) {
      const hop = this.findHopFor(request.service, address);
      const isOwn = hop === this.options.mesh.address;
      if (!isOwn) {
        this.checkHop(request.service, 'relayed');
        // One that asks again waits for an answer from further on.
        if (this.records.has(readSlotRequestKey(request))) this.outbox.addReceipt(address);
      }
      this.route(request, address, hop);
    }
  }

  /** Handles answers of a hop. */
  handleAnswers({ address, answers }: SlotAnswersFrame): void {
    this.allowForOwnDelay(this.options.now());
    this.silence.recordAnswer(address, this.options.now());
    for (const answer of answers) {
      if (this.records.get(readSlotRequestKey(answer))?.hop === address) this.passOn(answer);
      else if (answer.type === 'granted') this.outbox.addRelease(address, createUnusedRelease(answer));
    }
  }

  /** Handles releases of another box. One that comes late over a former way would free a slot that is in use. */
  handleReleases({ address, releases }: SlotReleasesFrame): void {
    this.allowForOwnDelay(this.options.now());
    for (const release of releases) {
      const record = this.records.get(readSlotRequestKey(release));
      if (record === undefined) this.sendRelease(this.findHopFor(release.service, address), release);
      else if (record.from === address) this.release(release);
    }
  }

  /** Runs once a tick of the loop. */
  tick(nowMs: number): void {
    this.allowForOwnDelay(nowMs);
    this.tickedAtMs = nowMs;
    if (this.records.size === 0 && this.scheduled.size === 0) return;
    if (this.silence.update(nowMs)) this.views.drop();
    this.withdrawUnreachable();
    this.sweep(nowMs);
    this.refreshScheduled(nowMs);
    this.checkHops();
  }

  private route(request: SlotRequest, from: string, hop: string): void {
    const { box, number, service } = request;
    const known = this.records.get(readSlotRequestKey(request));
    // What waits at a box that still answers, such as one that is about to stop, keeps its place there.
    if (known !== undefined && this.answers(known.hop)) return this.send(request, { ...known, from });
    if (known !== undefined) this.sendRelease(known.hop, createUnusedRelease(request));
    this.send(request, { box, number, service, hop, from, updatedAtMs: 0, request });
  }

  private send(request: SlotRequest, record: HopRecord): void {
    const { now, mesh, scheduling } = this.options;
    const { service, hop } = record;
    const { heldTag } = request;
    const held =
      record.held ?? (heldTag === undefined ? undefined : { endpointTag: heldTag, sinceMs: now() });
    this.records.set(readSlotRequestKey(record), { ...record, request, held, updatedAtMs: now() });
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
    if (answer.type === 'granted')
      record.held ??= { endpointTag: answer.endpointTag, sinceMs: this.options.now() };
    if (record.from === this.options.mesh.address) this.options.onAnswer(answer);
    else this.outbox.addAnswer(record.from, answer);
  }

  private startScheduling(service: string): void {
    const { scheduling, listEndpoints, now } = this.options;
    this.scheduled.add(service);
    scheduling.suspend(service, now() + TAKEOVER_MS);
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
    if (sinceTickMs < MAX_TICK_DELAY_MS) return;
    this.tickedAtMs = nowMs;
    this.silence.allowForPause(sinceTickMs, nowMs);
    // Another box may have taken over meanwhile.
    for (const service of this.scheduled) this.options.scheduling.suspend(service, nowMs + TAKEOVER_MS);
  }

  /** Withdraws the requests and releases the slots of boxes that were linked to this one and no longer are. */
  private withdrawUnreachable(): void {
    const { mesh, scheduling, now } = this.options;
    const { reachable } = this.views.read();
    const gone = new Set<string>();
    for (const [key, record] of this.records) {
      const { box, from, hop } = record;
      if (box === mesh.address || from !== box || reachable.has(box)) continue;
      gone.add(box);
      this.records.delete(key);
      if (hop !== mesh.address) this.outbox.addRelease(hop, this.createLostRelease(record));
    }
    for (const box of gone) this.deliver(scheduling.dropBox(box, now()));
  }

  private sweep(nowMs: number): void {
    if (nowMs - this.sweptAtMs < SWEEP_INTERVAL_MS) return;
    this.sweptAtMs = nowMs;
    for (const [key, { updatedAtMs }] of this.records)
      if (nowMs - updatedAtMs > HOP_TTL_MS) this.records.delete(key);
    this.silence.sweep(nowMs);
  }

  /** Checks whether requests in progress go to another hop from now on. */
  private checkHops(): void {
    for (const source of ['own', 'relayed'] as const) {
      const services = new Set<string>();
      for (const record of this.records.values())
        if (this.findSource(record) === source) services.add(record.service);
      for (const service of this.usedHops[source].keys()) {
        if (services.has(service)) this.checkHop(service, source);
        else this.usedHops[source].delete(service);
      }
    }
  }

  /** Moves requests in progress to the hop that their service has now; those that hold a slot report it there. */
  private checkHop(service: string, source: RequestSource): void {
    const hop = this.findHop(service, source);
    const previous = this.usedHops[source].get(service);
    this.usedHops[source].set(service, hop);
    if (previous === undefined || previous === hop) return;
    const isPreviousLost = !this.answers(previous);
    for (const record of [...this.records.values()]) {
      if (record.service !== service || this.findSource(record) !== source) continue;
      if (record.held !== undefined) this.reportHeld(record, hop);
      else if (source === 'relayed' && isPreviousLost) this.send(record.request, { ...record, hop });
    }
    if (source === 'own') this.options.onHopChange({ service, hop, previous, isPreviousLost });
  }

  private reportHeld(record: HopRecord, hop: string): void {
    const { request, held, updatedAtMs } = record;
    const expiresMs = request.expiresMs - Math.round(this.options.now() - updatedAtMs);
    this.send({ ...request, expiresMs, heldTag: held?.endpointTag }, { ...record, hop });
  }

  private findSource({ from }: HopRecord): RequestSource | undefined {
    const { mesh } = this.options;
    if (from === mesh.address) return 'own';
    return this.mustRelay(from) ? 'relayed' : undefined;
  }

  /** A slot of a box that is lost may still be used, or about to be. */
  private createLostRelease(record: HopRecord): SlotRelease {
    const heldMs = record.held && this.options.now() - record.held.sinceMs - GRANT_USE_MS;
    return {
      ...createUnusedRelease(record),
      heldMs: heldMs === undefined ? 0 : Math.max(1, Math.round(heldMs)),
    };
  }

  /** Whether a box answers requests that it has got, also if it gets no new ones. */
  private answers(hop: string): boolean {
    return hop === this.options.mesh.address || this.views.read().answering.has(hop);
  }

  /** Next hop of messages from another box: those of the own hall are relayed in a large fleet, others stay here. */
  private findHopFor(service: string, from: string): string {
    return this.mustRelay(from) ? this.findHop(service, 'relayed') : this.views.read().own.address;
  }

  private mustRelay(from: string): boolean {
    const view = this.views.read();
    return !view.isFullMesh && view.inOwnHall.has(from);
  }

  private findHop(service: string, source: RequestSource): string {
    const view = this.views.read();
    const key = `${source} ${service}`;
    const known = view.hops.get(key);
    if (known !== undefined) return known;
    const hop = findNextHop(service, view, source === 'relayed', this.options.hash);
    view.hops.set(key, hop);
    return hop;
  }
}

function createUnusedRelease({
  box,
  number,
  service,
}: SlotRequestId & { readonly service: string }): SlotRelease {
  return { box, number, service, outcome: 'unused', heldMs: 0 };
}
