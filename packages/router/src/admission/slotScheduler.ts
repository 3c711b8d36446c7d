/** Schedules the slots of the services of one box's part of the fleet: one schedule for each service. */
import type { ScheduleStatus } from './serviceSchedule.js';
import { ServiceSchedule } from './serviceSchedule.js';
import type {
  SchedulableEndpoint,
  SlotAnswer,
  SlotRelease,
  SlotRequest,
  SlotScheduling,
} from './slotMessages.js';

/**
 * Schedules the slots of services.
 *
 * @example
 * const scheduler = new SlotScheduler(Math.random);
 * scheduler.setEndpoints('orders', [{ tag: 1, slotsInEffect: 6, reportedInFlight: 0 }], nowMs);
 * scheduler.handleRequest(request, nowMs); // [{ type: 'granted', endpointTag: 1, ... }]
 */
export class SlotScheduler implements SlotScheduling {
  private readonly schedules = new Map<string, ServiceSchedule>();

  /** @param random returns a number between 0 and 1 */
  constructor(private readonly random: () => number) {}

  /** Replaces the usable endpoints of a service. */
  setEndpoints(service: string, endpoints: readonly SchedulableEndpoint[], nowMs: number): SlotAnswer[] {
    return this.findSchedule(service, nowMs).setEndpoints(endpoints, nowMs);
  }

  /** Handles a request; one for a service without endpoints is rejected. */
  handleRequest(request: SlotRequest, nowMs: number): SlotAnswer[] {
    return this.findSchedule(request.service, nowMs).handleRequest(request, nowMs);
  }

  /** Handles a release; one of a slot that a predecessor granted has no effect. */
  handleRelease(release: SlotRelease, nowMs: number): SlotAnswer[] {
    return this.schedules.get(release.service)?.handleRelease(release, nowMs) ?? [];
  }

  /** Grants no slots of a service until then, if its endpoints are brittle. */
  suspend(service: string, untilMs: number): void {
    this.findSchedule(service, untilMs).suspend(untilMs);
  }

  /** Forgets a service, which another box schedules now. */
  end(service: string): void {
    this.schedules.delete(service);
  }

  /** Withdraws the requests and releases the slots of a box that is down. */
  dropBox(box: string, nowMs: number): SlotAnswer[] {
    return [...this.schedules.values()].flatMap((schedule) => schedule.dropBox(box, nowMs));
  }

  /** Rejects requests that can no longer start in time, and frees slots that were never released. */
  tick(nowMs: number): SlotAnswer[] {
    const answers = [...this.schedules.values()].flatMap((schedule) => schedule.tick(nowMs));
    for (const [service, schedule] of this.schedules) {
      if (schedule.isIdle(nowMs)) this.schedules.delete(service);
    }
    return answers;
  }

  /** Describes the schedules of all services, for logs and metrics. */
  describeServices(): ScheduleStatus[] {
    return [...this.schedules.values()].map((schedule) => schedule.describe());
  }

  private findSchedule(service: string, nowMs: number): ServiceSchedule {
    const existing = this.schedules.get(service);
    if (existing !== undefined) return existing;
    const schedule = new ServiceSchedule(service, this.random, nowMs);
    this.schedules.set(service, schedule);
    return schedule;
  }
}
