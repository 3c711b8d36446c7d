import { readFileSync } from 'node:fs';
import { formatCodeTable, formatProblem, RESULT_CODES } from '../index.js';

/** Removes the formatter's padding of table cells, so that only their content is compared. */
function normalise(table: string): string {
  return table.replace(/ +/g, ' ').replace(/-{3,}/g, '---');
}

test('numbers are unique', () => {
  const numbers = Object.values(RESULT_CODES).map((info) => info.number);
  expect(new Set(numbers).size).toBe(numbers.length);
});

test('the documentation page contains the current table', () => {
  const page = readFileSync('docs/RESULT-CODES.md', 'utf8');
  expect(normalise(page)).toContain(normalise(formatCodeTable()));
});

test('a problem is formatted as one line with its number and action', () => {
  const line = formatProblem({ code: 'fileInvalid', at: 'teams[0].weight', detail: 'must be above 0' });
  expect(line).toBe('HW1102 teams[0].weight: must be above 0. Correct the named field.');
});
