/** The response that one request delivers to its caller, and the attempt that writes it. */
import type { ServerResponse } from 'node:http';
import type { RouterContext } from '../routerContext.js';
import type { Assignment } from './assignment.js';
import type { Attempt } from './attempt.js';
import type { ResponseHead } from './attemptEvent.js';
import { MAX_EVENT_BYTES } from './eventSplitter.js';
import type { ResponseDelivery } from './responseDelivery.js';
import { createDelivery } from './responseDelivery.js';
import type { StreamContinuity } from './streamContinuity.js';

/** The request whose response is delivered. */
export interface ActiveResponseOptions {
  readonly res: ServerResponse;
  readonly arrivedAtMs: number;
  readonly continuity: StreamContinuity;
}

/** What becomes of the head of a response. */
export type Acceptance =
  /** The caller gets this response. */
  | 'accepted'
  /** Another attempt owns the response: the caller gets that one, and nothing of this. */
  | 'owned'
  /** It cannot follow what the caller has received. */
  | 'unfit';

/** The response to one request: head and data come from the one attempt that owns it. */
export class ActiveResponse {
  private owner: Attempt | undefined;
  /** When the request was last sent, or data of the winner last received. */
  lastActivityAtMs = 0;
  private delivery: ResponseDelivery | undefined;

  constructor(
    private readonly context: RouterContext,
    private readonly options: ActiveResponseOptions,
  ) {}

  /** Attempt whose response is delivered. */
  get winner(): Attempt | undefined {
    return this.owner;
  }

  /** Whether the head of a response was received that is, or will be, delivered. */
  get hasHead(): boolean {
    return this.delivery !== undefined;
  }

  /** Whether the caller has received a part of it. */
  get hasStarted(): boolean {
    return this.delivery?.hasStarted === true;
  }

  /** Whether another endpoint may go on with what the caller has received so far. */
  get mayMove(): boolean {
    if (this.delivery?.hasStarted !== true) return true;
    return this.delivery.canResume && this.options.continuity.mayMove;
  }

  /** Id of the last event that the caller has received; undefined if it has received none. */
  get resumeAfter(): string | undefined {
    return this.delivery?.hasStarted === true ? this.delivery.lastEventId : undefined;
  }

  /** Takes the head of a response; from then on its attempt owns the response until it is released. */
  accept(assignment: Assignment, attempt: Attempt, head: ResponseHead): Acceptance {
    if (this.owner !== undefined && this.owner !== attempt) return 'owned';
    if (!this.follows(attempt, head)) return 'unfit';
    this.owner = attempt;
    this.lastActivityAtMs = this.context.now();
    if (this.delivery === undefined) this.start(assignment, head);
    return 'accepted';
  }

  /** Ends the ownership of an attempt whose response is not whole, and drops what cannot be used of it. */
  release(attempt: Attempt): void {
    if (this.owner !== attempt) return;
    this.owner = undefined;
    this.dropRest();
  }

  /** Delivers data of the winner. */
  push(assignment: Assignment, attempt: Attempt, chunk: Buffer): void {
    if (attempt !== this.owner || this.delivery === undefined) return;
    this.lastActivityAtMs = this.context.now();
    attempt.row.lastResponseAtMs = this.lastActivityAtMs;
    const hadStarted = this.delivery.hasStarted;
    switch (this.delivery.push(chunk)) {
      case 'taken':
        break;
      case 'full':
        attempt.pause();
        break;
      case 'endless':
        return attempt.breakOff('endlessEvent', `an event of over ${MAX_EVENT_BYTES} bytes`);
    }
    if (!hadStarted && this.delivery.hasStarted) this.recordFirstEvent(assignment, attempt);
  }

  /** Status of the response if it is whole; undefined if it ended too early. */
  readWholeStatus(): number | undefined {
    return this.delivery?.isComplete() === true ? this.delivery.status : undefined;
  }

  /** Sends what is left and ends the response. */
  finish(): void {
    this.delivery?.finish();
  }

  /** Whether a response may begin, or go on after the last event that the caller has received. */
  private follows({ resumeAfter }: Attempt, { status }: ResponseHead): boolean {
    if (this.delivery === undefined) return resumeAfter === undefined;
    return status === this.delivery.status && resumeAfter === this.resumeAfter;
  }

  /** Drops an incomplete event, or all if the caller has received nothing. */
  private dropRest(): void {
    if (this.delivery?.hasStarted === true) this.delivery.prepareResume();
    else this.delivery = undefined;
  }

  private start({ service, route }: Assignment, head: ResponseHead): void {
    const { context } = this;
    const { res, arrivedAtMs } = this.options;
    this.delivery = createDelivery(res, head, route.kind === 'stream', route.isResumable);
    context.metrics.firstByteMs.observe({ service }, context.now() - arrivedAtMs);
  }

  private recordFirstEvent(assignment: Assignment, { row, softwareVersion }: Attempt): void {
    // An entry that has changed since the request was sent may describe another process than the one that writes.
    const isSame = row.listing.softwareVersion === softwareVersion;
    this.options.continuity.recordFirstEvent(assignment, isSame ? softwareVersion : undefined);
  }
}
