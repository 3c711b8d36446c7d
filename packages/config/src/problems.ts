/**
 * Converts issues of the schema library into problems with a result code and the path of the field.
 */
import type { Problem, ResultCode } from '@hazelwalk/core';
import type { z } from 'zod';

/**
 * Formats a path within a file.
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

/** Converts each issue into a problem with the given code. */
export function listProblems(code: ResultCode, error: z.ZodError): Problem[] {
  return error.issues.map((issue) => ({ code, at: formatPath(issue.path), detail: issue.message }));
}
