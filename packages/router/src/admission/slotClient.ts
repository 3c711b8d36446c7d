/**
 * Requests slots for the requests of one box. A request whose scheduling box is silent is sent without a slot, so that a
 * failure of the scheduling costs a few tens of milliseconds once and then nothing.
 */
import type { AdmissionDecision, AdmissionRequest, AdmissionHandle } from './admission.js';
import { GRANT_USE_MS } from './slotMessages.js';
import type { SlotAnswer, SlotOutcome, SlotRelease, SlotRequest, SlotUseOutcome } from './slotMessages.js';

/** How long a request waits for an answer to a message: several ways between halls, and little of any target. */
const ANSWER_TIMEOUT_MS = 60;
/** Interval at which waiting requests are repeated, so that a new scheduling box knows them at once. */
const REPEAT_MS = 250;
/** For this long after a missing answer no slots of the service are requested. */
const SILENCE_MS = 500;

/** How a request for a slot went on, as metrics count it. */
export type SlotRequestEvent = 'granted' | 'queued' | 'rejected' | 'unanswered';

/** Dependencies and callbacks of the client. */
export interface SlotClientOptions {
  /** Routes messages to the scheduling box. */
  readonly relay: {
    request(request: SlotRequest): void;
    release(release: SlotRelease): void;
  };
  /** Address of this box. */
  readonly readAddress: () => string;
  readonly now: () => number;
  /** Calls back once after a time; returns a function that cancels it. */
  readonly schedule: (delayMs: number, callback: () => void) => () => void;
  /** Calls back after the sockets have been read: after a pause of the process answers wait in them. */
  readonly afterReads: (callback: () => void) => void;
  /** Requests are numbered from here; higher than all numbers of earlier runs of this box. */
  readonly firstNumber: number;
  readonly onEvent: (event: SlotRequestEvent, service: string) => void;
}

/** A request for a slot and the time after which it is not worth starting. */
export interface SlotApplication {
  readonly request: AdmissionRequest;
  readonly latestStartAtMs: number;
  /** It is not sent without a slot, as endpoints do not survive many requests that they have no room for. */
  readonly needsSlot: boolean;
  readonly onDecision: (decision: AdmissionDecision) => void;
}

type PendingPhase =
  /** A message is under way and has no answer yet. */
  | { readonly type: 'asking' }
  | { readonly type: 'queued' }
  | { readonly type: 'granted'; readonly atMs: number }
  | { readonly type: 'over' };

interface PendingSlot extends SlotApplication {
  number: number;
  readonly content: string;
  phase: PendingPhase;
  askedAtMs: number;
  /** Expected when it was last answered; undefined if it was never queued. */
  expectedWaitMs: number | undefined;
  cancelTimer: () => void;
}

/** The slot requests of one box. */
export class SlotClient {
  private readonly pendingByNumber = new Map<number, PendingSlot>();
  private readonly silentUntilMs = new Map<string, number>();
  private nextNumber: number;

  constructor(private readonly options: SlotClientOptions) {
    this.nextNumber = options.firstNumber;
  }

  /** Requests a slot; the decision may come before this returns. */
  apply(application: SlotApplication): AdmissionHandle {
    const pending: PendingSlot = {
      ...application,
      number: this.takeNumber(),
      content: application.request.readContent(),
      phase: { type: 'asking' },
      askedAtMs: this.options.now(),
      expectedWaitMs: undefined,
      cancelTimer: () => {},
    };
    this.pendingByNumber.set(pending.number, pending);
    this.ask(pending);
    return { release: (outcome) => this.release(pending, outcome) };
  }

  /** Handles an answer of the scheduling box. */
  handleAnswer(answer: SlotAnswer): void {
    const pending = this.pendingByNumber.get(answer.number);
    // A grant that is repeated, or comes twice, changes nothing.
    if (pending === undefined || pending.phase.type === 'granted') return;
    const { service } = pending.request;
    if (answer.type !== 'queued') this.options.onEvent(answer.type, service);
    else if (pending.expectedWaitMs === undefined) this.options.onEvent('queued', service);
    switch (answer.type) {
      case 'granted':
        pending.cancelTimer();
        return this.grant(pending, answer.endpointTag);
      case 'queued':
        pending.expectedWaitMs = answer.expectedWaitMs;
        pending.phase = { type: 'queued' };
        return this.setTimer(pending, REPEAT_MS, () => this.ask(pending));
      case 'rejected':
        return this.reject(pending, answer.retryAfterMs);
    }
  }

  private grant(pending: PendingSlot, endpointTag: number): void {
    const { askedAtMs, needsSlot } = pending;
    const usableUntilMs = needsSlot ? askedAtMs + GRANT_USE_MS : Infinity;
    const grant = { askedAtMs, usableUntilMs, grantedAtMs: this.options.now() };
    pending.phase = { type: 'granted', atMs: grant.grantedAtMs };
    pending.onDecision({ type: 'proceed', endpointTag, basis: { type: 'granted', grant } });
  }

