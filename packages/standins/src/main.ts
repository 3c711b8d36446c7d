#!/usr/bin/env node
/** Starts a stand-in and prints its address as one line of JSON. */
import type { Server } from 'node:http';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { EngineStandin } from './engine.js';
import { listenOnLoopback } from './httpTools.js';
import { PlainServiceStandin } from './plainService.js';
import { PlatformStandin } from './platform.js';

async function listenAndPrintAddress(server: Server): Promise<void> {
  const address = await listenOnLoopback(server, 0);
  process.stdout.write(`${JSON.stringify({ address })}\n`);
}

await yargs(hideBin(process.argv))
  .command('platform', 'configuration service', {}, () => listenAndPrintAddress(new PlatformStandin().server))
  .command(
    'engine',
    'model engine',
    (args) =>
      args
        .option('name', { type: 'string', default: 'engine' })
        .option('tokens', { type: 'number', default: 16 })
        .option('tokenMs', { type: 'number', default: 2 })
        .option('firstMs', { type: 'number', default: 0 })
        .option('coldMs', { type: 'number', default: 20 })
        .option('cacheChats', { type: 'number', default: 200 })
        .option('reportLagMs', { type: 'number', default: 500 }),
    (options) => listenAndPrintAddress(new EngineStandin(options).server),
  )
  .command(
    'service',
    'plain service',
    (args) => args.option('delayMs', { type: 'number', default: 5 }),
    (options) => listenAndPrintAddress(new PlainServiceStandin(options.delayMs).server),
  )
  .demandCommand(1)
  .strict()
  .parseAsync();
