/** Judges what reaches endpoints by what they announced in responses to the same run of a box. */
import type { VirtualBox } from '../membership/__fixtures__/virtualFleet.js';

/** Requests that callers send later than this after an announcement must not reach the endpoint. */
const DRAIN_MS = 2_000;

/** Requests that are on their way when an endpoint asks for a back-off may still arrive for so long. */
const BACK_OFF_GRACE_MS = 500;

/** A time in which an endpoint wants no requests from one run of a box. */
interface BackOff {
  readonly fromMs: number;
  readonly untilMs: number;
  arrivals: number;
}

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

  /** The most requests that reached an endpoint from one run of a box within a back-off that it had asked that box for. */
  mostInBackOff = 0;
  /** Back-offs that each endpoint asked each run of a box for. */
  private readonly backOffs = new Map<string, BackOff[]>();

  /** An endpoint turns a box away and asks for a back-off. */
  noteBackOff(call: BoxCall, endpointId: string, nowMs: number, backOffMs: number): void {
    const key = describeRun(call, endpointId);
    const backOff = { fromMs: nowMs + BACK_OFF_GRACE_MS, untilMs: nowMs + backOffMs, arrivals: 0 };
    this.backOffs.set(key, [...(this.backOffs.get(key) ?? []), backOff]);
  }

  /** A box passes on a response that says that its endpoint leaves. */
  noteLeaving(call: BoxCall, endpointId: string, nowMs: number): void {
    const key = describeRun(call, endpointId);
    if (!this.leavingSinceMs.has(key)) this.leavingSinceMs.set(key, nowMs);
  }

  /** A request reaches an endpoint. */
  noteArrival(call: BoxCall, endpointId: string, nowMs: number): void {
    const key = describeRun(call, endpointId);
    const sinceMs = this.leavingSinceMs.get(key) ?? Infinity;
    if (call.calledAtMs > sinceMs + DRAIN_MS) this.lateAfterLeaving += 1;
    for (const backOff of this.backOffs.get(key) ?? []) {
      if (nowMs < backOff.fromMs || nowMs > backOff.untilMs) continue;
      backOff.arrivals += 1;
      this.mostInBackOff = Math.max(this.mostInBackOff, backOff.arrivals);
    }
  }
}

/** Names an endpoint as one run of a box knows it. */
function describeRun({ box, run }: BoxCall, endpointId: string): string {
  return `${box.address} ${run} ${endpointId}`;
}
