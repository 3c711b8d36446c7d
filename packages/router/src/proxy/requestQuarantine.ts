/** Connects one request with the quarantine: reports crashes and successes, and reads whether it may be sent. */
import type { IncomingMessage } from 'node:http';
import type { RouterContext } from '../routerContext.js';
import type { BlamedRequest } from '../quarantine/blamedRequest.js';
import { fingerprintCaller, fingerprintPart, listSharedParts } from '../quarantine/blamedRequest.js';
import { fingerprintRequest } from '../quarantine/requestFingerprint.js';
import type { PromptPart } from '../records.js';
import type { Attempt } from './attempt.js';

const MIN_REDIRECT_STATUS = 300;

/** What the fingerprint of a request is computed from. */
export interface FingerprintSource {
  readonly req: IncomingMessage;
  /** Name of the team, or the API key itself if the caller has no team. */
  readonly readCaller: () => string;
  readonly readBody: () => Buffer | undefined;
  readonly readService: () => string;
  /** Parts of its prompt; none if its service has no engines. */
  readonly readPromptParts: () => readonly PromptPart[];
}

/** Quarantine of one request. */
export class RequestQuarantine {
  private cachedFingerprint: string | undefined;
  private cachedRequest: BlamedRequest | undefined;

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
    return quarantine.isEmpty ? 0 : quarantine.readRequestRemainingMs(this.blamedRequest);
  }

  /**
   * Calls back once it has been decided whether the request is quarantined.
   *
   * @returns how to stop waiting; undefined if no decision is pending
   */
  waitForDecision(onDecided: () => void): (() => void) | undefined {
    const { quarantine } = this.context;
    const delayMs = quarantine.isEmpty ? 0 : quarantine.readRequestDecisionDelayMs(this.blamedRequest);
    if (delayMs === 0) return undefined;
    const timer = setTimeout(onDecided, delayMs);
    return () => clearTimeout(timer);
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
    const { quarantine } = context;
    const mustWait =
      !quarantine.isEmpty &&
      this.blamedRequest.fingerprints.some((fingerprint) => quarantine.isSuspected(fingerprint));
    return { mustWait, checked: this.checkForCrash(attempt, context.now()) };
  }

  /** Records a complete response. Only a success clears the request: an error may have been sent before it ran. */
  recordResponse(status: number): void {
    const { quarantine, quarantineRelay } = this.context;
    if (status >= MIN_REDIRECT_STATUS || quarantine.isEmpty) return;
    for (const fingerprint of this.blamedRequest.fingerprints) quarantineRelay.recordSuccess(fingerprint);
  }

  private async checkForCrash(attempt: Attempt, endedAtMs: number): Promise<void> {
    const { row } = attempt;
    const result = await this.context.crashCheck.check(row);
    if (result !== 'crashed') return;
    const sentAtMs = attempt.handedOverAtMs;
    const run = { endpointTag: row.tag, sentAtMs, endedAtMs };
    this.context.quarantineRelay.recordCrash(this.fingerprint, run, this.blamedRequest);
  }

  /** All that a crash may be blamed on; computed on first use. */
  private get blamedRequest(): BlamedRequest {
    const { readCaller, readService, readPromptParts } = this.source;
    this.cachedRequest ??= {
      caller: fingerprintCaller(readCaller()),
      fingerprints: [
        this.fingerprint,
        ...new Set(listSharedParts(readPromptParts()).map(({ id }) => fingerprintPart(readService(), id))),
      ],
    };
    return this.cachedRequest;
  }
}
