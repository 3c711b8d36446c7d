/** Output and exit codes of the tool. */
import type { Problem } from '@hazelwalk/core';
import { formatProblem, RESULT_CODES } from '@hazelwalk/core';

/** Exit codes of the tool. */
export const EXIT_CODE = { ok: 0, failed: 1, badUsage: 2 } as const;

/** Prints a result as JSON, or as text. */
export function printResult(json: boolean, value: unknown, text: string): void {
  process.stdout.write(json ? `${JSON.stringify(value)}\n` : `${text}\n`);
}

/** Prints problems and sets the exit code to that of a failure. */
export function printProblems(json: boolean, problems: readonly Problem[]): void {
  process.exitCode = EXIT_CODE.failed;
  for (const problem of problems) {
    const numbered = { number: RESULT_CODES[problem.code].number, ...problem };
    if (json) process.stdout.write(`${JSON.stringify(numbered)}\n`);
    else process.stderr.write(`${formatProblem(problem)}\n`);
  }
}

/** Formats rows of cells as a table with aligned columns; the first row is the header. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)));
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
