/**
 * Proofs that the list of endpoints of this box is whole as of a time: by a call to the platform that is sent after that
 * time and brings what was missing, or by a peer that makes such a call when asked. A report that a peer sends unasked,
 * or a response that came earlier, proves nothing later.
 *
 * Also renews the proof before it is too old for changes to be in force in time, which finds waiting calls that have gone
 * silent. Peers report the age of their proofs in heartbeats, so that in a small fleet one renewal serves several boxes.
 */
import type { FeedRole } from './feedRole.js';
import type { ListPosition } from './listPosition.js';
import { isNewerPosition } from './listPosition.js';
import type { ListProof, ListProofRequest } from '../peers/peerFrames.js';
import type { PeerMesh, Reply } from '../peers/peerMesh.js';

/** The proof is renewed when its age is this share of the time within which changes have to be in force. */
const RENEWAL_SHARE = 0.35;
/** Boxes renew at different ages, so that most find the proof of another one in its heartbeat. */
const RENEWAL_SPREAD_SHARE = 0.15;
/** Pause after a renewal that failed. */
const RENEWAL_RETRY_MS = 300;
/** Peers are asked after this time without an own proof; the platform responds within milliseconds. */
const ASK_PEERS_AFTER_MS = 50;
/** Minimum time between two requests to peers; each serves everything that waits. */
const ASK_INTERVAL_MS = 40;
/** A proof that has not come by then is given up. */
const PROOF_TIMEOUT_MS = 250;
/** Calls of all boxes for proofs may take this share of the calls that the platform serves. */
const READS_SHARE = 0.25;
const MIN_CALL_INTERVAL_MS = 20;
const MS_PER_S = 1_000;
/** Waiting decisions of one box; further ones are unproven at once. */
const MAX_WAITING = 4_096;

/** Whether the list was proven in time. */
export type ProofResult = 'proven' | 'unproven';

/** Settings and dependencies of the proofs. */
export interface ListProofsOptions {
  readonly mesh: Pick<
    PeerMesh,
    'address' | 'isFullMesh' | 'listReachable' | 'listOtherHalls' | 'countBoxes' | 'send'
  >;
  readonly readPosition: () => ListPosition;
  /** When the list was last proven in any way; reports of peers are dated by their arrival. */
  readonly readProvenAtMs: () => number;
  /** Whether a decision waits for a proof that is not older than a time that has passed. */
  readonly awaitsProof: () => boolean;
  /** Whether this box reads the platform itself. */
  readonly readRole: () => FeedRole['type'];
  /** Whether the last calls of this box to the platform failed. */
  readonly isFeedLost: () => boolean;
  /** Boxes that read the platform for this one. */
  readonly listWatchers: () => readonly string[];
  /** Reads the changes since a position without waiting; what it brings is published before `onEnd` is called. */
  readonly readChanges: (position: ListPosition, onEnd: () => void) => void;
  /** Requests the whole list from a peer. */
  readonly requestList: (address: string) => void;
  /** Records that a peer has proven the list of this box as of a time. */
  readonly onPeerProof: (address: string, provenAtMs: number) => void;
  /** Number that spreads the renewals of different boxes. */
  readonly rank: (address: string) => number;
  readonly now: () => number;
  /** Time within which a published change has to be in force. */
  readonly applyBoundMs: number;
  /** Calls that the platform serves per second. */
  readonly readsPerS: number;
}

interface WaitingDecision {
  readonly sinceMs: number;
  readonly endsAtMs: number;
  readonly mayAskPeers: boolean;
  readonly onResult: (result: ProofResult) => void;
}

/** A position that a peer has proven, which this box has not reached. */
interface UnreachedProof {
  readonly address: string;
  readonly position: ListPosition;
  readonly provenAtMs: number;
}

/** The proofs of one box. */
export class ListProofs {
  private waiting: WaitingDecision[] = [];
  private unreached: UnreachedProof[] = [];
  /** Times at which peers were asked, by the number of the request; the latest few. */
  private readonly askedAtMs = new Map<number, number>();
  private nextSequence = 0;
  private lastAskedAtMs = -Infinity;
  private calledAtMs = -Infinity;
  private isCalling = false;

  constructor(private readonly options: ListProofsOptions) {}

  /**
   * Calls back once the list is proven as of this call or later, or when that was not possible in time. The list may have
   * changed by then.
   *
   * @example proofs.request((result) => result === 'proven' && decide(state.listEndpoints()))
   */
  request(onResult: (result: ProofResult) => void): void {
    this.add(onResult, true);
  }

  /** Runs once a tick. */
  tick(nowMs: number): void {
    this.settleReached();
    const late = this.waiting.filter(({ endsAtMs }) => nowMs >= endsAtMs);
    if (late.length > 0) this.waiting = this.waiting.filter(({ endsAtMs }) => nowMs < endsAtMs);
    for (const { onResult } of late) onResult('unproven');
    this.proceed(nowMs);
    if (this.isRenewalDue(nowMs)) this.call(nowMs);
  }

  /** Handles that the platform had nothing newer than the list of this box at a time, by a call sent no earlier. */
  handleProven(provenAtMs: number): void {
    const proven = this.waiting.filter(({ sinceMs }) => sinceMs <= provenAtMs);
    if (proven.length === 0) return;
    this.waiting = this.waiting.filter(({ sinceMs }) => sinceMs > provenAtMs);
    for (const { onResult } of proven) onResult('proven');
  }

