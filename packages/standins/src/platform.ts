/**
 * Stand-in for the platform's configuration service: values with an etag, read by long polling. Tests can take the service
 * down, make it stale, delay its changes, or make it serve an older value again.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { sendJson, readText } from './httpTools.js';

/** How the service behaves. `stale` serves the values as they were when the mode was set. */
export type PlatformMode = 'up' | 'down' | 'stale';

interface Value {
  readonly text: string;
  readonly etag: string;
}

/** A long poll that waits for a value to change. */
interface PendingRead {
  readonly name: string;
  readonly res: ServerResponse;
  readonly timer: NodeJS.Timeout;
}

/** Read-only configuration service; tests publish values and set modes through the `/standin` paths. */
export class PlatformStandin {
  readonly server: Server;
  private readonly values = new Map<string, Value>();
  private readonly pendingReads = new Set<PendingRead>();
  private mode: PlatformMode = 'up';
  private staleValues = new Map<string, Value>();
  private lagMs = 0;
  private nextEtag = 1;
  private readCount = 0;

  constructor() {
    this.server = createServer((req, res) => void this.handle(req, res));
  }

  /** Publishes a value; it becomes visible to readers after the configured lag. */
  publish(name: string, text: string): void {
    const value = { text, etag: String(this.nextEtag++) };
    const apply = (): void => {
      this.values.set(name, value);
      if (this.mode === 'up') this.completePendingReads(name, value);
    };
    if (this.lagMs > 0) setTimeout(apply, this.lagMs);
    else apply();
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://platform');
    const [, root, ...rest] = url.pathname.split('/');
    if (root === 'standin') return this.handleControl(req, res, rest);
    this.readCount += 1;
    if (this.mode === 'down') return void req.socket.destroy();
    const name = rest[1] ?? '';
    this.read(res, name, url.searchParams.get('after') ?? '', Number(url.searchParams.get('waitMs') ?? 0));
  }

  private read(res: ServerResponse, name: string, after: string, waitMs: number): void {
    const value = (this.mode === 'stale' ? this.staleValues : this.values).get(name);
    if (value !== undefined && value.etag !== after) return sendValue(res, value);
    const timer = setTimeout(() => this.endUnchanged(pending), waitMs);
    const pending: PendingRead = { name, res, timer };
    this.pendingReads.add(pending);
    res.on('close', () => this.removePending(pending));
  }

  private endUnchanged(pending: PendingRead): void {
    this.removePending(pending);
    pending.res.writeHead(304).end();
  }

  private removePending(pending: PendingRead): void {
    clearTimeout(pending.timer);
    this.pendingReads.delete(pending);
  }

  private completePendingReads(name: string, value: Value): void {
    for (const pending of [...this.pendingReads]) {
      if (pending.name !== name) continue;
      this.removePending(pending);
      sendValue(pending.res, value);
    }
  }

  private async handleControl(req: IncomingMessage, res: ServerResponse, rest: string[]): Promise<void> {
    const [control, name] = rest;
    const text = await readText(req);
    if (control === 'values' && name !== undefined) this.publish(name, text);
    if (control === 'mode') this.setMode(text as PlatformMode);
    if (control === 'lag') this.lagMs = Number(text);
    sendJson(res, 200, { calls: this.readCount, waiting: this.pendingReads.size });
  }

  private setMode(mode: PlatformMode): void {
    if (mode === 'stale') this.staleValues = new Map(this.values);
    this.mode = mode;
    if (mode === 'down') for (const pending of [...this.pendingReads]) pending.res.destroy();
    if (mode === 'up') for (const [name, value] of this.values) this.completePendingReads(name, value);
  }
}

function sendValue(res: ServerResponse, value: Value): void {
  res.writeHead(200, { etag: value.etag, 'content-length': Buffer.byteLength(value.text) });
  res.end(value.text);
}
