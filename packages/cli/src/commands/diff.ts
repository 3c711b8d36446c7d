/** `hazelwalk diff FILE`: compares a declared file with the one in force. */
import { parseDeclaration } from '@hazelwalk/config';
import type { Declaration } from '@hazelwalk/core';
import { readDeclaredFile } from '../boxClient.js';
import { printProblems, printResult } from '../output.js';
import { checkFile } from './check.js';

/** One difference, printed with `--json`. `was` is absent for an added field, `becomes` for a removed one. */
export interface Difference {
  readonly at: string;
  readonly was?: string;
  readonly becomes?: string;
}

/** Maps the path of each field of a declaration to its value; the path of a team or service contains its name. */
function listFields(declaration: Declaration): Map<string, string> {
  const fields = new Map<string, string>([
    ['revision', String(declaration.revision)],
    ['halls', declaration.halls.join(', ')],
  ]);
  for (const [table, members] of [
    ['teams', declaration.teams],
    ['services', declaration.services],
  ] as const) {
    for (const member of members) {
      for (const [field, value] of Object.entries(member)) {
        if (field !== 'name') fields.set(`${table}.${member.name}.${field}`, String(value));
      }
    }
  }
  return fields;
}

/** Compares two declarations field by field. */
export function compareDeclarations(inForce: Declaration, proposed: Declaration): Difference[] {
  const before = listFields(inForce);
  const after = listFields(proposed);
  const paths = [...new Set([...before.keys(), ...after.keys()])];
  return paths.flatMap((at) => {
    const was = before.get(at);
    const becomes = after.get(at);
    if (was === becomes) return [];
    return [{ at, ...(was === undefined ? {} : { was }), ...(becomes === undefined ? {} : { becomes }) }];
  });
}

function formatDifference({ at, was, becomes }: Difference): string {
  if (was === undefined) return `+ ${at} = ${becomes}`;
  return becomes === undefined ? `- ${at} = ${was}` : `~ ${at}: ${was} -> ${becomes}`;
}

/** Runs the command. */
export async function runDiff(file: string, box: string, json: boolean): Promise<void> {
  const proposed = checkFile(file);
  if (proposed.err) return printProblems(json, proposed.val);
  const declared = await readDeclaredFile(box);
  if (declared.err) return printProblems(json, [declared.val]);
  const inForce = parseDeclaration(declared.val.text);
  if (inForce.err) return printProblems(json, inForce.val);
  const differences = compareDeclarations(inForce.val, proposed.val);
  const text = differences.length === 0 ? 'no difference' : differences.map(formatDifference).join('\n');
  printResult(json, differences, text);
}
