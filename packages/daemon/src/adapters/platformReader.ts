/**
 * Reads a value from the platform's configuration service with one call. Nothing is ever written to the service.
 *
 * Published interface: `GET /v1/values/NAME?after=ETAG&waitMs=N` returns 200 with the value and its `etag`, or 304 if the
 * value has not changed when the wait ends.
 */
import type { ValueName } from '@hazelwalk/core';
import type { Dispatcher } from 'undici';
import { request } from 'undici';

/** A call without a response fails when this time has passed after the end of its wait. */
const RESPONSE_TIMEOUT_MS = 2_000;
const HTTP_OK = 200;
const HTTP_NOT_MODIFIED = 304;

/** Parameters of a call: it waits up to `waitMs` for a value other than the one with `etag`. */
export interface ValueQuery {
  readonly name: ValueName;
  readonly etag: string;
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

/** Result of a call. */
export type ValueReadResult =
  | { readonly type: 'changed'; readonly text: string; readonly etag: string }
  | { readonly type: 'unchanged' }
  | { readonly type: 'failed' };

/** Reads one value; never rejects. */
export type ReadValue = (query: ValueQuery) => Promise<ValueReadResult>;

/**
 * Creates a function that reads values from the platform at a URL.
 *
 * @example await createPlatformReader(url, agent)({ name: 'boxes', etag: '', waitMs: 0, signal }) // { type: 'changed', ... }
 */
export function createPlatformReader(platformUrl: string, dispatcher: Dispatcher): ReadValue {
  return async ({ name, etag, waitMs, signal }) => {
    const query = new URLSearchParams({ after: etag, waitMs: String(waitMs) });
    const timeout = AbortSignal.timeout(waitMs + RESPONSE_TIMEOUT_MS);
    try {
      const { statusCode, headers, body } = await request(`${platformUrl}/v1/values/${name}?${query}`, {
        dispatcher,
        signal: AbortSignal.any([signal, timeout]),
      });
      const text = await body.text();
      if (statusCode === HTTP_OK) return { type: 'changed', text, etag: String(headers.etag ?? '') };
      return { type: statusCode === HTTP_NOT_MODIFIED ? 'unchanged' : 'failed' };
    } catch {
      // The core gets the failed call without its reason, on which no decision depends.
      return { type: 'failed' };
    }
  };
}
