/** Grants slots in the order of the requests, without priorities. */
import type {
  SchedulableEndpoint,
  SlotAnswer,
  SlotRelease,
  SlotRequest,
  SlotScheduling,
  SlotRequestId,
} from '../../admission/slotMessages.js';

const toKey = ({ box, number }: SlotRequestId): string => `${box}#${number}`;

/** Slots that were never released are freed after this time. */
const HOLD_LIMIT_MS = 2_000;

/** Schedules exactly the slots of one service. */
export class FirstComeScheduler implements SlotScheduling {
  /** Tag of the endpoint of each granted slot, by request. */
  readonly grants = new Map<string, number>();
  readonly waiting = new Map<string, SlotRequest>();
  private readonly grantedAtMs = new Map<string, number>();
  private nowMs = 0;
  private endpoints: readonly SchedulableEndpoint[] = [];

  setEndpoints(_service: string, endpoints: readonly SchedulableEndpoint[]): SlotAnswer[] {
    this.endpoints = endpoints;
    return this.grantFree();
  }

  handleRequest(request: SlotRequest): SlotAnswer[] {
    if (request.heldTag !== undefined) {
      this.grants.set(toKey(request), request.heldTag);
      return [];
    }
    const granted = this.grants.get(toKey(request));
    if (granted !== undefined) return [this.createGrant(request, granted)];
    this.waiting.set(toKey(request), request);
    const { box, number } = request;
    const answers = this.grantFree();
    return this.waiting.has(toKey(request))
      ? [...answers, { type: 'queued', box, number, expectedWaitMs: 50 }]
      : answers;
  }

  handleRelease(release: SlotRelease): SlotAnswer[] {
    this.waiting.delete(toKey(release));
    this.grants.delete(toKey(release));
    return this.grantFree();
  }

  suspend(): void {}

  end(): void {
    this.grants.clear();
    this.waiting.clear();
  }

  dropBox(box: string): SlotAnswer[] {
    for (const requests of [this.waiting, this.grants])
      for (const key of requests.keys()) if (key.startsWith(`${box}#`)) requests.delete(key);
    return this.grantFree();
  }

  tick(nowMs: number): SlotAnswer[] {
    this.nowMs = nowMs;
    for (const key of this.grants.keys())
      if (nowMs - (this.grantedAtMs.get(key) ?? nowMs) > HOLD_LIMIT_MS) this.grants.delete(key);
    return this.grantFree();
  }

  private grantFree(): SlotAnswer[] {
    const answers: SlotAnswer[] = [];
    const byWait = [...this.waiting].sort(([, a], [, b]) => b.waitedMs - a.waitedMs);
    for (const [key, request] of byWait) {
      const free = this.endpoints.find(({ tag, slotsInEffect }) => this.countGrants(tag) < slotsInEffect);
      if (free === undefined) break;
      this.waiting.delete(key);
      this.grants.set(key, free.tag);
      this.grantedAtMs.set(key, this.nowMs);
      answers.push(this.createGrant(request, free.tag));
    }
    return answers;
  }

  private countGrants(tag: number): number {
    return [...this.grants.values()].filter((granted) => granted === tag).length;
  }

  private createGrant({ box, number, service }: SlotRequest, endpointTag: number): SlotAnswer {
    return { type: 'granted', box, number, service, endpointTag };
  }
}
