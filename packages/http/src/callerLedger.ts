/**
 * The accounts of all callers of a box: what they hold together, which of them is granted more, and which give way once a total is
 * reached. It decides without sockets.
 */
import type { CallerAccount, CallerHoldings } from './callerAccount.js';
import {
  createAccount,
  estimateHeapBytes,
  readHeldBytes,
  readPhase,
  recordProgress,
  REQUEST_HEAP_BYTES,
} from './callerAccount.js';
import type { CallerResourceLimits, CallerTotals } from './callerResources.js';

/** Why a connection has to give way. */
export type EvictionReason =
  /** Callers have taken all of their descriptors, of their memory outside the heap, or of their heap. */
  | 'connections'
  | 'memory'
  | 'heap'
  /** It stands still, and others wait for the memory that it was granted. */
  | 'stalled'
  /** Its caller takes nothing of what was written to it. */
  | 'unread';

/** A connection that gives way. */
export interface Eviction {
  readonly account: CallerAccount;
  readonly reason: EvictionReason;
}

/** Whether the body of a request may be read: at once, or after others have given back what they hold. */
export type BodyGrant = 'granted' | 'waiting';

/** A body that waits for memory. */
interface WaitingBody {
  readonly account: CallerAccount;
  readonly bytes: number;
  readonly onGranted: () => void;
}

const RESOURCES = ['connections', 'memory', 'heap'] as const;
type Resource = (typeof RESOURCES)[number];

/** A connection that may give way: the lower its tier and the higher its score, the sooner. */
interface Candidate {
  readonly account: CallerAccount;
  readonly tier: 0 | 1 | 2;
  readonly score: number;
}

/** Share of a total that is made free beyond the excess. */
const SPARE_SHARE = 1 / 32;

/** The rest of the bytes is for what arrives while bodies wait. */
const BODY_SHARE = 1 / 2;
/** After a longer gap between two ticks the process was paused: that time is no lack of progress of its callers. */
const PAUSE_THRESHOLD_MS = 500;

/** What callers hold at the moment. */
export interface CallerUse {
  readonly connections: number;
  readonly heldBytes: number;
  readonly heapBytes: number;
  readonly waitingBodies: number;
}

/** Keeps the accounts of the callers of one box. */
export class CallerLedger {
  private readonly accounts = new Set<CallerAccount>();
  private waiting: WaitingBody[] = [];
  private heldBytes = 0;
  private heapBytes = 0;
  private bodyBytes = 0;
  private leavingCount = 0;
  private tickedAtMs: number;

  constructor(
    private readonly totals: CallerTotals,
    private readonly limits: Pick<CallerResourceLimits, 'stallMs' | 'unreadMs'>,
    nowMs: number,
  ) {
    this.tickedAtMs = nowMs;
  }

  /** What callers hold together. */
  get use(): CallerUse {
    const { heldBytes, heapBytes } = this;
    return { connections: this.accounts.size, heldBytes, heapBytes, waitingBodies: this.waiting.length };
  }

  /** Whether callers hold more than they may. */
  get isExceeded(): boolean {
    return RESOURCES.some((resource) => this.readExcess(resource) > 0);
  }

  /** Opens the account of a new connection. */
  open(nowMs: number): CallerAccount {
    const account = createAccount(nowMs);
    this.accounts.add(account);
    this.count(account, 1);
    return account;
  }

  /** Closes the account of a connection that has ended. */
  close(account: CallerAccount): void {
    if (!this.accounts.has(account)) return;
    this.count(account, -1);
    this.accounts.delete(account);
    if (account.isLeaving) this.leavingCount -= 1;
    this.forgetWaiting(account);
    this.grantWaiting();
  }

  /** Records that a connection was evicted: what it holds is being released. */
  markLeaving(account: CallerAccount): void {
    if (!this.accounts.has(account) || account.isLeaving) return;
    account.isLeaving = true;
    this.leavingCount += 1;
    this.update(account, { headBytes: 0, unparsedBytes: 0, untakenBytes: 0 });
    this.keepBody(account, 0);
  }

  /** Records what a connection holds from now on. */
  update(account: CallerAccount, holdings: Partial<CallerHoldings>): void {
    if (!this.accounts.has(account)) return;
    this.count(account, -1);
    Object.assign(account, holdings);
    this.count(account, 1);
  }

  /** Records that bytes of a caller were parsed. */
  recordProgress(account: CallerAccount, bytes: number, nowMs: number): void {
    recordProgress(account, bytes, nowMs);
  }

  /** Records that a request was answered. */
  recordAnswer(account: CallerAccount, nowMs: number): void {
    account.answered += 1;
    account.progressAtMs = nowMs;
  }

  /** Whether there is room for another request; those that were begun keep theirs. */
  get hasRoomForRequest(): boolean {
    return this.heapBytes + REQUEST_HEAP_BYTES <= this.totals.heapBytes;
  }

  /**
   * Asks for the memory of a body. The only body is granted whatever its size, so that none inside the limit of the configuration is
   * kept waiting in calm.
   *
   * @param onGranted called later, if the body has to wait
   */
  requestBody(account: CallerAccount, bytes: number, onGranted: () => void): BodyGrant {
    if (this.waiting.length > 0 || !this.fits(bytes)) {
      this.waiting.push({ account, bytes, onGranted });
      return 'waiting';
    }
    this.update(account, { bodyBytes: account.bodyBytes + bytes });
    return 'granted';
  }

