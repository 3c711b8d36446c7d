/**
 * Stand-in for a plain service: counts executions by idempotency key or request id, echoes bodies, and simulates faults on
 * certain paths.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { sendJson, pause, readText } from './httpTools.js';

const BODY_BYTES = 100;

/** HTTP server that acts as a plain service. */
export class PlainServiceStandin {
  readonly server: Server;
  private readonly runsByKey = new Map<string, number>();
  private cancelledCount = 0;

  constructor(private readonly delayMs: number) {
    this.server = createServer((req, res) => void this.handle(req, res));
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://service');
    if (url.pathname === '/v1/report') return sendJson(res, 200, { inFlight: 0, leaving: false });
    if (url.pathname === '/standin/runs') {
      return sendJson(res, 200, { runs: Object.fromEntries(this.runsByKey), cancelled: this.cancelledCount });
    }
    res.on('close', () => {
      if (!res.writableFinished) this.cancelledCount += 1;
    });
    const runs = this.countRun(req);
    switch (url.pathname) {
      case '/echo':
        res.writeHead(200, { 'content-type': 'application/octet-stream' });
        return void req.pipe(res);
      case '/never':
        return;
      case '/short':
        return this.sendTooFewBytes(req, res);
      case '/long':
        return this.sendTooManyBytes(req);
      case '/status':
        return this.sendStatus(req, url.searchParams);
      default:
        return this.sendConfirmation(req, res, runs);
    }
  }

  private countRun(req: IncomingMessage): number {
    const key = String(req.headers['idempotency-key'] ?? req.headers['x-request-id'] ?? '');
    const runs = (this.runsByKey.get(key) ?? 0) + 1;
    this.runsByKey.set(key, runs);
    return runs;
  }

  private async sendConfirmation(req: IncomingMessage, res: ServerResponse, runs: number): Promise<void> {
    const text = await readText(req);
    await pause(this.delayMs);
    sendJson(res, 200, { confirmed: true, runs, received: text.length });
  }

  /** Sends half of the body that `content-length` announces, then closes the connection. */
  private async sendTooFewBytes(req: IncomingMessage, res: ServerResponse): Promise<void> {
    await readText(req);
    res.writeHead(200, { 'content-length': BODY_BYTES });
    res.write('x'.repeat(BODY_BYTES / 2), () => res.destroy());
  }

  /** Sends a whole response with the status line `HTTP/1.1 LINE`, as an event stream if asked for. */
  private async sendStatus(req: IncomingMessage, query: URLSearchParams): Promise<void> {
    await readText(req);
    const type = query.has('stream') ? 'text/event-stream' : 'text/plain';
    const body = 'data: [DONE]\n\n';
    const head = `HTTP/1.1 ${query.get('line')}\r\ncontent-type: ${type}\r\ncontent-length: ${body.length}`;
    req.socket.write(`${head}\r\n\r\n${body}`);
  }

  /** Sends more bytes than `content-length` announces. */
  private async sendTooManyBytes(req: IncomingMessage): Promise<void> {
    await readText(req);
    req.socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n${'x'.repeat(BODY_BYTES)}`);
    req.socket.end();
  }
}
