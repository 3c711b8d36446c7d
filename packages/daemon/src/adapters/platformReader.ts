/**
 * One reading call to the platform's configuration service. Nothing is ever written to it.
 *
 * Published interface: `GET /v1/values/NAME?after=ETAG&waitMs=N` answers 200 with the value and its `etag`, or 304
 * once the wait is over without a change.
 */
import type { ValueName } from '@hazelwalk/core';
import type { Dispatcher } from 'undici';
import { request } from 'undici';

/** A call without an answer for this long after its wait is given up. */
const GRACE_MS = 2_000;
const HTTP_OK = 200;
const HTTP_NOT_MODIFIED = 304;

/** What a call asks for: a value other than the one of `etag`, waited for up to `waitMs`. */
export interface ValueQuery {
  readonly name: ValueName;
  readonly etag: string;
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

/** How a call went. */
export type ValueReadResult =
  | { readonly type: 'changed'; readonly text: string; readonly etag: string }
  | { readonly type: 'unchanged' }
  | { readonly type: 'failed' };

/** Reads one value; never rejects. */
export type ReadValue = (query: ValueQuery) => Promise<ValueReadResult>;

/**
 * Creates the reader of a platform.
 *
 * @example await createPlatformReader(url, agent)({ name: 'boxes', etag: '', waitMs: 0, signal }) // { type: 'changed', ... }
 */
export function createPlatformReader(platformUrl: string, dispatcher: Dispatcher): ReadValue {
  return async ({ name, etag, waitMs, signal }) => {
    const query = new URLSearchParams({ after: etag, waitMs: String(waitMs) });
    const timeout = AbortSignal.timeout(waitMs + GRACE_MS);
    try {
      const { statusCode, headers, body } = await request(`${platformUrl}/v1/values/${name}?${query}`, {
        dispatcher,
        signal: AbortSignal.any([signal, timeout]),
      });
      const text = await body.text();
      if (statusCode === HTTP_OK) return { type: 'changed', text, etag: String(headers.etag ?? '') };
      return { type: statusCode === HTTP_NOT_MODIFIED ? 'unchanged' : 'failed' };
    } catch {
      // Told to the core as a failed contact; the reason shows in no decision.
      return { type: 'failed' };
    }
  };
}
