/** Opens the attempts of one request: checks its quarantine, waits for its admission, and chooses the endpoint. */
import type { ResultCode } from '@hazelwalk/core';
import type { AdmissionDecision, AdmissionRequest } from '../admission/admission.js';
import type { RouterContext } from '../routerContext.js';
import type { Admission } from './admissionPhase.js';
import { AdmissionPhase } from './admissionPhase.js';
import type { Assignment } from './assignment.js';
import type { AttemptSet } from './attemptSet.js';
import type { ExchangeLogFields } from './exchangeLog.js';
import { logRejection } from './exchangeLog.js';
import { pickElsewhereMs, pickRetryAfterFailureMs, pickReturnMs } from './refusal.js';
import type { RequestQuarantine } from './requestQuarantine.js';
import { isRepeatable } from './silence.js';

/** Granted slots that a request may find unusable, as views of boxes differ; then it is given up. */
const MAX_UNUSABLE_GRANTS = 3;

type Rejection = Extract<AdmissionDecision, { type: 'reject' }>;

/** The request whose attempts are opened. */
export interface AttemptOpenerOptions {
  readonly attempts: AttemptSet;
  readonly requestQuarantine: RequestQuarantine;
  readonly arrivedAtMs: number;
  readonly readExpiry: () => number;
  readonly hasEnded: () => boolean;
  readonly createLogFields: () => ExchangeLogFields;
  /** Ends the request, unless another attempt is in progress. */
  readonly giveUp: (code: ResultCode, pickRetryMs: () => number) => void;
}

/** Opens attempts, one at a time. */
export class AttemptOpener {
  private readonly admission: AdmissionPhase;
  /** Stops waiting for a decision of the quarantine. */
  private cancelDecision: (() => void) | undefined;
  private unusableGrants = 0;

  constructor(
    private readonly context: RouterContext,
    private readonly options: AttemptOpenerOptions,
  ) {
    this.admission = new AdmissionPhase(context.admission);
  }

  /** Whether an attempt waits for a decision of the quarantine, or for its admission. */
  get isWaiting(): boolean {
    return this.cancelDecision !== undefined || this.admission.isWaiting;
  }

  /** Stops waiting for anything, because the request has ended or another attempt is answering. */
  withdraw(): void {
    this.cancelDecision?.();
    this.cancelDecision = undefined;
    this.admission.withdraw();
  }

  /**
   * Opens an attempt at an endpoint, at once or after a wait, or gives up if none can be chosen. Does nothing if an
   * attempt waits already.
   */
  open(assignment: Assignment): void {
    const { attempts, requestQuarantine, hasEnded, giveUp } = this.options;
    if (hasEnded() || this.isWaiting) return;
    if (!attempts.endsInTime(assignment)) return giveUp('stopping', pickElsewhereMs);
    const quarantinedMs = requestQuarantine.readRemainingMs();
    if (quarantinedMs > 0) return giveUp('requestQuarantined', () => quarantinedMs);
    this.cancelDecision = requestQuarantine.waitForDecision(() => {
      this.cancelDecision = undefined;
      this.open(assignment);
    });
    if (this.isWaiting) return;
    this.admission.enter(this.createRequest(assignment), (admission) =>
      this.handleAdmission(assignment, admission),
    );
  }

  private handleAdmission(assignment: Assignment, { decision, handle }: Admission): void {
    const { attempts, requestQuarantine, readExpiry, hasEnded, giveUp } = this.options;
    const pickAwayMs = (): number => pickReturnMs(this.context, assignment.service, readExpiry());
    if (hasEnded()) return handle.release('unused');
    if (decision.type === 'reject') return this.reject(assignment, decision);
    const isPlacedRandomly = requestQuarantine.mustPlaceRandomly();
    const { endpointTag: grantedTag, basis } = decision;
    const opened = attempts.open(assignment, { isPlacedRandomly, grantedTag, basis, handle });
    if (opened.ok) return;
    handle.release('unused');
    if (grantedTag === undefined || this.unusableGrants >= MAX_UNUSABLE_GRANTS)
      return giveUp(opened.val.reason, () => pickRetryAfterFailureMs(opened.val, pickAwayMs));
    // The next request for a slot excludes the endpoint.
    this.unusableGrants += 1;
    this.open(assignment);
  }

  private reject({ rank }: Assignment, { retryAfterMs, expectedWaitMs }: Rejection): void {
    const { createLogFields, giveUp } = this.options;
    logRejection(this.context, createLogFields(), { rank, retryAfterMs, expectedWaitMs });
    giveUp('overloaded', () => retryAfterMs);
  }

  private createRequest(assignment: Assignment): AdmissionRequest {
    const { attempts, requestQuarantine, arrivedAtMs, readExpiry } = this.options;
    const { service, rank, team, route } = assignment;
    return {
      service,
      rank,
      team: team?.name ?? '',
      isOnce: !isRepeatable(route),
      hasPrompt: attempts.hasPrompt(assignment),
      arrivedAtMs,
      targetAtMs: arrivedAtMs + route.targetLatencyMs,
      expiresAtMs: readExpiry(),
      readContent: () => requestQuarantine.fingerprint,
      listPreferred: () => attempts.listPreferredTags(assignment, requestQuarantine.mustPlaceRandomly()),
      listExcluded: () => attempts.listExcludedTags(assignment),
    };
  }
}
