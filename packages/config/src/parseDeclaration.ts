/**
 * Validates a declared file. The result depends only on the file's content, so that all boxes get the same one.
 */
import { Err, Ok } from '@hazelwalk/core';
import type { Declaration, Problem, Result } from '@hazelwalk/core';
import { declarationSchema } from './declarationSchema.js';
import { listProblems } from './problems.js';
import { readToml } from './readToml.js';

/** Largest value that the platform stores. */
export const MAX_VALUE_BYTES = 1_000_000;

function listDuplicates(at: string, names: readonly string[]): Problem[] {
  const seen = new Set<string>();
  return names.flatMap((value, index) => {
    const isNew = !seen.has(value);
    seen.add(value);
    const detail = `"${value}" is declared twice`;
    return isNew ? [] : [{ code: 'fileReference' as const, at: `${at}[${index}].name`, detail }];
  });
}

function checkReferences(declaration: Declaration): Problem[] {
  return [
    ...listDuplicates(
      'teams',
      declaration.teams.map((team) => team.name),
    ),
    ...listDuplicates(
      'services',
      declaration.services.map((service) => service.name),
    ),
    ...listDuplicates('halls', declaration.halls),
  ];
}

/**
 * Parses and validates a declared file; returns it, or all problems found.
 *
 * @example parseDeclaration(text).map((declaration) => declaration.revision)
 */
export function parseDeclaration(text: string): Result<Declaration, readonly Problem[]> {
  const sizeBytes = Buffer.byteLength(text);
  if (sizeBytes > MAX_VALUE_BYTES) {
    return Err([{ code: 'fileTooLarge', at: '', detail: `${sizeBytes} bytes is over ${MAX_VALUE_BYTES}` }]);
  }
  const toml = readToml(text);
  if (toml.err) return Err([toml.val]);
  const parsed = declarationSchema.safeParse(toml.val);
  if (!parsed.success) return Err(listProblems('fileInvalid', parsed.error));
  const problems = checkReferences(parsed.data);
  return problems.length > 0 ? Err(problems) : Ok(parsed.data);
}
