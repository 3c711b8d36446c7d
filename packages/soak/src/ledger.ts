/** What callers, endpoints and the schedule saw, for the checks to judge afterwards. Times in milliseconds of the day. */

/** Routes that the soak uses. */
export type SoakRoute = 'safe' | 'claim' | 'streamResumable' | 'streamOnce';

/** How a request ended for its caller. */
export type CallerOutcome =
  | {
      readonly type: 'answer';
      readonly status: number;
      readonly seal: string | undefined;
      readonly body: string;
    }
  /** The connection ended before the answer was whole; `body` is what came of it. */
  | { readonly type: 'cut'; readonly status: number | undefined; readonly body: string }
  /** Nothing for longer than its deadline. */
  | { readonly type: 'unanswered' }
  /** No connection to the box came up. */
  | { readonly type: 'noConnection' };

/** One request as its caller saw it. */
export interface CallerRecord {
  readonly requestId: string;
  readonly route: SoakRoute;
  readonly box: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  readonly deadlineMs: number;
  readonly outcome: CallerOutcome;
}

/** One run at an endpoint. */
export interface RunRecord {
  readonly requestId: string;
  readonly endpoint: string;
  readonly atMs: number;
  readonly service: string;
  /** Endpoints of the service that were listed then. */
  readonly listed: number;
  /** Whether the response announced that the endpoint is about to leave. */
  readonly isLeaving: boolean;
  /** Infinite while it runs, and if the endpoint ended first. */
  endedAtMs: number;
}

/** A request that an endpoint rejected with a back-off. */
export interface RejectionRecord {
  readonly requestId: string;
  readonly endpoint: string;
  readonly atMs: number;
  readonly backOffMs: number;
}

/** A span in which an endpoint's process stood still, for want of a processor or by a signal. */
export interface StallRecord {
  readonly endpoint: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** A question which configuration a box has in force. */
export interface ProbeRecord {
  readonly box: string;
  /** Counts the starts of the box. */
  readonly life: number;
  readonly version: number;
  readonly sentAtMs: number;
  readonly isInForce: boolean;
}

/** A probe as it was sent: a request like any other to boxes and endpoints. */
export interface ProbeRequest {
  readonly requestId: string;
  readonly box: string;
  readonly sentAtMs: number;
}

/** A fault at a box, an endpoint or the store, from its beginning until it is over. */
export interface Disturbance {
  readonly entity: string;
  readonly fromMs: number;
  toMs: number;
}

/** Something that was done as planned. */
export type PlannedEvent =
  | { readonly type: 'boxStop'; readonly box: string; readonly atMs: number }
  | { readonly type: 'endpointLeaves'; readonly endpoint: string; readonly atMs: number }
  | { readonly type: 'configurationPublished'; readonly version: number; readonly atMs: number }
  /** No fault begins after this. */
  | { readonly type: 'faultsOver'; readonly atMs: number };

/** All records of one seed. */
export class Ledger {
  readonly requests: CallerRecord[] = [];
  readonly runs: RunRecord[] = [];
  readonly rejections: RejectionRecord[] = [];
  readonly stalls: StallRecord[] = [];
  readonly probeRequests: ProbeRequest[] = [];
  readonly probes: ProbeRecord[] = [];
  readonly disturbances: Disturbance[] = [];
  /** Spans in which the process of a box was paused or restarted and may have lost its in-memory state. */
  readonly interruptions: Disturbance[] = [];
  readonly events: PlannedEvent[] = [];

  /** Notes the beginning of a fault; the caller ends it by `toMs`. */
  beginDisturbance(entity: string): Disturbance {
    const disturbance = { entity, fromMs: Date.now(), toMs: Infinity };
    this.disturbances.push(disturbance);
    return disturbance;
  }

  /** Whether nothing was done to an entity in a span, nor shortly before it. */
  wasCalm(entity: string, fromMs: number, toMs: number, settleMs: number): boolean {
    return !this.disturbances.some(
      (disturbance) =>
        disturbance.entity === entity && disturbance.fromMs <= toMs && disturbance.toMs + settleMs >= fromMs,
    );
  }

  /** Records that the process of a box is paused or restarted; the caller ends the span by `toMs`. */
  beginInterruption(box: string): Disturbance {
    const interruption = { entity: box, fromMs: Date.now(), toMs: Infinity };
    this.interruptions.push(interruption);
    return interruption;
  }

  /** Whether the process of a box was neither paused nor restarted in a span. */
  ranUninterrupted(box: string, fromMs: number, toMs: number): boolean {
    return !this.interruptions.some(
      (interruption) =>
        interruption.entity === box && interruption.fromMs <= toMs && interruption.toMs >= fromMs,
    );
  }

  /** Whether nothing was done to anything in a span, nor shortly before it. */
  wasAllCalm(fromMs: number, toMs: number, settleMs: number): boolean {
    return !this.disturbances.some(
      (disturbance) => disturbance.fromMs <= toMs && disturbance.toMs + settleMs >= fromMs,
    );
  }
}
