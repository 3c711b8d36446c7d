/**
 * Load shedding of services with too many slots for scheduling each one.
 *
 * It acts when a service has more requests than room, such as in a burst of the least urgent requests on full endpoints,
 * or when a team sends several times its usual rate. Each box decides by itself; nothing is granted, so nothing can be
 * granted twice.
 */
import type { ServiceRoom } from '../capacity/serviceRoom.js';
import type { LoadShedding, LoadSheddingDecision, SheddableRequest } from './loadShedding.js';
import { ServiceShedder } from './serviceShedder.js';

/** Sheds load of one box, by service. */
export class LoadShedder implements LoadShedding {
  private readonly services = new Map<string, ServiceShedder>();

  /** @param random returns random numbers between 0 and 1 */
  constructor(private readonly random: () => number) {}

  updateRoom(service: string, room: ServiceRoom, nowMs: number): void {
    this.readService(service).updateRoom(room, nowMs);
  }

  /**
   * Decides about a request; one that waits is recognized by its object.
   *
   * @example shedder.decide(request, performance.now()) // { type: 'wait', forMs: 100 }
   */
  decide(request: SheddableRequest, nowMs: number): LoadSheddingDecision {
    return this.readService(request.service).decide(request, nowMs);
  }

  withdraw(request: SheddableRequest): void {
    this.services.get(request.service)?.withdraw(request);
  }

  recordEnd(service: string, tookMs: number): void {
    this.services.get(service)?.recordEnd(tookMs);
  }

  retain(services: ReadonlySet<string>): void {
    for (const service of this.services.keys()) if (!services.has(service)) this.services.delete(service);
  }

  /**
   * Share of the requests to a service that is admitted.
   *
   * @example shedder.readAdmittedShare('chat', performance.now()) // 1 while there is room
   */
  readAdmittedShare(service: string, nowMs: number): number {
    return this.services.get(service)?.readAdmittedShare(nowMs) ?? 1;
  }

  private readService(name: string): ServiceShedder {
    let service = this.services.get(name);
    if (service === undefined) {
      service = new ServiceShedder(this.random);
      this.services.set(name, service);
    }
    return service;
  }
}
