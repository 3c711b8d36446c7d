/**
 * Clients of one box each read a stream and then, on the same connection, send an order that cannot be repeated. The box gets
 * SIGTERM while the streams go on. Every order that a worker ran for this box has to be answered.
 */
import { join } from 'node:path';
import process from 'node:process';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { createAgent, sendRequest } from '../lib/client.mjs';
import { createConfiguration, createRoute, HOST, KEY } from '../lib/config.mjs';
import { createRandom } from '../lib/random.mjs';
import { BOUNDS, pause, Site } from '../lib/site.mjs';
import { Worker } from '../lib/worker.mjs';

const isTrouble = process.env.TROUBLE !== '0';
const SEED = 1;
const BOXES = 4;
const CLIENTS = 96;
/** The streams of the sheet have 42 events with pauses of 300 ms at most, and 10,000 ms until their deadline. */
const EVENTS = 42;
const MIN_GAP_MS = 150;
const MAX_GAP_MS = 190;
const STREAM_DEADLINE_MS = 10_000;
/** Work of an order: 85.7 ms on average on the sheet, 450 ms at most in the site file. */
const WORK_MS = 150;
const ORDER_DEADLINE_MS = 3_000;
/** The machines are in touch before the SIGTERM: they have run for longer than `ContactMs`. */
const CALM_MS = BOUNDS.ContactMs + 1_000;
const START_SPREAD_MS = 500;
const GRACE_MS = BOUNDS.GraceS * 1_000;
/** The rule excuses requests that were sent no later than this after the SIGTERM and are still worked on. */
const EXCUSED_MS = 3_000;

const random = createRandom(SEED);
const site = new Site(join(import.meta.dirname, 'record.txt'));

/** Answers with a stream of events at a steady pace. */
function answerWithStream(req, res, { requestId }) {
  const gapMs = MIN_GAP_MS + random() * (MAX_GAP_MS - MIN_GAP_MS);
  let event = 0;
  res.writeHead(200, {
    'Hazelwalk-Response-Seal': `stream.${requestId}`,
    'Content-Type': 'text/event-stream',
  });
  const timer = setInterval(() => {
    event += 1;
    res.write(`id: ${event}\ndata: nine tokens of a plan\n\n`);
    if (event < EVENTS) return;
    clearInterval(timer);
    res.end();
  }, gapMs);
  res.on('close', () => clearInterval(timer));
}

async function startSite() {
  await site.startStore();
  for (let n = 1; n <= 3; n += 1) {
    const options = { id: `e-${n}`, service: 'asistente', zone: 'mixco', slots: 64, workMs: 20 };
    await new Worker(site, { ...options, answer: answerWithStream }).start(site.ip(100 + n));
  }
  const workers = [];
  for (let n = 1; n <= 4; n += 1) {
    const options = { id: `i-${n}`, service: 'reservas', zone: 'mixco', workMs: WORK_MS };
    workers.push(await new Worker(site, options).start(site.ip(110 + n)));
  }
  const routes = [
    createRoute('plan', {
      Kind: 'streaming',
      Service: 'asistente',
      MaxAttempts: 1,
      TimeoutMs: STREAM_DEADLINE_MS,
      TargetLatencyMs: 600,
      GapAimMs: 300,
      Priority: 1,
    }),
    createRoute('pickup', { Kind: 'unsafe', Service: 'reservas', MaxAttempts: 1 }),
  ];
  site.store.put('op/config', createConfiguration(1, routes));
  await site.startBoxes(BOXES);
  return workers;
}

/** A client on one connection: a stream, and then an order. */
async function runClient(box) {
  await pause(random() * START_SPREAD_MS);
  const agent = createAgent();
  const common = { agent, host: HOST, key: KEY };
  const plan = await sendRequest(site, box, {
    ...common,
    path: '/plan/today',
    deadlineMs: STREAM_DEADLINE_MS,
    body: 'p'.repeat(24_000),
  });
  if (plan.isWhole !== true) return undefined;
  const sentAtMs = site.now();
  const order = await sendRequest(site, box, {
    ...common,
    path: '/pickup/now',
    deadlineMs: ORDER_DEADLINE_MS,
    body: 'o'.repeat(600),
  });
  agent.destroy();
  return { ...order, sentAtMs, endedAtMs: site.now() };
}

/** Stops a box as the platform does: SIGTERM, and SIGKILL after `GraceS`. */
function stopBox(box) {
  const { child } = box;
  site.record('SIGTERM', { box: box.name });
  child.kill('SIGTERM');
  setTimeout(() => child.exitCode === null && child.kill('SIGKILL'), GRACE_MS).unref();
  return site.now();
}

async function run() {
  const workers = await startSite();
  await pause(CALM_MS);
  const [box] = site.boxes;
  const clients = Array.from({ length: CLIENTS }, () => runClient(box));
  await pause(START_SPREAD_MS);
  const stoppedAtMs = isTrouble ? stopBox(box) : site.now();
  const orders = (await Promise.all(clients)).filter((order) => order !== undefined);
  const ran = new Set(workers.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)));
  const lost = orders.filter(
    ({ requestId, isWhole, sentAtMs, endedAtMs }) =>
      isWhole !== true &&
      ran.has(requestId) &&
      sentAtMs > stoppedAtMs + EXCUSED_MS &&
      endedAtMs < stoppedAtMs + GRACE_MS + 1_000 &&
      endedAtMs < sentAtMs + ORDER_DEADLINE_MS,
  );
  for (const { requestId, sentAtMs, endedAtMs, error } of lost)
    site.record('LOST', {
      request: requestId,
      sentAfterSigtermMs: Math.round(sentAtMs - stoppedAtMs),
      endedAfterSigtermMs: Math.round(endedAtMs - stoppedAtMs),
      error,
    });
  const answered = orders.filter(({ isWhole }) => isWhole === true).length;
  site.record('result', { orders: orders.length, answered, ranAndLost: lost.length });
  process.stdout.write(`orders ${orders.length}, answered ${answered}, run and lost ${lost.length}\n`);
  return lost.length > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await run();
} catch (error) {
  process.stderr.write(`${error.stack}\n`);
} finally {
  await site.close();
}
process.exit(code);
