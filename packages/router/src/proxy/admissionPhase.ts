/** The time in which a request waits for its admission, before its first attempt and before each further one. */
import type {
  AdmissionDecision,
  AdmissionGate,
  AdmissionRequest,
  AdmissionHandle,
} from '../admission/admission.js';

/** The decision about a request, with the handle by which the end of its attempt is reported. */
export interface Admission {
  readonly decision: AdmissionDecision;
  readonly handle: AdmissionHandle;
}

/** At most one admission that one request waits for. */
export class AdmissionPhase {
  private waiting: AdmissionHandle | undefined;

  constructor(private readonly gate: AdmissionGate) {}

  get isWaiting(): boolean {
    return this.waiting !== undefined;
  }

  /** Asks for admission; `onDecided` may be called before this returns. */
  enter(request: AdmissionRequest, onDecided: (admission: Admission) => void): void {
    let early: AdmissionDecision | undefined;
    const pending: { handle: AdmissionHandle | undefined } = { handle: undefined };
    const handle = this.gate.enter(request, (decision) => {
      if (pending.handle === undefined) {
        early = decision;
        return;
      }
      if (this.waiting === pending.handle) this.waiting = undefined;
      onDecided({ decision, handle: pending.handle });
    });
    pending.handle = handle;
    if (early === undefined) this.waiting = handle;
    else onDecided({ decision: early, handle });
  }

  /** Stops waiting, because the request has ended or another attempt is answering. */
  withdraw(): void {
    const { waiting } = this;
    this.waiting = undefined;
    waiting?.release('unused');
  }
}
