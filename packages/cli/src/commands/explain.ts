/** `hazelwalk explain CHAT`: shows to which engine a chat would be routed, and why. */
import { readExplanation } from '../boxClient.js';
import { formatTable, printProblems, printResult } from '../output.js';

/** The fields of an explanation that the tool shows, as the admin server names them. */
interface Explanation {
  readonly chat: string;
  /** Id of the chat's home box, the partition owner of its directory entry. */
  readonly home: string | null;
  readonly isHome: boolean;
  /** Engines that have the chat's prefix cached. */
  readonly warm: readonly string[];
  readonly candidates: readonly {
    readonly id: string;
    /** Id of the box that owns the endpoint. */
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
  const warmText = explanation.warm.length > 0 ? explanation.warm.join(', ') : 'none known here';
  const homeText = explanation.isHome
    ? 'this box'
    : `${explanation.home}; ask that box for its directory entry`;
  return [
    `chat ${explanation.chat}: home is ${homeText}`,
    `engines that hold its prefix: ${warmText}`,
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
