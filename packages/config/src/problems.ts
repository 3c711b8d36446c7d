/**
 * Turns the schema library's issues into this project's numbered problems, each at its field.
 */
import type { Problem, ResultCode } from '@hazelwalk/core';
import type { z } from 'zod';

/**
 * Writes a path as operators write it.
 *
 * @example formatPath(['teams', 0, 'weight']) // 'teams[0].weight'
 */
export function formatPath(path: readonly PropertyKey[]): string {
  return path
    .map((part, index) =>
      typeof part === 'number' ? `[${part}]` : `${index === 0 ? '' : '.'}${String(part)}`,
    )
    .join('');
}

/** Lists every issue as a problem with the same code. */
export function listProblems(code: ResultCode, error: z.ZodError): Problem[] {
  return error.issues.map((issue) => ({ code, at: formatPath(issue.path), detail: issue.message }));
}
