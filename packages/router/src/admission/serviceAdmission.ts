/**
 * Decides about each request of a caller by the room of its service. With ample room it is sent at once and costs
 * nothing. If a small service is short of room, a box schedules its slots; if a large one is, or one whose endpoints hold
 * prompts and are not brittle, each box sheds load.
 */
import type { RoomWatch } from '../capacity/roomWatch.js';
import type { ServiceRoom } from '../capacity/serviceRoom.js';
import { readUse } from '../capacity/serviceRoom.js';
import type { FeatureSwitches } from '../featureSwitches.js';
import type { SheddingLog } from '../observability/sheddingLog.js';
import type { AdmissionDecision, AdmissionGate, AdmissionRequest, AdmissionHandle } from './admission.js';
import { ExpectedDurations } from './expectedDurations.js';
import type { LoadShedder } from './loadShedder.js';
import type { LoadShedding } from './loadShedding.js';
import type { SlotClient } from './slotClient.js';

/** Most slots that one box schedules: some ten thousand requests a second of some tens of milliseconds. */
const MAX_SCHEDULED_SLOTS = 256;
/** The same for brittle endpoints, which fall over otherwise: larger services are engines, whose requests take a second. */
const MAX_BRITTLE_SLOTS = 4_096;

/** A service as its endpoints list it. */
export interface ServiceDescription {
  readonly endpoints: number;
  readonly slots: number;
  /** Whether its endpoints end for a while if they have to reject many requests. */
  readonly isBrittle: boolean;
}

/** Dependencies and callbacks of the gate. */
export interface ServiceAdmissionOptions {
  readonly features: FeatureSwitches;
  readonly room: RoomWatch;
  readonly slots: Pick<SlotClient, 'apply'>;
  readonly shedding: LoadShedding & Pick<LoadShedder, 'readAdmittedShare'>;
  readonly sheddingLog: Pick<SheddingLog, 'recordShare' | 'recordRejected'>;
  readonly describeService: (service: string) => ServiceDescription;
  readonly now: () => number;
  /** Calls back once after a time; returns a function that cancels it. */
  readonly schedule: (delayMs: number, callback: () => void) => () => void;
  /** Called with the change of the number of requests that wait, and for each that waited with its time. */
  readonly onWaiting: (service: string, change: 1 | -1, waitedMs: number) => void;
}

type OnDecision = (decision: AdmissionDecision) => void;

const NO_HANDLE: AdmissionHandle = { release: () => {} };

function proceed(onDecision: OnDecision): AdmissionHandle {
  onDecision({ type: 'proceed', endpointTag: undefined, basis: { type: 'unlimited' } });
  return NO_HANDLE;
}

/** The gate of one box. */
export class ServiceAdmission implements AdmissionGate {
  private readonly durations = new ExpectedDurations();
  /** Services about whose requests load shedding has decided. */
  private readonly sheddableServices = new Set<string>();

  constructor(private readonly options: ServiceAdmissionOptions) {}

  /** Records the room of a service, twice a second. */
  updateRoom(service: string, room: ServiceRoom): void {
    const { shedding, sheddingLog, now } = this.options;
    this.options.room.update(service, room, now());
    shedding.updateRoom(service, room, now());
    if (!this.sheddableServices.has(service)) return;
    sheddingLog.recordShare(service, shedding.readAdmittedShare(service, now()), readUse(room));
  }

  /** Forgets the services that are not among these. */
  retain(services: ReadonlySet<string>): void {
    this.options.room.retain(services);
    this.options.shedding.retain(services);
    for (const service of this.sheddableServices) {
      if (!services.has(service)) this.sheddableServices.delete(service);
    }
  }

