/** Stand-in of the platform's store: items with revisions, range reads and watches, as PROTOCOL.md describes them. */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

/** An in-memory store on the loopback interface. */
export class Store {
  era = 1;
  revision = 10;
  items = new Map();
  history = [];
  watches = new Set();
  servers = [];
  /** Ports of the machines that the store does not answer; it serves the others. */
  silentPorts = new Set();

  /** Opens a further port; each machine has one of its own. */
  async listen() {
    const server = createServer((req, res) => this.handle(req, res));
    this.servers.push(server);
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    return server.address().port;
  }

  put(key, value) {
    this.revision += 1;
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const item = { Key: key, Value: Buffer.from(text).toString('base64'), Rev: this.revision };
    this.items.set(key, item);
    this.record(item);
  }

  remove(key) {
    this.revision += 1;
    this.items.delete(key);
    this.record({ Key: key, Rev: this.revision, Removed: true });
  }

  close() {
    for (const watch of this.watches) clearTimeout(watch.timer);
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
  }

  record(change) {
    this.history.push(change);
    for (const watch of [...this.watches]) if (change.Key.startsWith(watch.prefix)) this.complete(watch);
  }

  handle(req, res) {
    if (this.silentPorts.has(req.socket.localPort)) return;
    res.setHeader('Store-Era', this.era);
    const url = new URL(req.url, 'http://store');
    const prefix = url.searchParams.get('PathPrefix') ?? '';
    const after = url.searchParams.get('AfterRev') ?? '';
    if (url.pathname === '/v1/kv-range') {
      const Items = [...this.items.values()]
        .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
        .sort((a, b) => (a.Key < b.Key ? -1 : 1));
      return void res.end(JSON.stringify({ Items, Truncated: false, AsOf: this.revision }));
    }
    if (url.pathname !== '/v1/kv-watch') return void res.writeHead(404).end();
    if (Number(after) > this.revision) return void res.writeHead(410).end();
    const watch = { prefix, after: Number(after), res };
    this.watches.add(watch);
    watch.timer = setTimeout(() => this.complete(watch), Number(url.searchParams.get('WaitMs')));
    res.on('close', () => this.watches.delete(watch));
    if (this.listChanges(watch).length > 0) this.complete(watch);
  }

  listChanges({ prefix, after }) {
    return this.history.filter(({ Key, Rev }) => Rev > after && Key.startsWith(prefix));
  }

  complete(watch) {
    clearTimeout(watch.timer);
    this.watches.delete(watch);
    // Once an answer is lost, its connection says nothing more.
    if (this.silentPorts.has(watch.res.socket?.localPort)) return;
    watch.res.end(JSON.stringify({ events: this.listChanges(watch), AsOf: this.revision }));
  }
}
