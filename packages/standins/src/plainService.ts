/**
 * Stand-in for a plain service: counts each run by key, echoes bodies, and misbehaves on request.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { answerJson, pause, readText } from './httpTools.js';

const ANNOUNCED_BYTES = 100;

/** A plain service. */
export class PlainServiceStandin {
  readonly server: Server;
  private readonly runsByKey = new Map<string, number>();
  private cancelled = 0;

  constructor(private readonly delayMs: number) {
    this.server = createServer((req, res) => void this.handle(req, res));
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://service');
    if (url.pathname === '/v1/report') return answerJson(res, 200, { inFlight: 0, leaving: false });
    if (url.pathname === '/standin/runs') {
      return answerJson(res, 200, { runs: Object.fromEntries(this.runsByKey), cancelled: this.cancelled });
    }
    res.on('close', () => {
      if (!res.writableFinished) this.cancelled += 1;
    });
    const runs = this.countRun(req);
    switch (url.pathname) {
      case '/echo':
        res.writeHead(200, { 'content-type': 'application/octet-stream' });
        return void req.pipe(res);
      case '/never':
        return;
      case '/short':
        return this.answerShort(req, res);
      case '/long':
        return this.answerLong(req);
      default:
        return this.confirm(req, res, runs);
    }
  }

  private countRun(req: IncomingMessage): number {
    const key = String(req.headers['idempotency-key'] ?? req.headers['x-request-id'] ?? '');
    const runs = (this.runsByKey.get(key) ?? 0) + 1;
    this.runsByKey.set(key, runs);
    return runs;
  }

  private async confirm(req: IncomingMessage, res: ServerResponse, runs: number): Promise<void> {
    const text = await readText(req);
    await pause(this.delayMs);
    answerJson(res, 200, { confirmed: true, runs, received: text.length });
  }

  /** Announces more than it sends. */
  private async answerShort(req: IncomingMessage, res: ServerResponse): Promise<void> {
    await readText(req);
    res.writeHead(200, { 'content-length': ANNOUNCED_BYTES });
    res.write('x'.repeat(ANNOUNCED_BYTES / 2), () => res.destroy());
  }

  /** Sends more than it announces. */
  private async answerLong(req: IncomingMessage): Promise<void> {
    await readText(req);
    req.socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n${'x'.repeat(ANNOUNCED_BYTES)}`);
    req.socket.end();
  }
}
