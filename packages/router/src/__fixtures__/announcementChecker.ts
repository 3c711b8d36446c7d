/** Checks requests that arrive at endpoints against the announcements in earlier responses to the same box process. */
import type { VirtualBox } from '../membership/__fixtures__/virtualFleet.js';

/** Requests that callers send more than this long after a leave announcement must not reach the endpoint. */
const DRAIN_MS = 2_000;

/** Requests that are in flight when an endpoint asks for a back-off may still arrive within this time. */
const BACK_OFF_GRACE_MS = 500;

/** An interval in which an endpoint asked one box process to send no requests. */
interface BackOff {
  readonly fromMs: number;
  readonly untilMs: number;
  arrivals: number;
}

/** A request that a box received from a caller. */
export interface BoxRequest {
  readonly box: VirtualBox;
  /** Run of the box process that received the request. */
  readonly run: number;
  readonly sentAtMs: number;
}

/** Counts requests that reach endpoints in spite of their announcements. */
export class AnnouncementChecker {
  /** Requests that reached a leaving endpoint although callers sent them more than `DRAIN_MS` after its announcement. */
  lateArrivals = 0;
  /** Time at which each box process first received the leave announcement of an endpoint. */
  private readonly announcedAtMs = new Map<string, number>();

  /** Highest number of requests from one box process that reached an endpoint within a single back-off. */
  maxArrivalsInBackOff = 0;
  /** Back-offs that each endpoint requested from each box process. */
  private readonly backOffs = new Map<string, BackOff[]>();

  /** Records that an endpoint rejected a request and asked the box for a back-off. */
  recordBackOff(request: BoxRequest, endpointId: string, nowMs: number, backOffMs: number): void {
    const key = createKey(request, endpointId);
    const backOff = { fromMs: nowMs + BACK_OFF_GRACE_MS, untilMs: nowMs + backOffMs, arrivals: 0 };
    this.backOffs.set(key, [...(this.backOffs.get(key) ?? []), backOff]);
  }

  /** Records that a box received a response with a leave announcement. */
  recordLeaveAnnouncement(request: BoxRequest, endpointId: string, nowMs: number): void {
    const key = createKey(request, endpointId);
    if (!this.announcedAtMs.has(key)) this.announcedAtMs.set(key, nowMs);
  }

  /** Records that a request reached an endpoint. */
  recordArrival(request: BoxRequest, endpointId: string, nowMs: number): void {
    const key = createKey(request, endpointId);
    const announcedAtMs = this.announcedAtMs.get(key) ?? Infinity;
    if (request.sentAtMs > announcedAtMs + DRAIN_MS) this.lateArrivals += 1;
    for (const backOff of this.backOffs.get(key) ?? []) {
      if (nowMs < backOff.fromMs || nowMs > backOff.untilMs) continue;
      backOff.arrivals += 1;
      this.maxArrivalsInBackOff = Math.max(this.maxArrivalsInBackOff, backOff.arrivals);
    }
  }
}

/** Creates the key for the state of an endpoint as seen by one box process. */
function createKey({ box, run }: BoxRequest, endpointId: string): string {
  return `${box.address} ${run} ${endpointId}`;
}