  /** Gives back what a body does not need, or all of it once its request has ended. */
  keepBody(account: CallerAccount, bytes: number): void {
    this.forgetWaiting(account);
    if (account.bodyBytes === bytes) return;
    this.update(account, { bodyBytes: bytes });
    this.grantWaiting();
  }

  /** Finds the connections that give way because a total is exceeded: those that give least for what they hold. */
  listExcess(nowMs: number): Eviction[] {
    const evicted = new Map<CallerAccount, Eviction>();
    for (const resource of RESOURCES) {
      let missing = this.readExcess(resource);
      if (missing <= 0) continue;
      // Some more of those that stand still, so that not each newcomer needs a search.
      const spare = this.readTotal(resource) * SPARE_SHARE;
      for (const { account, tier } of this.rank(resource, nowMs)) {
        if (missing <= (tier === 0 ? -spare : 0)) break;
        missing -= readResource(account, resource);
        if (!evicted.has(account)) evicted.set(account, { account, reason: resource });
      }
    }
    return [...evicted.values()];
  }

  /** Finds the connections that give way because they stand still, once every some hundred milliseconds. */
  listStalled(nowMs: number): Eviction[] {
    this.skipPause(nowMs);
    const unread = [...this.accounts]
      .filter((account) => this.isUnread(account, nowMs))
      .map((account): Eviction => ({ account, reason: 'unread' }));
    if (this.waiting.length === 0) return unread;
    let missing = this.waiting.reduce((sum, { bytes }) => sum + bytes, 0);
    const stalled: Eviction[] = [];
    for (const { account } of this.rank('memory', nowMs)) {
      if (missing <= 0) break;
      if (account.bodyBytes === 0 || nowMs - account.progressAtMs < this.limits.stallMs) continue;
      missing -= account.bodyBytes;
      stalled.push({ account, reason: 'stalled' });
    }
    return [...unread, ...stalled];
  }

  private count(account: CallerAccount, sign: 1 | -1): void {
    this.heapBytes += sign * estimateHeapBytes(account);
    this.heldBytes += sign * readHeldBytes(account);
    this.bodyBytes += sign * account.bodyBytes;
  }

  private fits(bytes: number): boolean {
    return this.bodyBytes === 0 || this.bodyBytes + bytes <= this.totals.heldBytes * BODY_SHARE;
  }

  private grantWaiting(): void {
    for (;;) {
      const [first] = this.waiting;
      if (first === undefined || !this.fits(first.bytes)) return;
      this.waiting.shift();
      this.update(first.account, { bodyBytes: first.account.bodyBytes + first.bytes });
      first.onGranted();
    }
  }

  private forgetWaiting(account: CallerAccount): void {
    if (this.waiting.some((body) => body.account === account))
      this.waiting = this.waiting.filter((body) => body.account !== account);
  }

  private isUnread({ untakenBytes, progressAtMs }: CallerAccount, nowMs: number): boolean {
    return untakenBytes > 0 && nowMs - progressAtMs >= this.limits.unreadMs;
  }

  private readTotal(resource: Resource): number {
    switch (resource) {
      case 'connections':
        return this.totals.connections;
      case 'memory':
        return this.totals.heldBytes;
      case 'heap':
        return this.totals.heapBytes;
    }
  }

  private readExcess(resource: Resource): number {
    const total = this.readTotal(resource);
    switch (resource) {
      case 'connections':
        return this.accounts.size - this.leavingCount - total;
      case 'memory':
        return this.heldBytes - total;
      case 'heap':
        return this.heapBytes - total;
    }
  }

  /** Orders the connections by how soon they give way; those that are being served do not, unless requests wait behind. */
  private rank(resource: Resource, nowMs: number): Candidate[] {
    const { stallMs } = this.limits;
    return [...this.accounts]
      .filter((account) => mayEvict(account))
      .map((account) => {
        const stalledMs = Math.max(0, nowMs - account.progressAtMs);
        const costPerAnswer = readResource(account, resource) / (1 + account.answered);
        return { account, tier: readTier(account, stalledMs >= stallMs), score: stalledMs * costPerAnswer };
      })
      .sort((a, b) => a.tier - b.tier || b.score - a.score);
  }

  private skipPause(nowMs: number): void {
    const gapMs = nowMs - this.tickedAtMs;
    this.tickedAtMs = nowMs;
    if (gapMs <= PAUSE_THRESHOLD_MS) return;
    for (const account of this.accounts) account.progressAtMs = Math.min(nowMs, account.progressAtMs + gapMs);
  }
}

function readResource(account: CallerAccount, resource: Resource): number {
  switch (resource) {
    case 'connections':
      return 1;
    case 'memory':
      return readHeldBytes(account);
    case 'heap':
      return estimateHeapBytes(account);
  }
}

function mayEvict(account: CallerAccount): boolean {
  if (account.isLeaving) return false;
  return readPhase(account) !== 'serving' || account.requests > 1;
}

/** Connections that stand still inside a request go first, then those that rest, then those that go on. */
function readTier(account: CallerAccount, isStalled: boolean): Candidate['tier'] {
  switch (readPhase(account)) {
    case 'silent':
    case 'head':
    case 'body':
    case 'serving':
      return isStalled ? 0 : 2;
    case 'idle':
      return 1;
  }
}
