/**
 * Maps HTTP headers to the metadata that the router works with, and back. With one dialect for each header convention
 * the same router serves callers and endpoints of different conventions.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { CallerRequest, ForwardedMetadata, ResponseMetadata } from './records.js';

/** Values by header name in lower case; a repeated header has a list. */
export type ResponseHeaders = Record<string, string | string[] | undefined>;

/** Reads and writes metadata in HTTP headers. */
export interface HttpDialect {
  /** Reads the headers of a caller's request; undefined if a required header is missing or malformed. */
  readRequest(headers: IncomingHttpHeaders): CallerRequest | undefined;
  /** Headers (in lower case) that a caller may not set; they are not forwarded. */
  readonly reservedHeaders: ReadonlySet<string>;
  /** Returns the headers for a request to one endpoint: names and values in turn. */
  writeForwardedHeaders(metadata: ForwardedMetadata): string[];
  /** Reads the head of an endpoint's response. */
  readResponse(status: number, headers: ResponseHeaders): ResponseMetadata;
  /** Returns name and value of the header that states when a caller should retry. */
  writeRetryAfter(retryAfterMs: number): readonly [string, string];
}
