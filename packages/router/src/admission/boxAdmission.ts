/** The parts of a box that decide about admission, connected with its tables, its links, its metrics and its log. */
import { afterSocketReads } from '../afterSocketReads.js';
import { RoomWatch } from '../capacity/roomWatch.js';
import type { RoomChange } from '../capacity/roomWatch.js';
import type { RoomView } from '../capacity/serviceRoom.js';
import { readServiceRoom, readSlotsInEffect } from '../capacity/serviceRoom.js';
import type { FeatureSwitches } from '../featureSwitches.js';
import type { DecisionLog } from '../observability/decisionLog.js';
import type { RouterMetrics } from '../observability/metrics.js';
import type { PeerMesh } from '../peers/peerMesh.js';
import type { HopChange } from '../peers/slotRelay.js';
import { SlotRelay } from '../peers/slotRelay.js';
import { SheddingLog } from '../observability/sheddingLog.js';
import { BrittleServices } from '../systems/brittleServices.js';
import { acceptsRequests } from '../systems/endpointNotices.js';
import type { PublishedState } from '../published/publishedState.js';
import { readFleetLoad } from '../tables/endpointTable.js';
import type { EndpointTable } from '../tables/endpointTable.js';
import type { LoadShedder } from './loadShedder.js';
import type { ServiceDescription } from './serviceAdmission.js';
import { ServiceAdmission } from './serviceAdmission.js';
import { SlotClient } from './slotClient.js';
import type { SchedulableEndpoint, SlotScheduling } from './slotMessages.js';

/** Interval at which the room of the services is determined: loads are not reported more often. */
const ROOM_INTERVAL_MS = 500;
/** Numbers of requests for slots that a box may use in a millisecond: those of its next run start after them. */
const SLOT_REQUESTS_PER_MS = 1_000;

/** Dependencies and settings of the admission. */
export interface BoxAdmissionOptions {
  readonly hall: string;
  readonly mesh: PeerMesh;
  readonly table: EndpointTable;
  readonly state: Pick<PublishedState, 'evacuations' | 'index'>;
  readonly features: FeatureSwitches;
  readonly metrics: RouterMetrics;
  readonly log: DecisionLog;
  readonly scheduling: SlotScheduling;
  readonly shedding: LoadShedder;
  readonly hash: (text: string) => number;
  readonly now: () => number;
  /** Completeness and age of the known loads of the other boxes. */
  readonly readView: () => RoomView;
  readonly isStopping: () => boolean;
}

/** Admission of one box. */
export class BoxAdmission {
  readonly gate: ServiceAdmission;
  readonly slotRelay: SlotRelay;
  private readonly brittle: BrittleServices;
  private readonly room: RoomWatch;
  private readonly client: SlotClient;
  private updatedAtMs = -Infinity;

  constructor(private readonly options: BoxAdmissionOptions) {
    const { hall, mesh, features, metrics, scheduling, shedding, hash, now } = options;
    this.brittle = new BrittleServices(options.table);
    this.room = new RoomWatch((change) => this.logRoomChange(change));
    this.slotRelay = new SlotRelay({
      mesh,
      hall,
      scheduling,
      hash,
      now,
      defer: (callback) => void setImmediate(callback),
      isAble: () => this.handlesSlots && !options.isStopping(),
      listEndpoints: (service) => this.listEndpoints(service),
      onAnswer: (answer) => this.client.handleAnswer(answer),
      onHopChange: (change) => this.handleHopChange(change),
    });
    this.client = new SlotClient({
      relay: this.slotRelay,
      readAddress: () => mesh.address,
      now,
      schedule,
      afterReads: afterSocketReads,
      firstNumber: Date.now() * SLOT_REQUESTS_PER_MS,
      onEvent: (outcome) => metrics.slotRequests.inc({ outcome }),
    });
    this.gate = new ServiceAdmission({
      features,
      room: this.room,
      slots: this.client,
      shedding,
      sheddingLog: new SheddingLog(options.log, metrics),
      describeService: (service) => this.describeService(service),
      now,
      schedule,
      onWaiting: (service, change, waitedMs) => this.recordWaiting(service, change, waitedMs),
    });
  }

  /** Whether this box handles frames about slots. */
  get handlesSlots(): boolean {
    return this.options.features.isOn('slotScheduling');
  }

  /** Whether a service is so full that hedges and repeats would take slots from others. */
  isFull(service: string): boolean {
    return this.room.isFull(service, this.options.now());
  }

