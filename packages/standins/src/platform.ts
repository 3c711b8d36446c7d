/**
 * Stand-in for the platform's configuration service: values with an etag and a long-poll watch. Tests can take it
 * down, make it stale, make it lag, or make it serve an older value again.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { answerJson, readText } from './httpTools.js';

/** How the service behaves. `stale` serves what it had when it became stale. */
export type PlatformMode = 'up' | 'down' | 'stale';

interface Value {
  readonly text: string;
  readonly etag: string;
}

interface Waiter {
  readonly name: string;
  readonly res: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

/** A configuration service that can only be read; tests write through its own control paths. */
export class PlatformStandin {
  readonly server: Server;
  private readonly values = new Map<string, Value>();
  private readonly waiters = new Set<Waiter>();
  private mode: PlatformMode = 'up';
  private staleValues = new Map<string, Value>();
  private lagMs = 0;
  private nextEtag = 1;
  private calls = 0;

  constructor() {
    this.server = createServer((req, res) => void this.handle(req, res));
  }

  /** Publishes a value; readers see it after the lag. */
  publish(name: string, text: string): void {
    const value = { text, etag: String(this.nextEtag++) };
    const show = (): void => {
      this.values.set(name, value);
      if (this.mode === 'up') this.answerWaiters(name, value);
    };
    if (this.lagMs > 0) setTimeout(show, this.lagMs);
    else show();
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://platform');
    const [, root, ...rest] = url.pathname.split('/');
    if (root === 'standin') return this.handleControl(req, res, rest);
    this.calls += 1;
    if (this.mode === 'down') return void req.socket.destroy();
    const name = rest[1] ?? '';
    this.read(res, name, url.searchParams.get('after') ?? '', Number(url.searchParams.get('waitMs') ?? 0));
  }

  private read(res: ServerResponse, name: string, after: string, waitMs: number): void {
    const value = (this.mode === 'stale' ? this.staleValues : this.values).get(name);
    if (value !== undefined && value.etag !== after) return answerValue(res, value);
    const timer = setTimeout(() => this.expire(waiter), waitMs);
    const waiter: Waiter = { name, res, timer };
    this.waiters.add(waiter);
    res.on('close', () => this.drop(waiter));
  }

  private expire(waiter: Waiter): void {
    this.drop(waiter);
    waiter.res.writeHead(304).end();
  }

  private drop(waiter: Waiter): void {
    clearTimeout(waiter.timer);
    this.waiters.delete(waiter);
  }

  private answerWaiters(name: string, value: Value): void {
    for (const waiter of [...this.waiters]) {
      if (waiter.name !== name) continue;
      this.drop(waiter);
      answerValue(waiter.res, value);
    }
  }

  private async handleControl(req: IncomingMessage, res: ServerResponse, rest: string[]): Promise<void> {
    const [what, name] = rest;
    const text = await readText(req);
    if (what === 'values' && name !== undefined) this.publish(name, text);
    if (what === 'mode') this.setMode(text as PlatformMode);
    if (what === 'lag') this.lagMs = Number(text);
    answerJson(res, 200, { calls: this.calls, waiting: this.waiters.size });
  }

  private setMode(mode: PlatformMode): void {
    if (mode === 'stale') this.staleValues = new Map(this.values);
    this.mode = mode;
    if (mode === 'down') for (const waiter of [...this.waiters]) waiter.res.destroy();
    if (mode === 'up') for (const [name, value] of this.values) this.answerWaiters(name, value);
  }
}

function answerValue(res: ServerResponse, value: Value): void {
  res.writeHead(200, { etag: value.etag, 'content-length': Buffer.byteLength(value.text) });
  res.end(value.text);
}