  /** Repeats the waiting requests of a service at once, since another box schedules it now. */
  repeatWaiting(service: string): void {
    this.silentUntilMs.delete(service);
    for (const pending of [...this.pendingByNumber.values()]) {
      const isWaiting = pending.phase.type === 'asking' || pending.phase.type === 'queued';
      if (isWaiting && pending.request.service === service) this.renumber(pending);
    }
  }

  /** Requests a slot again under another number: a box answers no number that was withdrawn from it. */
  private renumber(pending: PendingSlot): void {
    this.withdraw(pending);
    pending.number = this.takeNumber();
    this.pendingByNumber.set(pending.number, pending);
    this.ask(pending);
  }

  private takeNumber(): number {
    this.nextNumber += 1;
    return this.nextNumber - 1;
  }

  private ask(pending: PendingSlot): void {
    const { now, relay } = this.options;
    const { service } = pending.request;
    const isSilent = now() < (this.silentUntilMs.get(service) ?? 0);
    if (isSilent && !pending.needsSlot) return this.proceedWithoutSlot(pending);
    pending.phase = { type: 'asking' };
    pending.askedAtMs = now();
    this.setTimer(pending, ANSWER_TIMEOUT_MS, () => this.handleTimeout(pending));
    relay.request(this.createMessage(pending));
  }

  private createMessage({ number, content, request, latestStartAtMs }: PendingSlot): SlotRequest {
    const nowMs = this.options.now();
    return {
      box: this.options.readAddress(),
      number,
      service: request.service,
      rank: request.rank,
      team: request.team,
      isOnce: request.isOnce,
      content,
      waitedMs: Math.round(nowMs - request.arrivedAtMs),
      targetMs: Math.round(request.targetAtMs - nowMs),
      patienceMs: Math.round(latestStartAtMs - nowMs),
      expiresMs: Math.round(request.expiresAtMs - nowMs),
      preferred: [...request.listPreferred()],
      excluded: [...request.listExcluded()],
    };
  }

  private handleTimeout(pending: PendingSlot): void {
    if (pending.phase.type !== 'asking') return;
    const { service } = pending.request;
    this.options.onEvent('unanswered', service);
    if (pending.needsSlot) return this.askAgain(pending);
    this.silentUntilMs.set(service, this.options.now() + SILENCE_MS);
    this.proceedWithoutSlot(pending);
  }

  /** By now the request may go to another box, which schedules in place of the silent one. */
  private askAgain(pending: PendingSlot): void {
    if (this.options.now() < pending.latestStartAtMs) return this.ask(pending);
    this.withdraw(pending);
    this.reject(pending, ANSWER_TIMEOUT_MS);
  }

  /** The request is withdrawn first, so that a grant that is under way is given back. */
  private proceedWithoutSlot(pending: PendingSlot): void {
    this.withdraw(pending);
    pending.phase = { type: 'over' };
    pending.onDecision({ type: 'proceed', endpointTag: undefined, basis: { type: 'unanswered' } });
  }

  private reject(pending: PendingSlot, retryAfterMs: number): void {
    pending.cancelTimer();
    pending.phase = { type: 'over' };
    this.pendingByNumber.delete(pending.number);
    pending.onDecision({ type: 'reject', retryAfterMs, expectedWaitMs: pending.expectedWaitMs });
  }

  private release(pending: PendingSlot, outcome: SlotUseOutcome): void {
    const { phase } = pending;
    switch (phase.type) {
      case 'asking':
      case 'queued':
        this.withdraw(pending);
        break;
      case 'granted':
        this.sendGrantRelease(pending, outcome, this.options.now() - phase.atMs);
        break;
      case 'over':
        return;
    }
    pending.phase = { type: 'over' };
  }

  private sendGrantRelease(pending: PendingSlot, outcome: SlotUseOutcome, heldMs: number): void {
    switch (outcome) {
      case 'unused':
        return this.sendRelease(pending, 'unused', 0);
      case 'abandoned':
        return this.sendRelease(pending, 'unused', Math.max(1, heldMs));
      case 'served':
      case 'failed':
      case 'refused':
        return this.sendRelease(pending, outcome, heldMs);
    }
  }

  private withdraw(pending: PendingSlot): void {
    this.sendRelease(pending, 'unused', 0);
  }

  private sendRelease(pending: PendingSlot, outcome: SlotOutcome, heldMs: number): void {
    const { readAddress, relay } = this.options;
    const { number, request } = pending;
    pending.cancelTimer();
    this.pendingByNumber.delete(number);
    relay.release({
      box: readAddress(),
      number,
      service: request.service,
      outcome,
      heldMs: Math.round(heldMs),
    });
  }

  /** An answer that waits in a socket still counts when the timer fires late. */
  private setTimer(pending: PendingSlot, delayMs: number, callback: () => void): void {
    const { schedule, afterReads } = this.options;
    pending.cancelTimer();
    let isCancelled = false;
    const cancel = schedule(delayMs, () => afterReads(() => !isCancelled && callback()));
    pending.cancelTimer = () => {
      isCancelled = true;
      cancel();
    };
  }
}
