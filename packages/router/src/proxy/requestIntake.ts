/** Reads a request of a caller and finds its route. */
import type { IncomingMessage } from 'node:http';
import type { ResultCode } from '@hazelwalk/core';
import type { BegunCall } from '@hazelwalk/http';
import type { CallerRequest } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import type { Assignment } from './assignment.js';
import { assignRequest } from './assignment.js';

/** How long a request waits for a box that has just started and has no configuration or no endpoints yet. */
const INITIALIZATION_WAIT_MS = 1_000;

/** Largest body while the box has no configuration. */
const UNCONFIGURED_MAX_BODY_BYTES = 1_048_576;

/** The request, and what becomes of it. */
export interface RequestIntakeOptions {
  readonly req: IncomingMessage;
  readonly request: CallerRequest;
  readonly arrivedAtMs: number;
  readonly readBody: BegunCall['readBody'];
  readonly hasEnded: () => boolean;
  /** Called once its body is read and its route is found. */
  readonly onAssigned: (assignment: Assignment, body: Buffer | undefined) => void;
  readonly onRefused: (code: ResultCode) => void;
  /** Called if the request gives way to others before its body is read. */
  readonly onEvicted: () => void;
}

/** The intake of one request. */
export class RequestIntake {
  private body: Buffer | undefined;
  /** Time-out of the route as it was when the body had not arrived with its head. */
  private timeoutMs: number | undefined;
  /** The body is read, but the box has no configuration or no endpoints yet. */
  private isWaitingForInitialization = false;

  constructor(
    private readonly context: RouterContext,
    private readonly options: RequestIntakeOptions,
  ) {}

  /** Whether the request waits for the box. */
  get isWaiting(): boolean {
    return this.isWaitingForInitialization;
  }

  /**
   * Time that the request has from its arrival while its body is read, in milliseconds: that of its route. Refuses the request at
   * once if no route leads on, however much of its body is still to come.
   */
  readTimeoutMs(): number {
    if (this.timeoutMs === undefined && this.context.isInitialized()) {
      const { req, request, onRefused } = this.options;
      const assigned = assignRequest(this.context, req, request);
      this.timeoutMs = assigned.ok ? assigned.val.route.timeoutMs : Infinity;
      if (assigned.err) onRefused(assigned.val);
    }
    return this.timeoutMs ?? Infinity;
  }

  /** Starts to read the body. */
  start(): void {
    const { readBody, hasEnded, onRefused, onEvicted } = this.options;
    readBody({
      readLimit: () =>
        this.context.readIndex()?.configuration.limits.maxBodyBytes ?? UNCONFIGURED_MAX_BODY_BYTES,
      onEvicted,
      onTooLarge: () => onRefused('bodyTooLarge'),
      onComplete: (body) => {
        if (hasEnded()) return;
        this.body = body;
        this.waitForInitialization(this.context.now());
      },
    });
  }

  /** Continues as soon as the box has a configuration and endpoints; refuses the request if that takes too long. */
  waitForInitialization(nowMs: number): void {
    const isInitialized = this.context.isInitialized();
    this.isWaitingForInitialization =
      !isInitialized && nowMs - this.options.arrivedAtMs < INITIALIZATION_WAIT_MS;
    if (!this.isWaitingForInitialization) this.assign();
  }

  private assign(): void {
    const { req, request, onAssigned, onRefused } = this.options;
    const assigned = assignRequest(this.context, req, request);
    if (assigned.err) return onRefused(assigned.val);
    onAssigned(assigned.val, this.body);
  }
}