  /** Records that an endpoint of a service refused a request for lack of room. */
  recordRefusal(service: string): void {
    this.room.recordRefusal(service, this.options.now());
  }

  /** Services with brittle endpoints, as this box has seen, for the other boxes. */
  listBrittle(): string[] {
    return this.brittle.listObserved(this.options.now());
  }

  /** Records what a response states about its endpoint: from then on no request goes to a brittle one without a slot. */
  handleStatement(service: string, rejectionsPerS: number | undefined): void {
    if (rejectionsPerS !== undefined) this.room.recordBrittle(service, this.options.now());
  }

  /** Records the services with brittle endpoints that another box has seen. */
  handleBrittle(services: readonly string[]): void {
    const nowMs = this.options.now();
    for (const service of this.brittle.addReported(services, nowMs)) this.room.recordBrittle(service, nowMs);
  }

  /** Runs once a tick of the loop. */
  tick(nowMs: number): void {
    this.slotRelay.tick(nowMs);
    if (nowMs - this.updatedAtMs < ROOM_INTERVAL_MS) return;
    this.updatedAtMs = nowMs;
    this.updateRoom(nowMs);
  }

  private updateRoom(nowMs: number): void {
    const { table, metrics, readView } = this.options;
    const view = readView();
    const services = new Set([...table.byId.values()].map(({ listing }) => listing.service));
    for (const service of services) {
      const rows = table.listService(service);
      this.gate.updateRoom(service, readServiceRoom(rows, view, nowMs));
      // A refusal, which would show a shortage, comes too late for endpoints that do not survive many.
      if (this.brittle.has(service, nowMs)) this.room.recordBrittle(service, nowMs);
    }
    this.gate.retain(services);
    metrics.shortServices.set(this.room.shortCount);
  }

  /**
   * Endpoints that get requests without a limit on their rate: reachable, accepting, not evacuated, not cold. One that
   * this box has ejected stays, as the failures of its own requests are no reason for all boxes; each box excludes those
   * that it has ejected itself. If it reaches none of them, it is probably cut off itself, and all stay.
   */
  private listEndpoints(service: string): SchedulableEndpoint[] {
    const { table, state, now } = this.options;
    const nowMs = now();
    const isLimitedWhileCold = state.index?.findService(service)?.coldStart !== undefined;
    const rows = table.listService(service);
    const rejectionsPerS = this.brittle.readRejectionsPerS(service, nowMs);
    const reachable = rows.filter(({ health }) => health.type !== 'unreachable');
    return (reachable.length > 0 ? reachable : rows)
      .filter((row) => acceptsRequests(row, nowMs))
      .filter(({ listing }) => !state.evacuations.isEvacuated(listing.hall))
      .filter(({ coldUntilMs }) => !isLimitedWhileCold || nowMs >= coldUntilMs)
      .map((row) => ({
        tag: row.tag,
        slotsInEffect: readSlotsInEffect(row),
        reportedInFlight: readFleetLoad(row),
        rejectionsPerS,
      }));
  }

  private describeService(service: string): ServiceDescription {
    const rows = this.options.table.listService(service);
    const slots = rows.reduce((sum, { listing }) => sum + listing.slots, 0);
    return { endpoints: rows.length, slots, isBrittle: this.brittle.has(service, this.options.now()) };
  }

  private handleHopChange({ service, hop, previous, isPreviousLost }: HopChange): void {
    this.options.log.write('notable', 'slotRouteChanged', { service, next: hop, before: previous });
    if (isPreviousLost) this.client.repeatWaiting(service);
  }

  private recordWaiting(service: string, change: 1 | -1, waitedMs: number): void {
    const { metrics } = this.options;
    metrics.waitingRequests.inc(change);
    if (change < 0) metrics.admissionWaitMs.observe({ service }, waitedMs);
  }

  private logRoomChange({ service, state, reason, averageUse, room }: RoomChange): void {
    this.options.log.write('notable', 'serviceRoom', {
      service,
      state,
      reason,
      averageUse: Math.round(averageUse * 100) / 100,
      slotsInEffect: room?.slotsInEffect,
      inFlight: room?.inFlight,
      view: room?.view.extent,
    });
  }
}

function schedule(delayMs: number, callback: () => void): () => void {
  const timer = setTimeout(callback, delayMs).unref();
  return () => clearTimeout(timer);
}
