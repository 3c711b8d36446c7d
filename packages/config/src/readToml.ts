/**
 * Parses TOML and finds the line number of a field.
 */
import { Err, Ok } from '@hazelwalk/core';
import type { Problem, Result } from '@hazelwalk/core';
import { parse, TomlError } from 'smol-toml';

/** Parses TOML; returns the position of a syntax error as a problem. */
export function readToml(text: string): Result<Record<string, unknown>, Problem> {
  try {
    return Ok(parse(text));
  } catch (error) {
    if (!(error instanceof TomlError)) throw error;
    const reason = error.message.split('\n')[0] ?? 'unreadable';
    return Err({ code: 'fileNotToml', at: `line ${error.line}, column ${error.column}`, detail: reason });
  }
}

const PATH_PATTERN = /^(\w+)(?:\[(\d+)\])?(?:\.(\w+))?/;

/**
 * Finds the line of a field in a declared file, counted from 1; undefined if it cannot be determined.
 *
 * @example findLine('[[teams]]\nweight = 0\n', 'teams[0].weight') // 2
 */
export function findLine(text: string, path: string): number | undefined {
  const [, table, index, field] = PATH_PATTERN.exec(path) ?? [];
  if (table === undefined) return undefined;
  const lines = text.split('\n').map((line) => line.trim());
  if (index === undefined) return toLineNumber(lines.findIndex((line) => startsWithKey(line, table)));
  const headers = lines.flatMap((line, at) => (line === `[[${table}]]` ? [at] : []));
  const header = headers[Number(index)];
  if (header === undefined) return undefined;
  const end = lines.findIndex((line, at) => at > header && line.startsWith('['));
  const body = lines.slice(header + 1, end < 0 ? undefined : end);
  const offset = field === undefined ? -1 : body.findIndex((line) => startsWithKey(line, field));
  return toLineNumber(header + (offset < 0 ? 0 : offset + 1));
}

function startsWithKey(line: string, key: string): boolean {
  return line.startsWith(key) && /^\s*=/.test(line.slice(key.length));
}

function toLineNumber(index: number): number | undefined {
  return index < 0 ? undefined : index + 1;
}
