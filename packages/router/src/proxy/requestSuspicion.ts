/** What one request adds to the record of requests that crash their endpoints, and what that record says of it. */
import type { IncomingMessage } from 'node:http';
import type { RouterContext } from '../routerContext.js';
import { fingerprintRequest } from '../quarantine/requestFingerprint.js';
import type { Attempt } from './attempt.js';

const LEAST_REDIRECT = 300;

/** What a request is known by. */
export interface RequestSource {
  readonly req: IncomingMessage;
  /** The team, or the key itself where callers have no teams. */
  readonly readCaller: () => string;
  readonly readBody: () => Buffer | undefined;
}

/** One request's side of the quarantine. */
export class RequestSuspicion {
  private fingerprint: string | undefined;
  private isAwaitingJudgement = false;

  constructor(
    private readonly context: RouterContext,
    private readonly source: RequestSource,
  ) {}

  /** Names the request by its content; worked out when it is first needed. */
  get content(): string {
    const { req, readCaller, readBody } = this.source;
    this.fingerprint ??= fingerprintRequest({
      method: req.method ?? '',
      host: req.headers.host ?? '',
      path: req.url ?? '',
      caller: readCaller(),
      body: readBody(),
    });
    return this.fingerprint;
  }

  /** The same, if it was needed so far. */
  get knownContent(): string | undefined {
    return this.fingerprint;
  }

  /** For how long the request is not to be sent; 0 if it may be. */
  readWaitMs(): number {
    const { quarantine } = this.context;
    return quarantine.isEmpty ? 0 : quarantine.readRemainingMs(this.content);
  }

  /**
   * Calls back when it is judged whether the request may be sent; false if nothing speaks against sending it now. While it
   * waits it is not sent by anybody else.
   */
  awaitJudgement(then: () => void): boolean {
    if (this.isAwaitingJudgement) return true;
    const { quarantine } = this.context;
    const judgedInMs = quarantine.isEmpty ? 0 : quarantine.readDecisionDelayMs(this.content);
    if (judgedInMs === 0) return false;
    this.isAwaitingJudgement = true;
    setTimeout(() => {
      this.isAwaitingJudgement = false;
      then();
    }, judgedInMs);
    return true;
  }

  /** Whether its endpoint is to be drawn at random. */
  mustSpread(): boolean {
    const { quarantine } = this.context;
    return !quarantine.isEmpty && quarantine.mustPlaceRandomly(this.content);
  }

  /**
   * Notes that an endpoint broke off the request. Settles when it is known whether the endpoint crashed; a request that
   * met a crash before has to wait for that, any other can go on at once.
   */
  noteBroken(attempt: Attempt): { readonly mustWait: boolean; readonly checked: Promise<void> } {
    const { context } = this;
    const mustWait = !context.quarantine.isEmpty && context.quarantine.isSuspected(this.content);
    return { mustWait, checked: this.check(attempt, context.now()) };
  }

  /** Notes that the request was answered whole. Only a success clears it: an endpoint may fail it before it runs it. */
  noteAnswered(status: number): void {
    const { quarantine, quarantineRelay: crashNews } = this.context;
    if (status < LEAST_REDIRECT && !quarantine.isEmpty) crashNews.recordSuccess(this.content);
  }

  private async check(attempt: Attempt, endedAtMs: number): Promise<void> {
    const { row } = attempt;
    const verdict = await this.context.crashCheck.check(row);
    if (verdict !== 'crashed') return;
    const sentAtMs = attempt.handedOverAtMs;
    this.context.quarantineRelay.recordCrash(this.content, { endpointTag: row.tag, sentAtMs, endedAtMs });
  }
}
