/** Formats the table of result codes for the documentation. */
import { RESULT_CODES } from './resultCodes.js';

/**
 * Formats all result codes as a Markdown table.
 *
 * @example writeFileSync('docs/table.md', formatCodeTable())
 */
export function formatCodeTable(): string {
  const rows = Object.entries(RESULT_CODES).map(([name, info]) => {
    const status = info.httpStatus === 0 ? '-' : String(info.httpStatus);
    return `| ${info.number} | \`${name}\` | ${status} | ${info.title} | ${info.action} |`;
  });
  return [
    '| Number | Name | HTTP | What happened | What to do |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
  ].join('\n');
}
