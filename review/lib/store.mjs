/** Stand-in of the platform's metadata store, as PROTOCOL.md describes what a box reads from it. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

const MAX_PAGE_ITEMS = 500;
const ANSWER_MS = 4;

/** A store with one revision counter, ranges, and watches that are answered as soon as there is a change. */
export class Store {
  revision = 0;
  /** @type {Map<string, { text: string, revision: number, created: number }>} */
  items = new Map();
  history = [];
  waiting = new Set();
  calls = [];

  constructor(now) {
    this.now = now;
    this.server = createServer({ keepAliveTimeout: 60_000 }, (req, res) => this.handle(req, res));
  }

  async listen(host) {
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.address = { host, port: this.server.address().port };
    return this.address;
  }

  close() {
    for (const wait of [...this.waiting]) clearTimeout(wait.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes an item; the return is the acknowledgement. */
  put(key, value) {
    this.revision += 1;
    const text = JSON.stringify(value);
    const created = this.items.get(key)?.created ?? this.revision;
    this.items.set(key, { text, revision: this.revision, created });
    this.history.push({ revision: this.revision, key, text, created });
    this.notify();
    return this.now();
  }

  /** Removes an item; the return is the acknowledgement. */
  remove(key) {
    this.revision += 1;
    this.items.delete(key);
    this.history.push({ revision: this.revision, key });
    this.notify();
    return this.now();
  }

  notify() {
    for (const wait of [...this.waiting]) wait.finish();
  }

  handle(req, res) {
    const url = new URL(req.url, 'http://store');
    this.calls.push({ atMs: this.now(), path: req.url });
    setTimeout(() => {
      if (url.pathname === '/v1/kv-range') return this.answerRange(url.searchParams, res);
      if (url.pathname === '/v1/kv-watch') return this.answerWatch(url.searchParams, res);
      if (url.pathname === '/v1/kv-key') return this.answerKey(url.searchParams, res);
      res.writeHead(404).end();
    }, ANSWER_MS);
  }

  answerKey(query, res) {
    const key = query.get('Key');
    const item = this.items.get(key);
    if (item === undefined) return void res.writeHead(404).end();
    send(res, { ...formatItem(key, item), AsOf: this.revision });
  }

  answerRange(query, res) {
    const prefix = query.get('PathPrefix') ?? '';
    const after = query.get('AfterRev');
    const keys = [...this.items.keys()]
      .filter((key) => key.startsWith(prefix) && (after === null || key > after))
      .sort();
    const page = keys.slice(0, MAX_PAGE_ITEMS);
    send(res, {
      Items: page.map((key) => formatItem(key, this.items.get(key))),
      Truncated: keys.length > page.length,
      AsOf: this.revision,
    });
  }

  answerWatch(query, res) {
    const prefix = query.get('PathPrefix') ?? '';
    const after = Number(query.get('AfterRev'));
    const list = () =>
      this.history.filter((change) => change.revision > after && change.key.startsWith(prefix));
    const finish = () => {
      this.waiting.delete(wait);
      clearTimeout(wait.timer);
      send(res, { events: list().map(formatChange), AsOf: this.revision });
    };
    const wait = { finish, timer: undefined };
    if (list().length > 0) return finish();
    wait.timer = setTimeout(finish, Number(query.get('WaitMs')));
    this.waiting.add(wait);
  }
}

function formatItem(key, { text, revision, created }) {
  return { Key: key, Value: encode(text), Rev: revision, CreateRev: created, Lease: 0 };
}

function formatChange({ key, text, revision, created }) {
  if (text === undefined) return { Key: key, Rev: revision, Removed: true };
  return formatItem(key, { text, revision, created });
}

function encode(text) {
  return Buffer.from(text, 'utf8').toString('base64');
}

function send(res, body) {
  res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body));
}
