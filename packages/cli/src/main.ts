#!/usr/bin/env node
/** Entry point of the operators' tool. Boxes are identified by their admin addresses. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runCheck } from './commands/check.js';
import { runDiff } from './commands/diff.js';
import { runDrain } from './commands/drain.js';
import { runExplain } from './commands/explain.js';
import { runStatus } from './commands/status.js';
import { runWait } from './commands/wait.js';
import { EXIT_CODE } from './output.js';

const DEFAULT_TIMEOUT_MS = 15_000;
const boxesOption = {
  type: 'string',
  array: true,
  demandOption: true,
  describe: 'admin addresses, host:port',
} as const;
const boxOption = { type: 'string', demandOption: true, describe: 'admin address, host:port' } as const;

await yargs(hideBin(process.argv))
  .scriptName('hazelwalk')
  .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
  .command(
    'check <files..>',
    'validate declared files whole',
    (args) => args.positional('files', { type: 'string', array: true, demandOption: true }),
    ({ files, json }) => runCheck(files, json),
  )
  .command(
    'diff <file>',
    'show what a file would change',
    (args) => args.positional('file', { type: 'string', demandOption: true }).option('box', boxOption),
    ({ file, box, json }) => runDiff(file, box, json),
  )
  .command(
    'status',
    'show every box',
    (args) => args.option('boxes', boxesOption),
    ({ boxes, json }) => runStatus(boxes, json),
  )
  .command(
    'wait',
    'wait until a revision is in force on every box',
    (args) =>
      args
        .option('boxes', boxesOption)
        .option('revision', { type: 'number', demandOption: true, describe: 'revision of the declared file' })
        .option('timeoutMs', { type: 'number', default: DEFAULT_TIMEOUT_MS, describe: 'give up after' }),
    ({ boxes, revision, timeoutMs, json }) => runWait(boxes, revision, timeoutMs, json),
  )
  .command(
    'drain <box>',
    'begin a planned stop of a box',
    (args) => args.positional('box', boxOption),
    ({ box, json }) => runDrain(box, json),
  )
  .command(
    'explain <chat>',
    'show which engine a chat goes to and why',
    (args) =>
      args
        .positional('chat', { type: 'string', demandOption: true })
        .option('box', boxOption)
        .option('model', { type: 'string', demandOption: true, describe: 'the model asked for' }),
    ({ box, model, chat, json }) => runExplain(box, model, chat, json),
  )
  .demandCommand(1, 'Name a command.')
  .strict()
  .fail((message: string | null, error: Error | undefined) => {
    process.stderr.write(`HW1201 ${message ?? error?.message ?? 'wrong usage'} See --help.\n`);
    process.exit(EXIT_CODE.badUsage);
  })
  .parseAsync();
