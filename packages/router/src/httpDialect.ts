/**
 * The names that travel in HTTP heads. The router decides by facts; a dialect reads them from headers and writes them
 * into headers, so that the same router serves callers and endpoints of different conventions.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { ResponseMetadata, CallerRequest, ForwardedMetadata } from './records.js';

/** Header names in lower case with their values; repeated headers as lists. */
export type ResponseHeaders = Record<string, string | string[] | undefined>;

/** Reads and writes the facts in HTTP heads. */
export interface HttpDialect {
  /** Reads a caller's request; undefined if a header that must be there is missing or malformed. */
  readRequest(headers: IncomingHttpHeaders): CallerRequest | undefined;
  /** Headers (lower case) that a caller may not set: dropped from what is passed on. */
  readonly reservedHeaders: ReadonlySet<string>;
  /** Name and value in turn, for one endpoint. */
  writeForwardedHeaders(facts: ForwardedMetadata): string[];
  /** Reads the head of an endpoint's answer. */
  readResponse(status: number, headers: ResponseHeaders): ResponseMetadata;
  /** Name and value of the header that tells a caller when to come back. */
  writeRetryAfter(retryAfterMs: number): readonly [string, string];
}
