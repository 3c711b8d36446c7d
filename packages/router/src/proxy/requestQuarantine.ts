/** Connects one request with the quarantine: reports crashes and successes, and reads whether it may be sent. */
import type { IncomingMessage } from 'node:http';
import type { RouterContext } from '../routerContext.js';
import { fingerprintRequest } from '../quarantine/requestFingerprint.js';
import type { Attempt } from './attempt.js';

const MIN_REDIRECT_STATUS = 300;

/** What the fingerprint of a request is computed from. */
export interface FingerprintSource {
  readonly req: IncomingMessage;
  /** Name of the team, or the API key itself if the caller has no team. */
  readonly readCaller: () => string;
  readonly readBody: () => Buffer | undefined;
}

/** Quarantine of one request. */
export class RequestQuarantine {
  private cachedFingerprint: string | undefined;
  private isWaitingForDecision = false;

  constructor(
    private readonly context: RouterContext,
    private readonly source: FingerprintSource,
  ) {}

  /** Identifies the request by its content; computed on first use. */
  get fingerprint(): string {
    const { req, readCaller, readBody } = this.source;
    this.cachedFingerprint ??= fingerprintRequest({
      method: req.method ?? '',
      host: req.headers.host ?? '',
      path: req.url ?? '',
      caller: readCaller(),
      body: readBody(),
    });
    return this.cachedFingerprint;
  }

  /** The fingerprint if it has been computed already. */
  get knownFingerprint(): string | undefined {
    return this.cachedFingerprint;
  }

  /** Remaining time in quarantine; 0 if the request may be sent. */
  readRemainingMs(): number {
    const { quarantine } = this.context;
    return quarantine.isEmpty ? 0 : quarantine.readRemainingMs(this.fingerprint);
  }

  /**
   * Calls back once it has been decided whether the request is quarantined; returns false if no decision is pending.
   * Until then further calls return true without a callback of their own, so that only the first caller sends the
   * request.
   */
  waitForDecision(onDecided: () => void): boolean {
    if (this.isWaitingForDecision) return true;
    const { quarantine } = this.context;
    const delayMs = quarantine.isEmpty ? 0 : quarantine.readDecisionDelayMs(this.fingerprint);
    if (delayMs === 0) return false;
    this.isWaitingForDecision = true;
    setTimeout(() => {
      this.isWaitingForDecision = false;
      onDecided();
    }, delayMs);
    return true;
  }

  /** Whether the endpoint of the request has to be drawn at random. */
  mustPlaceRandomly(): boolean {
    const { quarantine } = this.context;
    return !quarantine.isEmpty && quarantine.mustPlaceRandomly(this.fingerprint);
  }

  /**
   * Checks whether an endpoint that broke off the request has crashed, and records the crash. `checked` settles when
   * the result is known. `mustWait` is set if the request was in flight during an earlier crash: it may be retried only
   * then, any other request at once.
   */
  handleBroken(attempt: Attempt): { readonly mustWait: boolean; readonly checked: Promise<void> } {
    const { context } = this;
    const mustWait = !context.quarantine.isEmpty && context.quarantine.isSuspected(this.fingerprint);
    return { mustWait, checked: this.checkForCrash(attempt, context.now()) };
  }

  /** Records a complete response. Only a success clears the request: an error may have been sent before it ran. */
  recordResponse(status: number): void {
    const { quarantine, quarantineRelay } = this.context;
    if (status < MIN_REDIRECT_STATUS && !quarantine.isEmpty) quarantineRelay.recordSuccess(this.fingerprint);
  }

  private async checkForCrash(attempt: Attempt, endedAtMs: number): Promise<void> {
    const { row } = attempt;
    const result = await this.context.crashCheck.check(row);
    if (result !== 'crashed') return;
    const sentAtMs = attempt.handedOverAtMs;
    this.context.quarantineRelay.recordCrash(this.fingerprint, { endpointTag: row.tag, sentAtMs, endedAtMs });
  }
}
