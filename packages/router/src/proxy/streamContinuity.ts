/**
 * Keeps one stream at the software version that wrote its first event: through all attempts of this box, and where its caller
 * takes it up here after it began at any box.
 */
import { Err, Ok } from '@hazelwalk/core';
import type { Result } from '@hazelwalk/core';
import type { CallerRequest } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import type { StreamKey, StreamOrigin } from '../streams/streamOrigins.js';
import { computeStreamKey } from '../streams/streamOrigins.js';
import { hasResumableStreams } from '../systems/routeIndex.js';
import type { Assignment } from './assignment.js';
import { moveToService } from './assignment.js';

/** Why a caller cannot take a stream up; also the result code of the refusal. */
export type TakeUpFailure = 'streamVersionUnknown' | 'streamVersionGone';

type ContinuityState =
  /** No event was sent yet: any endpoint of the service may begin the stream. */
  | { readonly type: 'unbound' }
  | { readonly type: 'bound'; readonly origin: StreamOrigin }
  /** It began at an endpoint whose version is not known, so no other endpoint may continue it. */
  | { readonly type: 'untraceable' };

/** The stream of one request; does nothing for other requests. */
export class StreamContinuity {
  private state: ContinuityState = { type: 'unbound' };
  private runningKey: StreamKey | undefined;

  constructor(
    private readonly context: RouterContext,
    private readonly request: CallerRequest,
  ) {}

  /** Version that the endpoint of each further attempt must have; undefined if any may be chosen. */
  get softwareVersion(): string | undefined {
    return this.state.type === 'bound' ? this.state.origin.softwareVersion : undefined;
  }

  /** Whether another endpoint may continue the stream. */
  get mayMove(): boolean {
    return this.state.type !== 'untraceable';
  }

  /**
   * Finds the version that began the stream, if the caller takes one up. The decision may come before the call returns. It
   * holds the assignment to the service that began the stream.
   */
  begin(assignment: Assignment, onDecided: (decision: Result<Assignment, TakeUpFailure>) => void): void {
    const { lastEventId, resumedRequestId } = this.request;
    const isTakenUp = lastEventId !== undefined || resumedRequestId !== undefined;
    if (!isTakenUp || !hasResumableStreams(assignment.route)) return onDecided(Ok(assignment));
    const stream = { key: this.computeKey(assignment), service: assignment.service };
    this.context.streams.lookup.find(stream, (result) => {
      this.context.metrics.streamLookups.inc({ result: result.type === 'known' ? result.source : 'unknown' });
      if (result.type === 'unknown') return onDecided(Err('streamVersionUnknown'));
      this.state = { type: 'bound', origin: result.origin };
      const moved = moveToService(this.context, assignment, result.origin.service);
      onDecided(moved === undefined ? Err('streamVersionGone') : Ok(moved));
    });
  }

  /**
   * Records that the caller has got the first event of this request.
   *
   * @param softwareVersion of the endpoint that wrote it; undefined if it is not known
   */
  recordFirstEvent(assignment: Assignment, softwareVersion: string | undefined): void {
    if (!hasResumableStreams(assignment.route)) return;
    if (this.state.type === 'unbound')
      this.state =
        softwareVersion === undefined
          ? { type: 'untraceable' }
          : { type: 'bound', origin: { service: assignment.service, softwareVersion } };
    if (this.state.type !== 'bound') return;
    this.runningKey = this.computeKey(assignment);
    this.context.streams.tracker.recordFirstEvent(this.runningKey, this.state.origin);
  }

  /** Records that the request has ended. */
  recordEnd(): void {
    if (this.runningKey !== undefined) this.context.streams.tracker.recordEnd(this.runningKey);
  }

  private computeKey({ team }: Assignment): StreamKey {
    const { resumedRequestId, requestId } = this.request;
    return computeStreamKey(this.context.hash, team?.name ?? '', resumedRequestId ?? requestId);
  }
}
