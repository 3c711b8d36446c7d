#!/usr/bin/env node
/** Demo: starts a user's deployment and sends a few hundred requests of returning chats and bookings through it. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import type { EndpointHandle } from './deployment.js';
import { Deployment, DEPLOYMENTS } from './deployment.js';

const CHATS = 60;
const TURNS = 5;
const BOOKINGS = 60;
const CONCURRENCY = 16;
const PROGRESS_STEP = 30;
const TEAMS = {
  lavanda: ['hotel-chain', 'hospital', 'posadas'],
  granja: ['montevideo', 'salto', 'rocha'],
} as const;

interface DemoCounts {
  chats: number;
  bookings: number;
  failed: number;
}

interface EngineStats {
  readonly runs: number;
  readonly warm: number;
  readonly returning: number;
}

function pickBox(deployment: Deployment, index: number): string {
  return deployment.boxes[index % deployment.boxes.length]?.caller ?? '';
}

async function runChat(
  deployment: Deployment,
  tally: DemoCounts,
  teams: readonly string[],
  chat: number,
): Promise<void> {
  const messages: { role: string; content: string }[] = [];
  for (let turn = 0; turn < TURNS; turn += 1) {
    messages.push({ role: 'user', content: `question ${turn} of chat ${chat}` });
    // The load balancer in front of the boxes has no affinity: each turn may enter at another box.
    const box = pickBox(deployment, chat * 7 + turn * 3);
    const response = await fetch(`http://${box}/v1/chat/completions`, {
      method: 'POST',
      headers: { 'hazelwalk-team': teams[chat % teams.length] ?? '', 'hazelwalk-chat': `chat-${chat}` },
      body: JSON.stringify({ model: deployment.spec.model, stream: true, messages }),
    });
    const text = await response.text();
    const isComplete = response.status === 200 && text.endsWith('data: [DONE]\n\n');
    if (isComplete) tally.chats += 1;
    else tally.failed += 1;
    messages.push({ role: 'assistant', content: 'answer' });
    showProgress(tally);
  }
}

async function runBooking(
  deployment: Deployment,
  tally: DemoCounts,
  team: string,
  index: number,
): Promise<void> {
  const service = deployment.spec.workerServices[0] ?? '';
  const response = await fetch(`http://${pickBox(deployment, index)}/services/${service}/orders`, {
    method: 'POST',
    headers: { 'hazelwalk-team': team, 'x-request-id': `booking-${index}` },
    body: JSON.stringify({ order: index }),
  });
  const result = (await response.json()) as { confirmed?: boolean; runs?: number };
  if (result.confirmed === true && result.runs === 1) tally.bookings += 1;
  else tally.failed += 1;
  showProgress(tally);
}

function showProgress(tally: DemoCounts): void {
  const done = tally.chats + tally.bookings + tally.failed;
  const total = CHATS * TURNS + BOOKINGS;
  if (done % PROGRESS_STEP === 0) process.stdout.write(`  ${done} of ${total} requests answered\n`);
}

/** Runs jobs, at most `CONCURRENCY` at a time. */
async function runAll(jobs: readonly (() => Promise<void>)[]): Promise<void> {
  const queue = [...jobs];
  const runJobs = async (): Promise<void> => {
    for (let job = queue.shift(); job !== undefined; job = queue.shift()) await job();
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, runJobs));
}

async function readEngineStats(engine: EndpointHandle): Promise<EngineStats> {
  return (await (await fetch(`http://${engine.address}/standin/stats`)).json()) as EngineStats;
}

async function printSummary(deployment: Deployment, tally: DemoCounts): Promise<void> {
  const engines = await Promise.all(deployment.engines.map(readEngineStats));
  const runs = engines.map((engine) => engine.runs);
  const mean = runs.reduce((sum, value) => sum + value, 0) / runs.length;
  const warm = engines.reduce((sum, engine) => sum + engine.warm, 0);
  const returning = engines.reduce((sum, engine) => sum + engine.returning, 0);
  const statuses = await Promise.all(deployment.boxes.map((box) => deployment.readStatus<BoxStatus>(box)));
  const bytesPerSecond = statuses.map(
    ({ bytes, uptimeMs }) => ((bytes.control + bytes.platformAndReports) * 1_000) / uptimeMs,
  );
  const meanBytes = bytesPerSecond.reduce((sum, value) => sum + value, 0) / bytesPerSecond.length;
  process.stdout.write(
    [
      `chat turns answered whole   ${tally.chats}`,
      `bookings confirmed, once    ${tally.bookings}`,
      `failed                      ${tally.failed}`,
      `busiest engine over mean    ${(Math.max(...runs) / mean).toFixed(2)} (by requests served)`,
      `returning turns found warm  ${((100 * warm) / Math.max(1, returning)).toFixed(1)} %`,
      `control traffic per box     ${meanBytes.toFixed(0)} bytes/s (start included)`,
      '',
    ].join('\n'),
  );
}

interface BoxStatus {
  readonly bytes: { readonly control: number; readonly platformAndReports: number };
  readonly uptimeMs: number;
}

async function run(): Promise<number> {
  const { deployment: name } = await yargs(hideBin(process.argv))
    .option('deployment', { choices: ['lavanda', 'granja'] as const, default: 'lavanda' as const })
    .strict()
    .parseAsync();
  const spec = DEPLOYMENTS[name];
  process.stdout.write(
    `starting ${spec.boxCount} boxes, ${spec.engineCount} engines and ${spec.workerCount} workers in ${spec.halls.length} halls\n`,
  );
  const deployment = await Deployment.start(spec);
  const tally: DemoCounts = { chats: 0, bookings: 0, failed: 0 };
  try {
    const teams = TEAMS[name];
    const chats = Array.from({ length: CHATS }, (_, chat) => () => runChat(deployment, tally, teams, chat));
    const bookings = Array.from(
      { length: BOOKINGS },
      (_, index) => () => runBooking(deployment, tally, teams[0], index),
    );
    await runAll([...chats, ...bookings]);
    await printSummary(deployment, tally);
  } finally {
    await deployment.stop();
  }
  return tally.failed === 0 ? 0 : 1;
}

process.exitCode = await run();
