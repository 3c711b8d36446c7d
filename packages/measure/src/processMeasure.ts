/**
 * Measures real daemons on loopback: the latency that they add to a direct call of an engine, and requests per second of processor
 * time, compared with a plain pass-through proxy.
 */
import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { PolicyName } from '@hazelwalk/core';
import { Deployment, DEPLOYMENTS, endProcess, pause, startProcess } from '@hazelwalk/standins';
import type { StartedProcess } from '@hazelwalk/standins';
import { Agent, request } from 'undici';
import { performance } from 'node:perf_hooks';

const PASS_THROUGH_PROGRAM = 'packages/measure/dist/passThrough.js';
const LATENCY_REQUESTS = 1_500;
const LATENCY_CLIENTS = 8;
const CPU_REQUESTS = 5_000;
const CPU_CLIENTS = 128;
/** Rounds of load before a measurement, so that the JIT compiler of each process has optimised the code. */
const WARM_UP_ROUNDS = 3;
const SETTLE_MS = 5_000;
const MICROSECONDS_PER_MS = 1_000;
/** Engines respond after 40 ms with all tokens at once, so that they have requests in flight and the load bound takes effect. */
const ENGINE_FLAGS = ['--tokens', '8', '--tokenMs', '0', '--coldMs', '0', '--firstMs', '40'];

/** One line of results. */
export interface ProcessResult {
  readonly policy: string;
  readonly deployment: string;
  readonly addedLatencyP50Ms: number;
  readonly addedLatencyP99Ms: number;
  readonly directLatencyP50Ms: number;
  readonly requestsPerCpuSecond: number;
  readonly requestsPerCpuSecondPassThrough: number;
  readonly controlBytesPerSecondPerBox: number;
  /**
   * Number of incomplete responses by error code, or by status if the response has no code. If a code occurs in both loads through
   * the boxes, only its number in the processor time load is kept.
   */
  readonly refusals: Readonly<Record<string, number>>;
}

interface BoxStatus {
  readonly cpuMs: number;
  readonly uptimeMs: number;
  readonly bytes: { readonly control: number; readonly platformAndReports: number };
}

interface LoadOptions {
  readonly addresses: readonly string[];
  readonly model: string;
  readonly team: string;
  readonly requests: number;
  readonly clients: number;
}

interface LoadResult {
  readonly latencies: Histogram;
  readonly refusals: Map<string, number>;
}

/** Sends chats from a number of clients in a closed loop and records the time to the response headers of each. */
async function applyLoad(options: LoadOptions): Promise<LoadResult> {
  const agent = new Agent({ connections: options.clients });
  const latencies = build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
  const body = JSON.stringify({
    model: options.model,
    stream: true,
    messages: [{ role: 'user', content: 'hello' }],
  });
  let next = 0;
  const refusals = new Map<string, number>();
  const runClient = async (): Promise<void> => {
    while (next < options.requests) {
      const index = next++;
      const address = options.addresses[index % options.addresses.length] ?? '';
      const startedMs = performance.now();
      const response = await request(`http://${address}/v1/chat/completions`, {
        method: 'POST',
        headers: {
          'content-type': 'application/json',
          'hazelwalk-team': options.team,
          'hazelwalk-chat': `chat-${index % 500}`,
        },
        body,
        dispatcher: agent,
      });
      latencies.recordValue(Math.round((performance.now() - startedMs) * MICROSECONDS_PER_MS));
      const text = await response.body.text();
      if (response.statusCode === 200 && text.endsWith('[DONE]\n\n')) continue;
      const reason = /"code":(\d+)/.exec(text)?.[1] ?? `status ${response.statusCode}`;
      refusals.set(reason, (refusals.get(reason) ?? 0) + 1);
    }
  };
  await Promise.all(Array.from({ length: options.clients }, runClient));
  await agent.close();
  return { latencies, refusals };
}

async function warmUp(options: LoadOptions, rounds: number): Promise<void> {
  for (let round = 0; round < rounds; round += 1) await applyLoad(options);
}

async function readCpuMs(deployment: Deployment): Promise<number> {
  const reports = await Promise.all(deployment.boxes.map((box) => deployment.readStatus<BoxStatus>(box)));
  return reports.reduce((sum, report) => sum + report.cpuMs, 0);
}

