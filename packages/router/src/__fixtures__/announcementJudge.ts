/** Judges what reaches endpoints by what they announced in responses to the same run of a box. */
import type { VirtualBox } from '../membership/__fixtures__/virtualFleet.js';

/** Requests that callers send later than this after an announcement must not reach the endpoint. */
const DRAIN_MS = 2_000;

/** A request at a box: which run of its process took it, and when the caller sent it. */
export interface BoxCall {
  readonly box: VirtualBox;
  readonly run: number;
  readonly calledAtMs: number;
}

/** Counts requests that break what endpoints were promised. */
export class AnnouncementJudge {
  /** Requests that reached an endpoint although their caller had sent them too long after it announced that it leaves. */
  lateAfterLeaving = 0;
  /** When each run of a box first passed on that an endpoint leaves. */
  private readonly leavingSinceMs = new Map<string, number>();

  /** A box passes on a response that says that its endpoint leaves. */
  noteLeaving(call: BoxCall, endpointId: string, nowMs: number): void {
    const key = describeRun(call, endpointId);
    if (!this.leavingSinceMs.has(key)) this.leavingSinceMs.set(key, nowMs);
  }

  /** A request reaches an endpoint. */
  noteArrival(call: BoxCall, endpointId: string): void {
    const sinceMs = this.leavingSinceMs.get(describeRun(call, endpointId)) ?? Infinity;
    if (call.calledAtMs > sinceMs + DRAIN_MS) this.lateAfterLeaving += 1;
  }
}

/** Names an endpoint as one run of a box knows it. */
function describeRun({ box, run }: BoxCall, endpointId: string): string {
  return `${box.address} ${run} ${endpointId}`;
}
