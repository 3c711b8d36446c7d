import { readFileSync } from 'node:fs';
import { formatCodeTable, formatProblem, RESULT_CODES } from '../index.js';

/** Formatting pads the cells; only their content counts. */
function normalise(table: string): string {
  return table.replace(/ +/g, ' ').replace(/-{3,}/g, '---');
}

test('numbers are unique', () => {
  const numbers = Object.values(RESULT_CODES).map((info) => info.number);
  expect(new Set(numbers).size).toBe(numbers.length);
});

test('the page shows the table as it is', () => {
  const page = readFileSync('docs/RESULT-CODES.md', 'utf8');
  expect(normalise(page)).toContain(normalise(formatCodeTable()));
});

test('a problem reads as one line with its number and what to do', () => {
  const line = formatProblem({ code: 'fileInvalid', at: 'teams[0].weight', detail: 'must be above 0' });
  expect(line).toBe('HW1102 teams[0].weight: must be above 0. Correct the named field.');
});
