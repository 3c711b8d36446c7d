/** What one connection of a caller holds of its box, and what that costs. */

/** How far a connection has come; it decides how the connection gives way. */
export type CallerPhase =
  /** Nothing has arrived on it. */
  | 'silent'
  /** A part of a head has arrived. */
  | 'head'
  /** The body of its only request is being read. */
  | 'body'
  /** A request is in progress that was read as a whole, or that streams its body on. */
  | 'serving'
  /** It rests between two requests. */
  | 'idle';

/** What changes as bytes and requests come and go. */
export interface CallerHoldings {
  /** Bytes that were parsed since the last part of a request, and belong to a head, to trailers or between two chunks. */
  headBytes: number;
  /** Requests that were read and are not answered. */
  requests: number;
  isReadingBody: boolean;
  /** Bytes granted for bodies. */
  bodyBytes: number;
  /** Bytes that are received and not parsed. */
  unparsedBytes: number;
  /** Bytes that are written and not taken by the caller. */
  untakenBytes: number;
}

/** A connection in the ledger. */
export interface CallerAccount extends CallerHoldings {
  hasSpoken: boolean;
  /** It was evicted, and is being closed. */
  isLeaving: boolean;
  /** Requests that it carried and that were answered. */
  answered: number;
  /** When it last went on, in monotonic milliseconds: what it has received counts as if it had come at a least rate. */
  progressAtMs: number;
}

/** A caller that sends less is taken to stand still for a part of the time. */
const LEAST_RATE_BYTES_PER_MS = 64;
/** Heap of a connection with a slice of a head. */
const CONNECTION_HEAP_BYTES = 12_288;
/** Heap of a request with its head. */
export const REQUEST_HEAP_BYTES = 12_288;
/** Heap of each further byte of a head that is not complete. */
const HEAP_BYTES_PER_HEAD_BYTE = 8;

/** Creates the account of a new connection. */
export function createAccount(nowMs: number): CallerAccount {
  return {
    hasSpoken: false,
    isLeaving: false,
    headBytes: 0,
    requests: 0,
    isReadingBody: false,
    bodyBytes: 0,
    unparsedBytes: 0,
    untakenBytes: 0,
    answered: 0,
    progressAtMs: nowMs,
  };
}

/**
 * Finds how far a connection has come.
 *
 * @example readPhase(createAccount(0)) // 'silent'
 */
export function readPhase(account: CallerAccount): CallerPhase {
  if (account.isReadingBody && account.requests === 1) return 'body';
  if (account.requests > 0) return 'serving';
  if (account.headBytes > 0) return 'head';
  return account.hasSpoken ? 'idle' : 'silent';
}

/** Heap that a connection takes, estimated in bytes. */
export function estimateHeapBytes({ headBytes, requests }: CallerAccount): number {
  return CONNECTION_HEAP_BYTES + requests * REQUEST_HEAP_BYTES + headBytes * HEAP_BYTES_PER_HEAD_BYTE;
}

/** Bytes outside the heap that a connection takes or was granted. */
export function readHeldBytes({ bodyBytes, unparsedBytes, untakenBytes }: CallerAccount): number {
  return bodyBytes + unparsedBytes + untakenBytes;
}

/** Records that bytes of a caller were parsed. A burst counts as progress up to now, not beyond. */
export function recordProgress(account: CallerAccount, bytes: number, nowMs: number): void {
  account.hasSpoken = true;
  account.progressAtMs = Math.min(nowMs, account.progressAtMs + bytes / LEAST_RATE_BYTES_PER_MS);
}
