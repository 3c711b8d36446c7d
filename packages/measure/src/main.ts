#!/usr/bin/env node
/** `npm run measure`: compares all policies with the oracle on the same trace, for the deployments of both users. */
import { createPolicy, POLICY_NAMES } from '@hazelwalk/core';
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runCore } from './coreDriver.js';
import { runOracle } from './oracle.js';
import { measureProcesses } from './processMeasure.js';
import { createTrace, SCENARIOS } from './scenario.js';
import type { VariantResult } from './tally.js';

function printResult(result: VariantResult, json: boolean): void {
  if (json) return void process.stdout.write(`${JSON.stringify(result)}\n`);
  const { deployment, policy, skewMedian, skewP99, skewMax, boundViolations, boundViolationsInChurn } =
    result;
  const { cacheReuse, cacheReuseOracle, controlBytesPerSecondPerBox, hopsPerRequest, refusals } = result;
  process.stdout.write(
    `${deployment} ${policy.padEnd(11)} skew ${skewMedian} p99 ${skewP99} max ${skewMax}` +
      ` over bound ${boundViolations}+${boundViolationsInChurn} reuse ${cacheReuse}/${cacheReuseOracle}` +
      ` control ${controlBytesPerSecondPerBox} B/s hops ${hopsPerRequest} refusals ${JSON.stringify(refusals)}\n`,
  );
}

const options = await yargs(hideBin(process.argv))
  .option('json', { type: 'boolean', default: false, describe: 'print one JSON object per line' })
  .option('processes', {
    type: 'boolean',
    default: false,
    describe: 'measure real daemons on loopback instead of the core',
  })
  .option('policy', { type: 'array', choices: POLICY_NAMES, default: [...POLICY_NAMES] })
  .option('seed', { type: 'number', describe: 'seed of the trace, instead of the default' })
  .option('set', {
    type: 'string',
    array: true,
    default: [] as string[],
    describe: 'overrides settings of the core, as name=number',
  })
  .strict()
  .parseAsync();

const overrides = Object.fromEntries(
  options.set.map((pair) => {
    const [name = '', value = ''] = pair.split('=');
    return [name, Number(value)];
  }),
);

async function measureCore(): Promise<void> {
  for (const baseScenario of SCENARIOS) {
    const scenario = { ...baseScenario, seed: options.seed ?? baseScenario.seed };
    const trace = createTrace(scenario);
    const oracle = runOracle(scenario, trace);
    printResult(oracle.summarise('oracle', oracle.reuse), options.json);
    for (const name of options.policy) {
      const tally = await runCore(scenario, createPolicy(name), trace, overrides);
      printResult(tally.summarise(name, oracle.reuse), options.json);
    }
  }
}

async function measureDaemons(): Promise<void> {
  for (const { deployment } of SCENARIOS) {
    for (const name of options.policy) {
      process.stdout.write(`${JSON.stringify(await measureProcesses(deployment, name))}\n`);
    }
  }
}

await (options.processes ? measureDaemons() : measureCore());
