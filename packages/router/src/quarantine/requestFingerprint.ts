/**
 * Fingerprint of a request, the same on every box and whatever request id it carries: it covers method, host, path with
 * query, caller and body. The other headers state how a request is to be handled, not what it asks for.
 */
import { createHash } from 'node:crypto';

/** The parts of a request that its fingerprint is computed from. */
export interface FingerprintInput {
  readonly method: string;
  readonly host: string;
  /** Includes the query. */
  readonly path: string;
  /** The team, or the API key where callers have no teams; empty where no key is required. */
  readonly caller: string;
  readonly body: Buffer | undefined;
}

/** Hex digits of a fingerprint: with 64 bits, the chance of a collision among a million requests is about 1 in 10^7. */
const FINGERPRINT_DIGITS = 16;
/** Separates the parts; none of them can contain it. */
const SEPARATOR = '\0';

/**
 * Computes the fingerprint of a request. The hash is cryptographic, so that nobody can forge a request with the
 * fingerprint of another caller's. It takes some microseconds and is computed only for requests that may have crashed an
 * endpoint, and for all other requests while records of such requests exist.
 *
 * @example
 * fingerprintRequest({ method: 'GET', host: 'shop.example', path: '/a', caller: 'team-1', body: undefined })
 */
export function fingerprintRequest({ method, host, path, caller, body }: FingerprintInput): string {
  return digestNames([method, host, path, caller, ''], body);
}

/**
 * Hashes names, and bytes after them, to a fingerprint.
 *
 * @example digestNames(['part', 'llm', '5c1e07a2']) // 16 hex digits
 */
export function digestNames(names: readonly string[], body?: Buffer): string {
  const hash = createHash('sha256').update(names.join(SEPARATOR));
  if (body !== undefined) hash.update(body);
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS);
}
