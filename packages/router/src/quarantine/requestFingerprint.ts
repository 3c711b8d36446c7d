/**
 * What makes two requests the same, whatever id they carry and whichever box they come to: method, host, path with
 * query, the caller behind it, and the body. The other headers say how a request is to be handled, not what it asks for.
 */
import { createHash } from 'node:crypto';

/** What an endpoint is asked to do, and by whom. */
export interface FingerprintInput {
  readonly method: string;
  readonly host: string;
  /** With the query. */
  readonly path: string;
  /** The team, or the key itself where callers have no teams; empty where they need no key. */
  readonly caller: string;
  readonly body: Buffer | undefined;
}

/** Hex digits of a fingerprint: 64 bits, so that among a million requests two share one by chance once in 10^7 times. */
const FINGERPRINT_DIGITS = 16;
/** Stands between the parts; none of them can hold it. */
const SEPARATOR = '\0';

/**
 * Names a request by its content. The hash is a cryptographic one: nobody can make up a request that is taken for one of
 * another caller. It takes some microseconds, and is needed only for requests that may have crashed an endpoint, and
 * for all others while such requests are about.
 *
 * @example
 * fingerprintRequest({ method: 'GET', host: 'shop.example', path: '/a', caller: 'team-1', body: undefined })
 */
export function fingerprintRequest({ method, host, path, caller, body }: FingerprintInput): string {
  const hash = createHash('sha256');
  hash.update([method, host, path, caller, ''].join(SEPARATOR));
  if (body !== undefined) hash.update(body);
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS);
}
