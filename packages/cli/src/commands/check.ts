/** `hazelwalk check FILE…`: validates declared files and reports all problems of each. */
import { readFileSync } from 'node:fs';
import { findLine, parseDeclaration } from '@hazelwalk/config';
import type { Declaration, Problem, Result } from '@hazelwalk/core';
import { Err } from '@hazelwalk/core';
import { printProblems, printResult } from '../output.js';

function addLine(text: string, problem: Problem): Problem {
  const line = findLine(text, problem.at);
  return line === undefined ? problem : { ...problem, at: `line ${line}, ${problem.at}` };
}

/** Reads and validates one file; each problem names its field, and the line if it is known. */
export function checkFile(path: string): Result<Declaration, readonly Problem[]> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch (error) {
    return Err([{ code: 'settingsUnreadable', at: path, detail: (error as Error).message }]);
  }
  return parseDeclaration(text).mapErr((problems) => problems.map((problem) => addLine(text, problem)));
}

/** Runs the command. */
export function runCheck(files: readonly string[], json: boolean): void {
  for (const file of files) {
    const result = checkFile(file);
    if (result.err) {
      printProblems(
        json,
        result.val.map((problem) => ({ ...problem, at: `${file}: ${problem.at}` })),
      );
      continue;
    }
    const { revision, teams, services } = result.val;
    const summary = { file, ok: true, revision, teams: teams.length, services: services.length };
    printResult(
      json,
      summary,
      `${file}: revision ${revision}, ${teams.length} teams, ${services.length} services, ok`,
    );
  }
}
