/** HTTP headers: those of the interface, and which of them travel on. */

/** Headers of the callers' interface, in lower case. */
export const HEADER = {
  team: 'hazelwalk-team',
  chat: 'hazelwalk-chat',
  deadlineMs: 'hazelwalk-deadline-ms',
  priority: 'hazelwalk-priority',
  key: 'idempotency-key',
  requestId: 'x-request-id',
} as const;

/** Headers that belong to one connection and never travel on (RFC 9110, section 7.6.1). */
const HOP_BY_HOP = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'host',
  'expect',
]);

/** Header names and values as they travel in frames. */
export type HeaderPairs = readonly (readonly [string, string])[];

/**
 * Lists the headers that travel on, from Node's flat list of names and values.
 *
 * @example listEndToEndHeaders(['Host', 'a', 'Accept', 'b']) // [['accept', 'b']]
 */
export function listEndToEndHeaders(rawHeaders: readonly string[]): HeaderPairs {
  const pairs: (readonly [string, string])[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? '').toLowerCase();
    if (!HOP_BY_HOP.has(name)) pairs.push([name, rawHeaders[index + 1] ?? '']);
  }
  return pairs;
}

/** Flattens parsed headers, as `undici` gives them, into those that travel on. */
export function flattenHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): HeaderPairs {
  const raw = Object.entries(headers).flatMap(([name, value]) =>
    (Array.isArray(value) ? value : [value ?? '']).flatMap((one) => [name, one]),
  );
  return listEndToEndHeaders(raw);
}

/** Reads one header; undefined when absent. */
export function readHeader(headers: HeaderPairs, name: string): string | undefined {
  return headers.find(([other]) => other === name)?.[1];
}
