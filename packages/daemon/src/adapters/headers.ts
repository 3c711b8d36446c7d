/** HTTP headers: those of the callers' interface, and which headers are forwarded. */

/** Headers of the callers' interface, in lower case. */
export const HEADER = {
  team: 'hazelwalk-team',
  chat: 'hazelwalk-chat',
  deadlineMs: 'hazelwalk-deadline-ms',
  priority: 'hazelwalk-priority',
  key: 'idempotency-key',
  requestId: 'x-request-id',
} as const;

/** Headers that apply to a single connection and are never forwarded (RFC 9110, section 7.6.1). */
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

/** Names and values of headers as frames contain them. */
export type HeaderPairs = readonly (readonly [string, string])[];

/**
 * Returns the headers that are forwarded, from Node's flat list of names and values.
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

/** Converts headers as `undici` parses them to pairs, without those that are not forwarded. */
export function flattenHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): HeaderPairs {
  const raw = Object.entries(headers).flatMap(([name, value]) =>
    (Array.isArray(value) ? value : [value ?? '']).flatMap((one) => [name, one]),
  );
  return listEndToEndHeaders(raw);
}

/** Returns the value of a header, or undefined if it is absent. */
export function readHeader(headers: HeaderPairs, name: string): string | undefined {
  return headers.find(([other]) => other === name)?.[1];
}
