/**
 * Selects the headers that are forwarded: all but those of a single connection and those that the router sets itself.
 */
import type { ResponseHeaders } from '../httpDialect.js';

/** Headers of a single connection (RFC 9110, section 7.6.1), and headers that the HTTP libraries write themselves. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'content-length',
  'expect',
]);

/** Names of the headers that a `Connection` header lists as belonging to its connection only. */
function parseConnectionHeader(
  connectionHeader: string | string[] | undefined,
): ReadonlySet<string> | undefined {
  if (connectionHeader === undefined) return undefined;
  const names = String(connectionHeader)
    .split(',')
    .map((name) => name.trim().toLowerCase());
  return new Set(names);
}

/**
 * Selects the headers of a caller's request that are forwarded to an endpoint. Both lists hold names and values in
 * turn.
 *
 * @example selectRequestHeaders(['Host', 'a.example', 'TE', 'gzip'], new Set()) // ['Host', 'a.example']
 */
export function selectRequestHeaders(rawHeaders: readonly string[], reserved: ReadonlySet<string>): string[] {
  const kept: string[] = [];
  const named = parseConnectionHeader(findHeader(rawHeaders, 'connection'));
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const [name, value] = [rawHeaders[at] ?? '', rawHeaders[at + 1] ?? ''];
    const lower = name.toLowerCase();
    if (HOP_BY_HOP_HEADERS.has(lower) || reserved.has(lower) || named?.has(lower) === true) continue;
    kept.push(name, value);
  }
  return kept;
}

function findHeader(rawHeaders: readonly string[], wanted: string): string | undefined {
  const values: string[] = [];
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    if (rawHeaders[at]?.toLowerCase() === wanted) values.push(rawHeaders[at + 1] ?? '');
  }
  return values.length === 0 ? undefined : values.join(',');
}

/** Selects the headers of an endpoint's response that are forwarded to the caller. */
export function selectResponseHeaders(headers: ResponseHeaders): Record<string, string | string[]> {
  const named = parseConnectionHeader(headers['connection']);
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name) || named?.has(name) === true) continue;
    kept[name] = value;
  }
  return kept;
}

/** Whether a response has no length and ends only with its connection. */
export function isCloseDelimited(headers: ResponseHeaders): boolean {
  return headers['transfer-encoding'] === undefined && headers['content-length'] === undefined;
}
