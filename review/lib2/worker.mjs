/**
 * Stand-in of one worker: `worker.mjs ID`. It serves plain requests and streams as PROTOCOL.md says, and prints each run as a line
 * of JSON. Lines of JSON on its input change its mode.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import process from 'node:process';
import { createInterface } from 'node:readline';
import { setInterval, clearInterval, setTimeout } from 'node:timers';

const [id] = process.argv.slice(2);
const mode = { endlessShare: 0, endlessMbps: 100, workMs: 40, events: 30, eventMs: 40 };
let running = 0;
const print = (message) => process.stdout.write(`${JSON.stringify(message)}\n`);

const server = createServer((req, res) => {
  const requestId = req.headers['hazelwalk-request-id'] ?? '';
  const expected = req.headers['hazelwalk-expect-instance'];
  res.setHeader('Hazelwalk-Request-Id', requestId);
  if (expected !== undefined && expected !== id) return void res.writeHead(421).end();
  const chunks = [];
  req.on('data', (chunk) => chunks.push(chunk));
  req.on('end', () => run(req, res, requestId, Buffer.concat(chunks).toString()));
});

function run(req, res, requestId, body) {
  running += 1;
  print({ run: requestId, id, path: req.url, body: body.slice(0, 40), headers: req.headers, running });
  res.on('close', () => {
    running -= 1;
    print({ ended: requestId, id, whole: res.writableFinished });
  });
  res.setHeader('Hazelwalk-Response-Seal', `${id}.${requestId}`);
  res.setHeader('Hazelwalk-Server-Load', `${running},0,64`);
  if (!req.url.startsWith('/stream')) {
    return void setTimeout(() => res.end(`${id}|${requestId}|${body.length}`), mode.workMs);
  }
  res.setHeader('Content-Type', 'text/event-stream');
  if (Math.random() < mode.endlessShare) return writeWithoutEnd(res);
  let next = Number(req.headers['last-event-id'] ?? 0);
  const timer = setInterval(() => {
    next += 1;
    res.write(`id: ${next}\ndata: ${id}|${requestId}|${next}\n\n`);
    if (next >= mode.events) res.end();
  }, mode.eventMs);
  res.on('close', () => clearInterval(timer));
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

createInterface({ input: process.stdin }).on('line', (line) => Object.assign(mode, JSON.parse(line)));
server.keepAliveTimeout = 30_000;
server.listen(0, '127.0.0.1', () => print({ listening: server.address().port }));
