/**
 * The store stops answering two machines of a zone. A worker of a new software version starts, begins streams and crashes. Clients
 * take their streams up at other machines of their zone. No stream may hold events of two versions.
 */
import { Buffer } from 'node:buffer';
import process from 'node:process';
import { clearInterval, setInterval } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';
import createHasher from 'xxhash-wasm';
import { Clients } from '../lib2/clients.mjs';
import { CONTROL_PORT, EXIT_NOT_RUN, route, Site, sleep, ZONES } from '../lib2/site.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const BOXES = 8;
/** Three zones, as in celeste-hq: 3, 3 and 2 machines. */
const PLACES = ZONES.slice(0, 3);
const OLD_WORKERS = 3;
const QUIET_MS = 33_000;
/** In the zones; most clients are in the first. */
const STREAMS_PER_S = [200, 60, 60];
/** The store falls silent for the machines this long before the release begins. */
const SILENT_BEFORE_MS = 100;
/** The new worker crashes this long after it was listed. */
const CRASH_AFTER_MS = 700;
/** Besides its even share, the last machine of a zone gets this much of the zone's clients. */
const LARGE_SHARE = 0.5;
const AFTER_MS = 3_000;
/** Events of a stream, 40 ms apart. */
const EVENTS = 20;
const DEADLINE_MS = 8_000;
const SILENCE_MS = 2_400;
/** Rule ORDER: more than two streams. */
const MAX_MIXED = 2;

const workerProgram = fileURLToPath(new URL('../lib2/worker.mjs', import.meta.url));
const site = new Site();
const clients = new Clients(site);
const streams = [];
/** Machines of each zone, by the rank by which the machines choose those that relay the store's changes. */
const nodesOf = new Map();

async function addWorker(id, version, index) {
  const { child, ports } = await site.startProcess([workerProgram, id, version], (line) => {
    if (line.run === undefined) return;
    site.log('run', {
      id: line.run,
      worker: id,
      version,
      after: line.headers['last-event-id'],
      resumes: line.headers.resumes,
    });
  });
  const worker = {
    id,
    service: 'asistente',
    port: ports,
    zone: PLACES[index % PLACES.length],
    slots: 64,
    version,
    child,
  };
  child.stdin.write(`${JSON.stringify({ events: EVENTS })}\n`);
  site.putWorker(worker);
  return worker;
}

/** Reads the whole events that an answer brought. */
function readEvents(body) {
  const whole = body.slice(0, body.lastIndexOf('\n\n') + 1);
  return [...whole.matchAll(/^id: (\d+)\ndata: [^|\n]*\|([^|\n]*)\|/gm)].map(([, id, version]) => ({
    id: Number(id),
    version,
  }));
}

/** The platform picks by a hash of the client, so the shares are not even: the third machine of a zone gets more than the others. */
function pickFirst(nodes) {
  return Math.random() < LARGE_SHARE ? nodes.length - 1 : Math.floor(Math.random() * nodes.length);
}

/** One stream of a client: it takes it up once, at another machine of its zone, if its connection broke after an event. */
async function runStream(zone, prompt) {
  const nodes = nodesOf.get(zone);
  const first = pickFirst(nodes);
  const headers = { 'Hazelwalk-Prompt-Prefix': `5c1e07a2:100,${Buffer.from(prompt).toString('hex')}:10` };
  const options = { deadlineMs: DEADLINE_MS, silenceMs: SILENCE_MS, isStream: true, headers };
  const stream = { events: [] };
  streams.push(stream);
  const begun = await clients.send(nodes[first], '/streamDesk/2f', options).done;
  stream.events = readEvents(begun.body);
  stream.first = begun;
  if (begun.result === 'whole' || stream.events.length === 0) return;
  const other = nodes[(first + 1 + Math.floor(Math.random() * (nodes.length - 1))) % nodes.length];
  const takeUp = { ...headers, 'Last-Event-Id': String(stream.events.at(-1).id), Resumes: begun.id };
  const taken = await clients.send(other, '/streamDesk/2f', { ...options, headers: takeUp }).done;
  stream.taken = taken;
  if (taken.status === 200) stream.events.push(...readEvents(taken.body));
}

async function play() {
  await site.start({
    boxes: BOXES,
    zones: PLACES,
    routes: [
      route('streamDesk', 'streaming', 'asistente', { TimeoutMs: DEADLINE_MS, Resumable: true, Priority: 0 }),
    ],
    services: [{ Name: 'asistente', HealthPath: '/health', MaxConns: 370, Engine: { Moves: true } }],
  });
  for (let index = 0; index < OLD_WORKERS; index += 1) await addWorker(`i-old${index}`, '7.1', index);
  await site.startBoxes();
  const hasher = await createHasher();
  const rank = ({ ip }) => hasher.h32(`${ip}:${CONTROL_PORT}`);
  for (const zone of PLACES) {
    const nodes = site.boxes.filter((box) => box.zone === zone);
    nodesOf.set(
      zone,
      nodes.sort((a, b) => rank(a) - rank(b)),
    );
  }
  // Two of the eight machines, in a zone of three: those that pass on in their hall what they read from the store.
  const cut = nodesOf.get(PLACES[0]).slice(0, 2);
  let count = 0;
  const beginAll = (perZone) => {
    for (const [index, zone] of PLACES.entries())
      for (let each = 0; each < perZone[index]; each += 1)
        void runStream(zone, `p${(count += 1)}-${Math.random()}`);
  };
  const light = setInterval(() => beginAll([1, 1, 1]), 500);
  await sleep(QUIET_MS);
  clearInterval(light);
  if (HAS_TROUBLE) {
    site.log('storeSilentFor', { boxes: cut.map(({ name }) => name) });
    for (const { storePort } of cut) site.store.silentPorts.add(storePort);
  }
  const traffic = setInterval(() => beginAll(STREAMS_PER_S.map((perS) => perS / 20)), 50);
  await sleep(SILENT_BEFORE_MS);
  const added = await addWorker('i-new', '7.2', 0);
  site.log('released', { worker: added.id, version: added.version });
  await sleep(CRASH_AFTER_MS);
  if (HAS_TROUBLE) {
    site.log('crashed', { worker: added.id });
    added.child.kill('SIGKILL');
  }
  await sleep(AFTER_MS);
  clearInterval(traffic);
  await sleep(3_000);
}

function judge() {
  const versionsOf = ({ events }) => new Set(events.map(({ version }) => version));
  const mixed = streams.filter((stream) => versionsOf(stream).size > 1);
  for (const { first, taken, events } of mixed)
    site.log('mixed', { first: first.id, at: first.box, taken: taken?.id, takenAt: taken?.box, events });
  const takenUp = streams.filter(({ taken }) => taken !== undefined);
  const summary = {
    streams: streams.length,
    begunAtNewVersion: streams.filter(({ events }) => events[0]?.version === '7.2').length,
    takenUp: takenUp.length,
    takenUpRefused: takenUp.filter(({ taken }) => taken.status !== 200).length,
    mixed: mixed.length,
    isBroken: mixed.length > MAX_MIXED,
  };
  site.log('summary', summary);
  process.stdout.write(`${JSON.stringify(summary)}\n`);
  return summary.isBroken;
}

let exitCode = EXIT_NOT_RUN;
try {
  await play();
  exitCode = judge() ? 1 : 0;
} catch (error) {
  site.log('notRun', { detail: String(error) });
  process.stderr.write(`${String(error)}\n`);
} finally {
  await site.close();
  site.writeRecord(fileURLToPath(new URL('record.txt', import.meta.url)));
}
process.exit(exitCode);
