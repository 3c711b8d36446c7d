/** Some answers of a model worker go on without end and hold no whole event. Requests for another, sound service must be answered. */
import process from 'node:process';
import { clearInterval, setInterval } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';
import { Clients } from '../lib2/clients.mjs';
import { EXIT_NOT_RUN, now, route, Site, sleep, ZONES } from '../lib2/site.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const BOXES = 3;
const MODEL_WORKERS = 4;
const APP_WORKERS = 2;
/** The largest dose of garbled answers in the site files: a share of 0.6 of the workers, 0.05 of the answers. */
const TROUBLED_WORKERS = 2;
const TROUBLED_SHARE = 0.05;
/** All answers without end of one worker together; its link carries 1,000 Mbit/s. */
const TROUBLED_MBPS = 300;
const TROUBLE_MS = 6_000;
const QUIET_MS = 3_000;
const TIMEOUT_MS = 1_500;
/** Rule CONFIG: no final answer half a second after the timeout of the route. */
const SLACK_MS = 500;
const MIN_UNANSWERED = 8;
const MAX_UNANSWERED_SHARE = 0.5;
/** A client gives a stream up after the longest of 2 s, four times its objective (400 ms) and eight times its pause (300 ms). */
const SILENCE_MS = 2_400;

const worker = fileURLToPath(new URL('../lib2/worker.mjs', import.meta.url));
const site = new Site();
const clients = new Clients(site);
const runs = new Map();

async function addWorker(id, service, index) {
  const { child, ports } = await site.startProcess([worker, id], (line) => {
    if (line.run !== undefined) {
      runs.set(line.run, (runs.get(line.run) ?? 0) + 1);
      site.log('run', { id: line.run, worker: line.id });
    } else if (line.ended !== undefined)
      site.log('runEnded', { id: line.ended, worker: line.id, whole: line.whole });
  });
  const added = { id, service, port: ports, zone: ZONES[index % ZONES.length], slots: 64, child };
  site.workers.push(added);
  site.putWorker(added);
}

async function play() {
  await site.start({
    boxes: BOXES,
    routes: [
      route('streamDesk', 'streaming', 'asistente', { TimeoutMs: 8_000, Resumable: true, Priority: 0 }),
      route('pickup', 'unsafe', 'reservas', { TimeoutMs: TIMEOUT_MS, MaxAttempts: 1, Priority: 2 }),
    ],
    services: [
      { Name: 'asistente', HealthPath: '/health', MaxConns: 370, Engine: { Moves: true } },
      { Name: 'reservas', HealthPath: '/health', MaxConns: 110 },
    ],
  });
  for (let index = 0; index < MODEL_WORKERS; index += 1) await addWorker(`i-m${index}`, 'asistente', index);
  for (let index = 0; index < APP_WORKERS; index += 1) await addWorker(`i-a${index}`, 'reservas', index);
  await site.startBoxes();
  const traffic = setInterval(() => {
    for (const box of site.boxes) {
      for (let count = 0; count < 3; count += 1)
        clients.send(box, '/streamDesk/2f', { deadlineMs: 8_000, silenceMs: SILENCE_MS, isStream: true });
      clients.send(box, '/pickup/2f', { deadlineMs: 3_000 });
    }
  }, 100);
  await sleep(QUIET_MS);
  if (HAS_TROUBLE) {
    site.log('troubleBegins');
    for (const { child } of site.workers.slice(0, TROUBLED_WORKERS))
      child.stdin.write(`${JSON.stringify({ endlessShare: TROUBLED_SHARE, endlessMbps: TROUBLED_MBPS })}\n`);
  }
  const endsAt = now() + TROUBLE_MS;
  let unready = 0;
  while (now() < endsAt) {
    const askedAt = now();
    const answers = await Promise.all(site.boxes.map((box) => site.ask(box)));
    unready += answers.filter((status) => status !== 200).length;
    site.log('ready', { answers, memoryMb: site.boxes.map((box) => Math.round(site.readMemoryMb(box))) });
    await sleep(Math.max(0, 1_000 - (now() - askedAt)));
  }
  if (HAS_TROUBLE) {
    site.log('troubleEnds');
    for (const { child } of site.workers) child.stdin.write(`${JSON.stringify({ endlessShare: 0 })}\n`);
  }
  clearInterval(traffic);
  await sleep(4_000);
  return unready;
}

function judge(unready) {
  const plain = clients.requests.filter(({ path }) => path.startsWith('/pickup'));
  const isUnansweredAfter = ({ result, tookMs }, ms) =>
    result === 'open' || tookMs >= ms || result === 'gaveUp';
  const late = plain.filter((call) => isUnansweredAfter(call, TIMEOUT_MS));
  const unanswered = late.filter((call) => isUnansweredAfter(call, TIMEOUT_MS + SLACK_MS));
  const never = plain.filter(({ result }) => result === 'gaveUp' || result === 'open');
  const streams = clients.requests.filter(({ path }) => path.startsWith('/stream'));
  const share = late.length === 0 ? 0 : unanswered.length / late.length;
  const isBroken = unanswered.length >= MIN_UNANSWERED && share > MAX_UNANSWERED_SHARE;
  const summary = {
    plain: plain.length,
    unansweredAtTimeout: late.length,
    unansweredHalfASecondLater: unanswered.length,
    neverAnswered: never.length,
    streams: streams.length,
    streamsWhole: streams.filter(({ result }) => result === 'whole').length,
    readyQuestionsWithout200: unready,
    boxesThatEnded: site.boxes.filter(({ child }) => child.exitCode !== null || child.signalCode !== null)
      .length,
    isBroken,
  };
  site.log('summary', summary);
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  return isBroken;
}

let exitCode = EXIT_NOT_RUN;
try {
  exitCode = judge(await play()) ? 1 : 0;
} catch (error) {
  site.log('notRun', { detail: String(error) });
  process.stderr.write(`${String(error)}\n`);
} finally {
  await site.close();
  site.writeRecord(fileURLToPath(new URL('record.txt', import.meta.url)));
}
process.exit(exitCode);
