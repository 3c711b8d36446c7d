/** Which headers pass between callers and endpoints: all but those that concern one connection, or that the router sets. */
import type { ResponseHeaders } from '../httpDialect.js';

/** Headers of one connection (RFC 9110, section 7.6.1), and those that the HTTP libraries write themselves. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
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

function listNamed(connectionHeader: string | string[] | undefined): ReadonlySet<string> | undefined {
  if (connectionHeader === undefined) return undefined;
  const names = String(connectionHeader)
    .split(',')
    .map((name) => name.trim().toLowerCase());
  return new Set(names);
}

/**
 * Keeps the caller's headers that an endpoint gets. Both lists hold name and value in turn.
 *
 * @example keepForwarded(['Host', 'a.example', 'TE', 'gzip'], new Set()) // ['Host', 'a.example']
 */
export function keepForwarded(rawHeaders: readonly string[], reserved: ReadonlySet<string>): string[] {
  const kept: string[] = [];
  const named = listNamed(findHeader(rawHeaders, 'connection'));
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const [name, value] = [rawHeaders[at] ?? '', rawHeaders[at + 1] ?? ''];
    const lower = name.toLowerCase();
    if (CONNECTION_HEADERS.has(lower) || reserved.has(lower) || named?.has(lower) === true) continue;
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

/** Keeps the headers of an endpoint's answer that the caller gets. */
export function keepAnswered(headers: ResponseHeaders): Record<string, string | string[]> {
  const named = listNamed(headers['connection']);
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || CONNECTION_HEADERS.has(name) || named?.has(name) === true) continue;
    kept[name] = value;
  }
  return kept;
}

/** Whether an answer has no length, so that only the end of its connection ends it. */
export function isCloseDelimited(headers: ResponseHeaders): boolean {
  return headers['transfer-encoding'] === undefined && headers['content-length'] === undefined;
}