/** Measures the control bytes per second and box on an idle deployment, as counted on the sockets. */
async function measureControlTraffic(deployment: Deployment): Promise<number> {
  const read = async (): Promise<number> => {
    const reports = await Promise.all(deployment.boxes.map((box) => deployment.readStatus<BoxStatus>(box)));
    return reports.reduce((sum, { bytes }) => sum + bytes.control + bytes.platformAndReports, 0);
  };
  const before = await read();
  await pause(SETTLE_MS);
  const bytes = (await read()) - before;
  return Math.round((bytes * 1_000) / SETTLE_MS / deployment.boxes.length);
}

function toMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}

function round(value: number): number {
  return Math.round(value * 1_000) / 1_000;
}

function startPassThrough(target: string): Promise<StartedProcess<{ address: string }>> {
  return startProcess([PASS_THROUGH_PROGRAM, target], (line) => JSON.parse(line) as { address: string });
}

async function readPassThroughCpu(address: string): Promise<number> {
  const { cpuMs } = (await (await fetch(`http://${address}/cpu`)).json()) as { cpuMs: number };
  return cpuMs;
}

/** Applies the same load to as many pass-through processes as there are boxes, each in front of one engine. */
async function measurePassThrough(
  deployment: Deployment,
  load: Omit<LoadOptions, 'addresses'>,
): Promise<number> {
  const targets = deployment.boxes.map(
    (_, index) => deployment.engines[index % deployment.engines.length]?.address ?? '',
  );
  const started = await Promise.all(targets.map(startPassThrough));
  const addresses = started.map((process) => process.startupInfo.address);
  const readCpu = async (): Promise<number> => {
    const all = await Promise.all(addresses.map(readPassThroughCpu));
    return all.reduce((sum, cpuMs) => sum + cpuMs, 0);
  };
  try {
    await warmUp({ ...load, addresses }, WARM_UP_ROUNDS);
    const before = await readCpu();
    await applyLoad({ ...load, addresses });
    return (load.requests * 1_000) / ((await readCpu()) - before);
  } finally {
    await Promise.all(started.map((process) => endProcess(process.child, 'SIGKILL')));
  }
}

/** Measures one policy on one deployment. */
export async function measureProcesses(
  name: 'lavanda' | 'granja',
  policy: PolicyName,
): Promise<ProcessResult> {
  const spec = { ...DEPLOYMENTS[name], engineFlags: ENGINE_FLAGS, boxFlags: ['--policy', policy] };
  const deployment = await Deployment.start(spec);
  try {
    const team = name === 'lavanda' ? 'hotel-chain' : 'montevideo';
    const engines = deployment.engines.map((engine) => engine.address);
    const boxes = deployment.boxes.map((box) => box.caller);
    const sharedLoad = { model: spec.model, team };
    const latencyLoad = { ...sharedLoad, requests: LATENCY_REQUESTS, clients: LATENCY_CLIENTS };
    const cpuLoad = { ...sharedLoad, requests: CPU_REQUESTS, clients: CPU_CLIENTS };
    await warmUp({ ...cpuLoad, addresses: boxes }, WARM_UP_ROUNDS);
    const routed = await applyLoad({ ...latencyLoad, addresses: boxes });
    const direct = await applyLoad({ ...latencyLoad, addresses: engines });
    const cpuBefore = await readCpuMs(deployment);
    const loaded = await applyLoad({ ...cpuLoad, addresses: boxes });
    const cpuMs = (await readCpuMs(deployment)) - cpuBefore;
    return {
      policy,
      deployment: name,
      addedLatencyP50Ms: round(toMs(routed.latencies, 50) - toMs(direct.latencies, 50)),
      addedLatencyP99Ms: round(toMs(routed.latencies, 99) - toMs(direct.latencies, 99)),
      directLatencyP50Ms: round(toMs(direct.latencies, 50)),
      requestsPerCpuSecond: Math.round((CPU_REQUESTS * 1_000) / cpuMs),
      requestsPerCpuSecondPassThrough: Math.round(await measurePassThrough(deployment, cpuLoad)),
      controlBytesPerSecondPerBox: await measureControlTraffic(deployment),
      refusals: Object.fromEntries([...routed.refusals, ...loaded.refusals]),
    };
  } finally {
    await deployment.stop();
  }
}
