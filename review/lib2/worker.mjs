/**
 * Stand-in of one worker: `worker.mjs ID [VERSION]`. It serves plain requests and streams as PROTOCOL.md says, and prints each run as a line
 * of JSON. Lines of JSON on its input change its mode.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import process from 'node:process';
import { createInterface } from 'node:readline';
import { setInterval, clearInterval, setTimeout } from 'node:timers';

const [id, version = 'r1'] = process.argv.slice(2);
const mode = { endlessShare: 0, endlessMbps: 100, workMs: 40, events: 30, eventMs: 40 };
let running = 0;
/** Until then it is silent: it works on, but reads and writes nothing. */
let silentUntil = 0;
const silenceLeftMs = () => Math.max(0, silentUntil - Date.now());
const print = (message) => process.stdout.write(`${JSON.stringify(message)}\n`);

const server = createServer((req, res) => {
  const requestId = req.headers['hazelwalk-request-id'] ?? '';
  const expected = req.headers['hazelwalk-expect-instance'];
  res.setHeader('Hazelwalk-Request-Id', requestId);
  if (expected !== undefined && expected !== id) return void res.writeHead(421).end();
  const chunks = [];
  req.on('data', (chunk) => chunks.push(chunk));
  const begin = () => run(req, res, requestId, Buffer.concat(chunks).toString());
  req.on('end', () => setTimeout(begin, silenceLeftMs()));
});

function run(req, res, requestId, body) {
  if (res.destroyed) return;
  running += 1;
  print({
    run: requestId,
    at: Date.now(),
    id,
    path: req.url,
    body: body.slice(0, 40),
    headers: req.headers,
    running,
  });
  // It notices the end of a connection only when it reads again.
  res.on('close', () =>
    setTimeout(() => {
      running -= 1;
      print({ ended: requestId, at: Date.now(), id, whole: res.writableFinished });
    }, silenceLeftMs()),
  );
  res.setHeader('Hazelwalk-Response-Seal', `${id}.${requestId}`);
  res.setHeader('Hazelwalk-Server-Load', `${running},0,64`);
  if (!req.url.startsWith('/stream')) {
    return void setTimeout(() => res.end(`${id}|${requestId}|${body.length}`), mode.workMs);
  }
  res.setHeader('Content-Type', 'text/event-stream');
  if (Math.random() < mode.endlessShare) return writeWithoutEnd(res);
  let next = Number(req.headers['last-event-id'] ?? 0);
  let unsent = '';
  const timer = setInterval(() => {
    if (next < mode.events) {
      next += 1;
      unsent += `id: ${next}\ndata: ${id}|${version}|${requestId}|${next}\n\n`;
    }
    if (silenceLeftMs() > 0) return;
    res.write(unsent);
    unsent = '';
    if (next >= mode.events) res.end();
  }, mode.eventMs);
  res.on('close', () => setTimeout(() => clearInterval(timer), silenceLeftMs()));
}

/** Answers without end that are open. */
const endless = new Set();

/** Bytes that are no answer, without end, until the caller closes; all of them together stay below the link of the worker. */
function writeWithoutEnd(res) {
  endless.add(res);
  res.on('error', () => {});
  res.on('close', () => endless.delete(res));
}

const STEP_MS = 10;
setInterval(() => {
  const open = [...endless].filter((res) => !res.writableNeedDrain);
  const bytes = Buffer.alloc(
    Math.floor((mode.endlessMbps * 1e6 * STEP_MS) / 8_000 / Math.max(1, open.length)),
    'x',
  );
  for (const res of open) res.write(bytes);
}, STEP_MS);

createInterface({ input: process.stdin }).on('line', (line) => {
  const { silentMs, ...changes } = JSON.parse(line);
  Object.assign(mode, changes);
  if (silentMs !== undefined) silentUntil = Date.now() + silentMs;
});
server.keepAliveTimeout = 30_000;
server.listen(0, '127.0.0.1', () => print({ listening: server.address().port }));
