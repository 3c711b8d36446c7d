#!/usr/bin/env node
/** The daemon's entry point: `hazelwalkd --settings box.toml`. */
import type { Problem } from '@hazelwalk/core';
import { formatProblem } from '@hazelwalk/core';
import type { BoxSettings } from '@hazelwalk/config';
import { loadBoxSettings } from '@hazelwalk/config';
import { Logger } from 'tslog';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { Box } from './box.js';
import { EXIT_CODE } from './exitCodes.js';

const LOG_LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;
/** Limit on closing the listeners after a planned stop, as connections that callers keep open would delay the exit. */
const CLOSE_TIMEOUT_MS = 2_000;

/** Flags that override the settings file, by the name of the setting. */
const BOX_FLAGS = {
  boxId: { type: 'string', describe: 'name of the box' },
  hall: { type: 'string', describe: 'hall of the box' },
  callerAddress: { type: 'string', describe: 'host:port for callers' },
  peerAddress: { type: 'string', describe: 'host:port for other boxes' },
  adminAddress: { type: 'string', describe: 'host:port for operators' },
  platformUrl: { type: 'string', describe: 'URL of the configuration service' },
  seedAddresses: { type: 'string', array: true, describe: 'boxes to ask when the platform is down' },
  policy: { type: 'string', describe: 'how engines are chosen; anything but steward is a baseline' },
  heartbeatMs: { type: 'number', describe: 'pace of heartbeats' },
  leaseMs: { type: 'number', describe: 'silence after which a peer is not live' },
  keyLagMs: { type: 'number', describe: 'age that published lists may have' },
  keyLeaseMs: { type: 'number', describe: 'time within which an owner of keys confirms its lists' },
  keySkewMs: { type: 'number', describe: "error of callers' clocks" },
  clockErrorMs: { type: 'number', describe: "error of boxes' clocks" },
  logLevel: { type: 'string', describe: 'debug, info, warn or error' },
} as const;

function readFlags(): { settings: string | undefined; flags: Record<string, unknown> } {
  const parsed = yargs(hideBin(process.argv))
    .scriptName('hazelwalkd')
    .usage('$0 --settings FILE [flags]\n\nRuns one box. Flags go over the settings file.')
    .option('settings', { type: 'string', describe: 'TOML file with the settings of the box' })
    .options(BOX_FLAGS)
    .strict()
    .fail((message: string | null, error: Error | undefined) => {
      process.stderr.write(`HW1201 ${message ?? error?.message ?? 'wrong usage'}. See --help.\n`);
      process.exit(EXIT_CODE.badUsage);
    })
    .parseSync();
  const { settings, ...rest } = parsed;
  const given: Readonly<Record<string, unknown>> = rest;
  const names = Object.keys(given).filter((name) => name in BOX_FLAGS);
  return { settings, flags: Object.fromEntries(names.map((name) => [name, given[name]])) };
}

function failWith(problems: readonly Problem[], exitCode: number): never {
  for (const problem of problems) process.stderr.write(`${formatProblem(problem)}\n`);
  process.exit(exitCode);
}

function createLogger(settings: BoxSettings): Logger<unknown> {
  return new Logger({
    type: 'json',
    name: settings.boxId,
    minLevel: LOG_LEVELS[settings.logLevel],
    hideLogPositionForProduction: true,
  });
}

async function run(): Promise<void> {
  const { settings: path, flags } = readFlags();
  const settings = loadBoxSettings(path, flags);
  if (settings.err) return failWith(settings.val, EXIT_CODE.settingsInvalid);
  const logger = createLogger(settings.val);
  const box = await Box.create(settings.val, logger);
  process.on('SIGTERM', () => box.requestStop());
  process.on('SIGINT', () => box.requestStop());
  try {
    const addresses = await box.start();
    logger.info('started', addresses);
  } catch (error) {
    failWith([{ code: 'addressInUse', at: '', detail: (error as Error).message }], EXIT_CODE.addressInUse);
  }
  await box.stopped;
  logger.info('stopped');
  setTimeout(() => process.exit(EXIT_CODE.ok), CLOSE_TIMEOUT_MS).unref();
  await box.close();
  process.exit(EXIT_CODE.ok);
}

await run();
