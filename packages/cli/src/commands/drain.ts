/** `hazelwalk drain`: starts a planned stop of one box. */
import { requestDrain } from '../boxClient.js';
import { printProblems, printResult } from '../output.js';

/** Runs the command. */
export async function runDrain(box: string, json: boolean): Promise<void> {
  const result = await requestDrain(box);
  if (result.err) return printProblems(json, [result.val]);
  printResult(json, result.val, `${box} finishes what is in flight, hands over and ends`);
}