  /** Makes a call for a peer, and replies if it succeeds. */
  handleRequest({ sequence }: ListProofRequest, reply: Reply): void {
    const { mesh, readPosition } = this.options;
    this.add((result) => {
      if (result === 'proven')
        reply({ type: 'listProof', address: mesh.address, sequence, ...readPosition() });
    }, false);
  }

  /** Handles the proof of a peer: it holds for this box if its list is as new. */
  handleProof({ address, sequence, era, revision }: ListProof): void {
    const provenAtMs = this.askedAtMs.get(sequence);
    if (provenAtMs === undefined) return;
    const position = { era, revision };
    if (isNewerPosition(position, this.options.readPosition())) this.options.requestList(address);
    this.unreached.push({ address, position, provenAtMs });
    this.settleReached();
  }

  /** Applies the proofs of peers whose position this box has reached. Called after each change of the list. */
  settleReached(): void {
    if (this.unreached.length === 0) return;
    const own = this.options.readPosition();
    const oldestMs = this.options.now() - PROOF_TIMEOUT_MS;
    const reached = this.unreached.filter(({ position }) => !isNewerPosition(position, own));
    this.unreached = this.unreached.filter(
      (proof) => proof.provenAtMs >= oldestMs && !reached.includes(proof),
    );
    for (const { address, provenAtMs } of reached) {
      this.options.onPeerProof(address, provenAtMs);
      this.handleProven(provenAtMs);
    }
  }

  private add(onResult: WaitingDecision['onResult'], mayAskPeers: boolean): void {
    if (this.waiting.length >= MAX_WAITING) return onResult('unproven');
    const nowMs = this.options.now();
    this.waiting.push({ sinceMs: nowMs, endsAtMs: nowMs + PROOF_TIMEOUT_MS, mayAskPeers, onResult });
    this.proceed(nowMs);
  }

  /** Calls the platform and asks peers for what waits, where that is due. */
  private proceed(nowMs: number): void {
    if (this.waiting.length === 0) return;
    const isReader = this.options.readRole() === 'follow';
    const askAfterMs = isReader && !this.options.isFeedLost() ? ASK_PEERS_AFTER_MS : 0;
    const mustAsk = this.waiting.some(
      ({ sinceMs, mayAskPeers }) =>
        mayAskPeers && sinceMs > this.lastAskedAtMs && nowMs - sinceMs >= askAfterMs,
    );
    if (mustAsk && nowMs - this.lastAskedAtMs >= ASK_INTERVAL_MS) this.askPeers(nowMs);
    // A box for which others read calls the platform itself if they do not reply.
    const mayCall = isReader || this.waiting.some(({ sinceMs }) => nowMs - sinceMs >= ASK_PEERS_AFTER_MS);
    const isUncovered = this.waiting.some(({ sinceMs }) => sinceMs > this.calledAtMs);
    if (mayCall && isUncovered && nowMs - this.calledAtMs >= this.callIntervalMs) this.call(nowMs);
  }

  private askPeers(nowMs: number): void {
    const { mesh, listWatchers } = this.options;
    const watchers = new Set(listWatchers());
    const targets = mesh
      .listReachable()
      .filter(({ provesLists = false }) => provesLists)
      .filter(({ address, feed }) => (mesh.isFullMesh ? feed === 'able' : watchers.has(address)));
    if (targets.length === 0) return;
    this.lastAskedAtMs = nowMs;
    const sequence = this.nextSequence;
    this.nextSequence += 1;
    for (const [old, atMs] of this.askedAtMs) if (nowMs - atMs > PROOF_TIMEOUT_MS) this.askedAtMs.delete(old);
    this.askedAtMs.set(sequence, nowMs);
    for (const { address } of targets) mesh.send(address, { type: 'listProofRequest', sequence });
  }

  private call(nowMs: number): void {
    if (this.isCalling) return;
    this.isCalling = true;
    this.calledAtMs = nowMs;
    this.options.readChanges(this.options.readPosition(), () => {
      this.isCalling = false;
      this.proceed(this.options.now());
    });
  }

  private isRenewalDue(nowMs: number): boolean {
    const { readProvenAtMs, readRole, isFeedLost, applyBoundMs, rank, mesh } = this.options;
    if (nowMs - this.calledAtMs < RENEWAL_RETRY_MS) return false;
    const spread = (rank(mesh.address) % MS_PER_S) / MS_PER_S;
    const ageMs = applyBoundMs * (RENEWAL_SHARE + RENEWAL_SPREAD_SHARE * spread);
    const isDue = nowMs - readProvenAtMs() >= ageMs || this.options.awaitsProof();
    return isDue && !isFeedLost() && readRole() === 'follow';
  }

  /** Minimum time between two calls of this box, so that those of all boxes stay within their share. */
  private get callIntervalMs(): number {
    const { mesh, listWatchers, readRole, readsPerS } = this.options;
    const isWatcher = !mesh.isFullMesh && readRole() === 'follow';
    const watchersPerHall = listWatchers().length + 1;
    const readers = isWatcher ? watchersPerHall * (mesh.listOtherHalls().length + 1) : mesh.countBoxes();
    return Math.max(MIN_CALL_INTERVAL_MS, (readers * MS_PER_S) / (readsPerS * READS_SHARE));
  }
}
