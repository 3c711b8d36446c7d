/** Stand-in of a worker, as PROTOCOL.md describes it. */
import { createServer } from 'node:http';
import { setTimeout } from 'node:timers';

/** A worker: one incarnation of a server that keeps its entry in the store. */
export class Worker {
  state = 'ready';
  sequence = 0;
  runs = [];
  running = 0;

  /** @param options id, service, zone, workMs, and optionally `answer`, which replaces the usual answer */
  constructor(site, options) {
    this.site = site;
    this.options = { slots: 6, workMs: 20, ...options };
    this.server = createServer({ keepAliveTimeout: 10_000 }, (req, res) => this.handle(req, res));
  }

  async start(host) {
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
    this.site.closers.push(() => this.close());
    this.write();
    return this;
  }

  /** Writes the entry; returns when the store acknowledged it. */
  write() {
    const { id, service, zone, slots } = this.options;
    this.sequence += 1;
    return this.site.store.put(`servers/${id}`, {
      Service: service,
      Address: this.address,
      Zone: zone,
      Version: 'v1',
      Slots: slots,
      State: this.state,
      ColdRemainingMs: 0,
      Sequence: this.sequence,
    });
  }

  /** Says that it drains; it serves on. */
  drain() {
    this.state = 'draining';
    return this.write();
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  handle(req, res) {
    const { id, service, workMs, slots, answer } = this.options;
    const requestId = req.headers['hazelwalk-request-id'];
    const expected = req.headers['hazelwalk-expect-instance'];
    if (req.url === '/health')
      return void res.writeHead(this.state === 'ready' ? 200 : 503, { 'Hazelwalk-Instance-Id': id }).end();
    res.setHeader('Hazelwalk-Request-Id', requestId ?? '');
    if (this.state === 'draining') res.setHeader('Connection', 'close');
    if (expected !== undefined && expected !== id)
      return void res.writeHead(421, { 'Hazelwalk-Instance-Id': id, 'Hazelwalk-Not-Executed': '1' }).end();
    if (this.running >= slots * 4) return void res.writeHead(503, { 'Hazelwalk-Not-Executed': '1' }).end();
    const run = { atMs: this.site.now(), requestId, path: req.url };
    this.runs.push(run);
    this.running += 1;
    this.site.record('run', { worker: id, service, request: requestId, path: req.url });
    res.on('close', () => (this.running -= 1));
    req.resume();
    req.on('end', () =>
      setTimeout(() => {
        if (answer !== undefined) return answer(req, res, run);
        const body = `${id} ran ${requestId}`;
        res.writeHead(200, {
          'Hazelwalk-Response-Seal': `${id}.${requestId}`,
          'Content-Type': 'text/plain',
          'Content-Length': body.length,
        });
        res.end(body);
      }, workMs),
    );
  }
}
