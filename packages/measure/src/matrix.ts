#!/usr/bin/env node
/** `npm run matrix`: injects every fault at every step on real processes and writes docs/FAULT-MATRIX.md. */
import { writeFileSync } from 'node:fs';
import type { CellResult, Fault, Step } from './matrixCell.js';
import { FAULTS, runCell, STEPS } from './matrixCell.js';

const PAGE = 'docs/FAULT-MATRIX.md';

interface Cell {
  readonly step: Step;
  readonly fault: Fault;
  readonly result: CellResult;
}

function describeResult(result: CellResult): string {
  return result.type === 'notRun' ? 'not run' : result.type;
}

function countResults(cells: readonly Cell[], type: CellResult['type']): number {
  return cells.filter(({ result }) => result.type === type).length;
}

function listRemarks(cells: readonly Cell[]): string[] {
  const failed = cells.flatMap(({ step, fault, result }) =>
    result.type === 'failed' ? [`- ${step}, ${fault}: ${result.reasons.join('; ')}`] : [],
  );
  const reasons = cells.flatMap(({ fault, result }) =>
    result.type === 'notRun' ? [`- ${fault}: ${result.reason}`] : [],
  );
  return [...failed, ...new Set(reasons)];
}

function writePage(cells: readonly Cell[], summary: string): void {
  const rows = FAULTS.map((fault) => {
    const results = STEPS.map((step) => cells.find((cell) => cell.step === step && cell.fault === fault));
    return `| ${fault} | ${results.map((cell) => (cell === undefined ? '' : describeResult(cell.result))).join(' | ')} |`;
  });
  const lines = [
    '# Fault matrix',
    '',
    'Written by `npm run matrix`: a request is brought to a step, a fault is injected, and the guarantees are checked against',
    'the runs that the endpoints counted and the response of the caller. Four boxes, two engines, two workers, real processes.',
    '',
    `| Fault | ${STEPS.join(' | ')} |`,
    `| --- |${' --- |'.repeat(STEPS.length)}`,
    ...rows,
    '',
    summary,
    '',
    ...listRemarks(cells),
    '',
  ];
  writeFileSync(PAGE, lines.join('\n'));
}

const cells: Cell[] = [];
for (const fault of FAULTS) {
  for (const step of STEPS) {
    const result = await runCell(step, fault);
    cells.push({ step, fault, result });
    const reasons = result.type === 'failed' ? `: ${result.reasons.join('; ')}` : '';
    process.stdout.write(`${fault} | ${step} | ${describeResult(result)}${reasons}\n`);
  }
}
const summary = `${countResults(cells, 'passed')} passed, ${countResults(cells, 'failed')} failed, ${countResults(cells, 'notRun')} not run`;
process.stdout.write(`${summary}\n`);
writePage(cells, summary);
process.exitCode = countResults(cells, 'failed') === 0 ? 0 : 1;