  enter(request: AdmissionRequest, onDecision: OnDecision): AdmissionHandle {
    const { features, room, describeService } = this.options;
    if (room.isShort(request.service)) {
      const { endpoints, slots, isBrittle } = describeService(request.service);
      // The slot of a prompt may be at an endpoint that does not hold it, which is better than one that falls over.
      const isScheduled = isBrittle
        ? slots <= MAX_BRITTLE_SLOTS
        : slots <= MAX_SCHEDULED_SLOTS && !request.hasPrompt;
      // If it can use none of them, no slot helps, and placement knows why.
      const isUnusable = request.listExcluded().length >= endpoints;
      if (isUnusable) return proceed(onDecision);
      if (isScheduled && features.isOn('slotScheduling'))
        return this.requestSlot(request, isBrittle, onDecision);
      if (!isScheduled && features.isOn('loadShedding')) return this.shed(request, onDecision);
    }
    return proceed(onDecision);
  }

  private requestSlot(
    request: AdmissionRequest,
    needsSlot: boolean,
    onDecision: OnDecision,
  ): AdmissionHandle {
    const { slots, now } = this.options;
    const { service } = request;
    const wait = this.startWait(service, onDecision);
    const latestStartAtMs = this.durations.findLatestStart(service, request);
    const handle = slots.apply({ request, latestStartAtMs, needsSlot, onDecision: wait.decide });
    return {
      release: (outcome) => {
        if (outcome === 'served' && wait.decidedAtMs !== undefined)
          this.durations.record(service, now() - wait.decidedAtMs);
        wait.end();
        handle.release(outcome);
      },
    };
  }

  private shed(request: AdmissionRequest, onDecision: OnDecision): AdmissionHandle {
    const { shedding, sheddingLog, now, schedule } = this.options;
    this.sheddableServices.add(request.service);
    const latestStartAtMs = this.durations.findLatestStart(request.service, request);
    // The shedder recognizes a request that waits by its object.
    const sheddable = { ...request, latestStartAtMs };
    const wait = this.startWait(request.service, onDecision);
    let isAdmitted = false;
    let cancelTimer = (): void => {};
    const decide = (): void => {
      const decision = shedding.decide(sheddable, now());
      switch (decision.type) {
        case 'admit':
          isAdmitted = true;
          return wait.decide({ type: 'proceed', endpointTag: undefined, basis: { type: 'admitted' } });
        case 'reject': {
          const { retryAfterMs } = decision;
          const reason = wait.hasWaited ? 'afterWait' : 'atOnce';
          sheddingLog.recordRejected({ request: sheddable, reason, nowMs: now(), retryAfterMs });
          return wait.decide({ type: 'reject', retryAfterMs });
        }
        case 'wait':
          wait.hasWaited = true;
          cancelTimer = schedule(decision.forMs, decide);
      }
    };
    decide();
    return {
      release: (outcome) => {
        cancelTimer();
        if (!isAdmitted) shedding.withdraw(sheddable);
        if (outcome === 'served' && wait.decidedAtMs !== undefined)
          shedding.recordEnd(request.service, now() - wait.decidedAtMs);
        wait.end();
      },
    };
  }

  private startWait(service: string, onDecision: OnDecision): Wait {
    return new Wait(service, this.options, onDecision);
  }
}

/** The time between the entry of a request and its decision. */
class Wait {
  decidedAtMs: number | undefined;
  /** A decision was put off. */
  hasWaited = false;
  private readonly startedAtMs: number;
  private isOver = false;

  constructor(
    private readonly service: string,
    private readonly options: Pick<ServiceAdmissionOptions, 'now' | 'onWaiting'>,
    private readonly onDecision: OnDecision,
  ) {
    this.startedAtMs = options.now();
    options.onWaiting(service, 1, 0);
  }

  readonly decide = (decision: AdmissionDecision): void => {
    if (this.isOver) return;
    this.end();
    this.decidedAtMs = this.options.now();
    this.onDecision(decision);
  };

  /** Ends the wait, also if the caller left before a decision. */
  end(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.options.onWaiting(this.service, -1, this.options.now() - this.startedAtMs);
  }
}
