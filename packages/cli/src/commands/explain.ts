/** `hazelwalk explain CHAT`: which engine a chat would go to, and why. */
import { readExplanation } from '../boxClient.js';
import { formatTable, printProblems, printResult } from '../output.js';

interface Explanation {
  readonly chat: string;
  readonly home: string | null;
  readonly isHome: boolean;
  readonly warm: readonly string[];
  readonly candidates: readonly {
    readonly id: string;
    readonly steward: string | null;
    readonly load: number;
  }[];
  readonly problem: string | null;
}

function formatExplanation(explanation: Explanation): string {
  if (explanation.problem !== null) return explanation.problem;
  const rows = explanation.candidates.map(({ id, steward, load }) => [
    id,
    steward ?? '-',
    String(load),
    explanation.warm.includes(id) ? 'warm' : '',
  ]);
  const known = explanation.warm.length > 0 ? explanation.warm.join(', ') : 'none known here';
  const where = explanation.isHome ? 'this box' : `${explanation.home}; ask that box for its directory entry`;
  return [
    `chat ${explanation.chat}: home is ${where}`,
    `engines that hold its prefix: ${known}`,
    'asked in this order, the first within its load bound takes it:',
    formatTable([['ENGINE', 'STEWARD', 'LOAD', ''], ...rows]),
  ].join('\n');
}

/** Runs the command. */
export async function runExplain(box: string, model: string, chat: string, json: boolean): Promise<void> {
  const result = await readExplanation(box, model, chat);
  if (result.err) return printProblems(json, [result.val]);
  printResult(json, result.val, formatExplanation(result.val as Explanation));
}
