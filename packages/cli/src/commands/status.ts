/** `hazelwalk status`: shows each box with its revision, the endpoints that it owns, their load, refusals and retries. */
import type { BoxStatus } from '../boxClient.js';
import { readBoxStatus } from '../boxClient.js';
import { formatTable, printProblems, printResult } from '../output.js';

function sumCounters(status: BoxStatus, prefix: string): number {
  const entries = Object.entries(status.counters).filter(([name]) => name.startsWith(prefix));
  return entries.reduce((sum, [, value]) => sum + value, 0);
}

function describeState(status: BoxStatus): string {
  if (status.stopping) return 'stopping';
  return status.ready ? 'ready' : 'not ready';
}

function toRow(status: BoxStatus): string[] {
  const ownEndpoints = status.endpoints.filter((endpoint) => endpoint.steward === status.boxId);
  return [
    status.boxId,
    status.hall,
    describeState(status),
    String(status.revision),
    status.platform,
    String(status.liveBoxes.length),
    String(status.requestsInFlight),
    String(sumCounters(status, 'refusal.')),
    String(sumCounters(status, 'retry.')),
    ownEndpoints.map(({ id, load }) => `${id}:${load}`).join(' '),
  ];
}

const HEADER = [
  'BOX',
  'HALL',
  'STATE',
  'REVISION',
  'PLATFORM',
  'LIVE',
  'IN FLIGHT',
  'REFUSED',
  'RETRIED',
  'SPEAKS TO (load)',
];

/** Runs the command. */
export async function runStatus(boxes: readonly string[], json: boolean): Promise<void> {
  const results = await Promise.all(boxes.map(readBoxStatus));
  const statuses = results.flatMap((result) => (result.ok ? [result.val] : []));
  const problems = results.flatMap((result) => (result.err ? [result.val] : []));
  printResult(json, statuses, formatTable([HEADER, ...statuses.map(toRow)]));
  const refused = statuses.flatMap((status) =>
    status.refusedRevisionProblems.map((line) => `${status.boxId}: ${line}`),
  );
  if (!json && refused.length > 0) process.stdout.write(`refused newer file:\n${refused.join('\n')}\n`);
  if (problems.length > 0) printProblems(json, problems);
}
