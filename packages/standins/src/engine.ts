/**
 * Stand-in for a model engine: chat completions as one response or as a stream of server-sent events, a prefix cache with
 * an event log, delayed load reports, cancellation, and orders protected by fencing tokens.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { sendJson, pause, readText } from './httpTools.js';
import { PrefixCache } from './prefixCache.js';

/** Speed and cache size of an engine. */
export interface EngineOptions {
  readonly name: string;
  readonly tokens: number;
  readonly tokenMs: number;
  /** Time to the first token with a warm prefix, in milliseconds. */
  readonly firstMs: number;
  /** Additional time to the first token with a cold prefix, in milliseconds. */
  readonly coldMs: number;
  readonly cacheChats: number;
  /** Time until a change of the load appears in reports, in milliseconds. */
  readonly reportLagMs: number;
}

interface ChatBody {
  readonly stream?: boolean;
  readonly messages?: readonly { readonly content?: string }[];
  /**
   * Extension of the stand-in for tests: the fault to simulate. `break` closes the connection in the middle of the stream, `noEnd`
   * omits the final `[DONE]` event, `never` sends no response.
   */
  readonly fault?: 'break' | 'noEnd' | 'never';
  readonly tokens?: number;
}

/** Counters for tests and tools. */
export interface EngineStats {
  runs: number;
  warm: number;
  returning: number;
  cancelled: number;
  inFlight: number;
  maxInFlight: number;
}

/** HTTP server that acts as a model engine. */
export class EngineStandin {
  readonly server: Server;
  readonly stats: EngineStats = { runs: 0, warm: 0, returning: 0, cancelled: 0, inFlight: 0, maxInFlight: 0 };
  private readonly cache: PrefixCache;
  private readonly runsByRequest = new Map<string, number>();
  private reportedInFlight = 0;
  private isLeaving = false;
  private highestFence = 0;

  constructor(private readonly options: EngineOptions) {
    this.cache = new PrefixCache(options.cacheChats);
    this.server = createServer((req, res) => void this.handle(req, res));
    this.server.keepAliveTimeout = 30_000;
  }

  private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const url = new URL(req.url ?? '/', 'http://engine');
    switch (`${req.method} ${url.pathname}`) {
      case 'POST /v1/chat/completions':
        return this.complete(req, res);
      case 'GET /v1/report':
        return sendJson(res, 200, { inFlight: this.reportedInFlight, leaving: this.isLeaving });
      case 'GET /v1/cache-events':
        return sendJson(res, 200, this.cache.listEvents(Number(url.searchParams.get('after') ?? 0)));
      case 'POST /v1/orders':
        return this.handleOrder(req, res);
      case 'GET /standin/stats':
        return sendJson(res, 200, { ...this.stats, runsByRequest: Object.fromEntries(this.runsByRequest) });
      case 'POST /standin/leaving':
        this.isLeaving = true;
        return sendJson(res, 200, {});
      default:
        return sendJson(res, 404, {});
    }
  }

  /** Rejects an order whose fencing token is below the highest one received. */
  private async handleOrder(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const order = JSON.parse(await readText(req)) as { fence: number };
    if (order.fence < this.highestFence) return sendJson(res, 409, { fence: this.highestFence });
    this.highestFence = order.fence;
    sendJson(res, 200, { fence: this.highestFence });
  }

  private changeInFlight(delta: number): void {
    const { stats } = this;
    stats.inFlight += delta;
    stats.maxInFlight = Math.max(stats.maxInFlight, stats.inFlight);
    const { inFlight } = stats;
    setTimeout(() => {
      this.reportedInFlight = inFlight;
    }, this.options.reportLagMs).unref();
  }

  private async complete(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const body = JSON.parse(await readText(req)) as ChatBody;
    const requestId = String(req.headers['x-request-id'] ?? '');
    const chat = String(req.headers['hazelwalk-chat'] ?? body.messages?.[0]?.content ?? '');
    const isReturning = (body.messages?.length ?? 0) > 1;
    const isWarm = this.cache.touch(chat);
    this.stats.runs += 1;
    this.runsByRequest.set(requestId, (this.runsByRequest.get(requestId) ?? 0) + 1);
    if (isReturning) this.stats.returning += 1;
    if (isReturning && isWarm) this.stats.warm += 1;
    this.changeInFlight(1);
    let isOpen = true;
    res.on('close', () => {
      isOpen = false;
      if (!res.writableFinished) this.stats.cancelled += 1;
      this.changeInFlight(-1);
    });
    const waitMs = this.options.firstMs + (isWarm ? 0 : this.options.coldMs);
    if (waitMs > 0) await pause(waitMs);
    const tokens = body.tokens ?? this.options.tokens;
    if (body.fault === 'never') return;
    if (body.stream === true) return this.stream(res, body, tokens, () => isOpen);
    await pause(tokens * this.options.tokenMs);
    const message = { role: 'assistant', content: listTokens(tokens).join('') };
    if (isOpen) sendJson(res, 200, { object: 'chat.completion', choices: [{ index: 0, message }] });
  }

  private async stream(
    res: ServerResponse,
    body: ChatBody,
    tokens: number,
    isOpen: () => boolean,
  ): Promise<void> {
    res.writeHead(200, { 'content-type': 'text/event-stream', 'x-engine': this.options.name });
    for (const [index, content] of listTokens(tokens).entries()) {
      if (!isOpen()) return;
      if (body.fault === 'break' && index === Math.floor(tokens / 2)) return void res.destroy();
      const chunk = { object: 'chat.completion.chunk', choices: [{ index: 0, delta: { content } }] };
      res.write(`data: ${JSON.stringify(chunk)}\n\n`);
      if (this.options.tokenMs > 0) await pause(this.options.tokenMs);
    }
    res.end(body.fault === 'noEnd' ? '' : 'data: [DONE]\n\n');
  }
}

function listTokens(count: number): string[] {
  return Array.from({ length: count }, (_, index) => ` t${index}`);
}
