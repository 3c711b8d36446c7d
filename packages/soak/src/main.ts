#!/usr/bin/env node
/** `npm run soak`: runs boxes and endpoints on loopback under random faults; exits with 1 if a guarantee was violated. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { readMonotonicMs } from '@hazelwalk/platform/standins';
import { hideBin } from 'yargs/helpers';
import yargs from 'yargs';
import type { SoakResult } from './runSeed.js';
import { runSeed } from './runSeed.js';

const MS_PER_S = 1_000;
const MS_PER_MINUTE = 60_000;

const argv = await yargs(hideBin(process.argv))
  .usage('npm run soak -- --seeds N --from S')
  .option('seeds', { type: 'number', default: 1, describe: 'number of seeds to run, one after the other' })
  .option('from', { type: 'number', default: 1, describe: 'the first seed' })
  .option('minutes', { type: 'number', describe: 'start no further seed after this time, in minutes' })
  .option('seconds', { type: 'number', default: 20, describe: 'how long new faults are started, in seconds' })
  .option('boxes', { type: 'number', default: 4, describe: 'number of boxes' })
  .option('endpoints', {
    type: 'number',
    default: 3,
    describe: 'number of endpoints of each service',
  })
  .option('callers', {
    type: 'number',
    default: 12,
    describe: 'number of callers, each with one request at a time',
  })
  .option('announcements', {
    type: 'boolean',
    default: false,
    describe: 'endpoints also announce in responses that they leave, and ask for back-offs',
  })
  .option('restores', {
    type: 'boolean',
    default: false,
    describe: 'also restore the store from a backup',
  })
  .option('cuts', {
    type: 'boolean',
    default: false,
    describe: 'also cut boxes off from all endpoints',
  })
  .option('silences', {
    type: 'boolean',
    default: false,
    describe: 'also a store that is silent for some boxes beside releases, and streams without end',
  })
  .option('scarce', {
    type: 'boolean',
    default: false,
    describe: 'also a service with too few slots for its callers, and routes of different priority',
  })
  .option('versions', {
    type: 'boolean',
    default: false,
    describe: 'also two software versions side by side, and callers who take up streams that break off',
  })
  .option('harmful', {
    type: 'boolean',
    default: false,
    describe: 'also requests with a part of their prompts that crashes endpoints',
  })
  .option('stops', {
    type: 'boolean',
    default: false,
    describe: 'stop boxes again and again in place of faults, under callers that keep their connections',
  })
  .option('brittle', {
    type: 'boolean',
    default: false,
    describe:
      'a service whose endpoints do not survive many rejections, under load that changes; a third of the boxes is paused or killed at once',
  })
  .option('load', {
    type: 'number',
    describe: 'how many times the room of that service is asked for, all the time',
  })
  .option('keep', { type: 'string', default: 'target/soak', describe: 'folder for the logs of failed seeds' })
  .strict()
  .parse();

function report(result: SoakResult): void {
  const { seed, requests, served, runs, faults, violations } = result;
  const summary = {
    seed,
    requests: requests.length,
    served,
    runs,
    faults: faults.length,
    violations: violations.length,
  };
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  for (const { check, detail } of violations) process.stdout.write(`  ${check}: ${detail}\n`);
}

function writeRecords(path: string, records: readonly object[]): void {
  writeFileSync(path, records.map((record) => `${JSON.stringify(record)}\n`).join(''));
}

function keepLogs(result: SoakResult): void {
  const folder = join(argv.keep, `seed-${result.seed}`);
  mkdirSync(folder, { recursive: true });
  // The logs of the boxes are in wall clock time, the records are not.
  const clocks = `${new Date().toISOString()} is ${readMonotonicMs()} ms`;
  writeFileSync(join(folder, 'faults.txt'), `${[clocks, ...result.faults].join('\n')}\n`);
  writeFileSync(join(folder, 'violations.json'), JSON.stringify(result.violations, undefined, 2));
  writeRecords(join(folder, 'requests.jsonl'), result.requests);
  writeRecords(join(folder, 'runs.jsonl'), result.runRecords);
  writeRecords(join(folder, 'stalls.jsonl'), result.stalls);
  for (const [box, lines] of result.logs) writeFileSync(join(folder, `${box}.log`), `${lines.join('\n')}\n`);
}

const startedAtMs = Date.now();
let failed = 0;
let passed = 0;
for (let seed = argv.from; seed < argv.from + argv.seeds; seed += 1) {
  if (argv.minutes !== undefined && Date.now() - startedAtMs > argv.minutes * MS_PER_MINUTE) break;
  const result = await runSeed({
    seed,
    boxes: argv.boxes,
    endpointsPerService: argv.endpoints,
    callers: argv.callers,
    faultsMs: argv.seconds * MS_PER_S,
    hasAnnouncements: argv.announcements,
    hasRestores: argv.restores,
    hasCuts: argv.cuts,
    hasSilences: argv.silences,
    isScarce: argv.scarce,
    hasVersions: argv.versions,
    hasHarmfulParts: argv.harmful,
    hasStops: argv.stops,
    isBrittle: argv.brittle,
    brittleLoad: argv.load,
  });
  report(result);
  if (result.violations.length === 0) passed += 1;
  else {
    failed += 1;
    keepLogs(result);
  }
}
process.stdout.write(`seeds: ${passed} passed, ${failed} failed\n`);
process.exit(failed === 0 ? 0 : 1);
