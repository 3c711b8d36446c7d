/** `hazelwalk wait --revision N`: waits until a revision is in force on every box. */
import { readBoxStatus } from '../boxClient.js';
import { printProblems, printResult } from '../output.js';

const POLL_MS = 200;

/** Runs the command. */
export async function runWait(
  boxes: readonly string[],
  revision: number,
  timeoutMs: number,
  json: boolean,
): Promise<void> {
  const deadlineMs = Date.now() + timeoutMs;
  let lastCount = -1;
  for (;;) {
    const results = await Promise.all(boxes.map(readBoxStatus));
    const count = results.filter((result) => result.ok && result.val.revision >= revision).length;
    if (count !== lastCount && !json)
      process.stdout.write(`revision ${revision}: in force on ${count} of ${boxes.length}\n`);
    lastCount = count;
    if (count === boxes.length)
      return printResult(json, { revision, boxes: count, inForce: true }, 'in force everywhere');
    if (Date.now() > deadlineMs) {
      const detail = `revision ${revision} is in force on ${count} of ${boxes.length} boxes after ${timeoutMs} ms`;
      return printProblems(json, [{ code: 'notInForce', at: '', detail }]);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
