/** Callers with persistent connections, each of which sends one request at a time to the boxes of a site. */
import { Agent, request as httpRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { createCallerHeaders, readMonotonicMs, readSeal } from '@hazelwalk/platform/standins';
import { pause } from '@hazelwalk/standins';
import type { Random } from '@hazelwalk/standins';
import type { CallerOutcome, Ledger, SoakRoute } from './ledger.js';

/** Address at which a box accepts callers. */
export interface BoxAddress {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

const DEADLINE_MS = 4_000;
/** How long a caller waits beyond its deadline. A response in this time shows that the box kept the request too long. */
const RESPONSE_GRACE_MS = 2_000;
const MAX_THINK_MS = 40;
const MS_PER_S = 1_000;
/** Shares of routes; they add up to one. */
type RouteShares = readonly (readonly [SoakRoute, number])[];
const ROUTE_SHARES: RouteShares = [
  ['safe', 0.3],
  ['claim', 0.3],
  ['streamResumable', 0.25],
  ['streamOnce', 0.15],
];
/** Shares of the routes of the service with few slots. */
export const SCARCE_SHARES: RouteShares = [
  ['scarceUrgent', 0.3],
  ['scarceUrgentClaim', 0.3],
  ['scarceLow', 0.4],
];

/** A caller that sends requests to random boxes. */
export class Caller {
  private readonly agents = new Map<string, Agent>();
  private isClosed = false;
  private sentCount = 0;

  constructor(
    private readonly name: string,
    private readonly boxes: readonly BoxAddress[],
    private readonly ledger: Ledger,
    private readonly random: Random,
    private readonly shares: RouteShares = ROUTE_SHARES,
  ) {}

  /** Sends requests until `close` is called. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      const box = this.boxes[Math.floor(this.random() * this.boxes.length)];
      const retryAfterMs = box === undefined ? 0 : await this.sendOne(box, this.pickRoute());
      // Callers of other routes go on with their next request.
      await pause((this.shares === SCARCE_SHARES ? retryAfterMs : 0) + this.random() * MAX_THINK_MS);
    }
  }

  /** Stops the caller and aborts a request in progress, which is not recorded. */
  close(): void {
    this.isClosed = true;
    for (const agent of this.agents.values()) agent.destroy();
  }

  /** Sends a request; returns when its caller should retry, 0 if the response does not say. */
  private async sendOne(box: BoxAddress, route: SoakRoute): Promise<number> {
    this.sentCount += 1;
    const requestId = `${this.name}-${this.sentCount}`;
    const sentAtMs = readMonotonicMs();
    const outcome = await sendRequest(box, `/${route}/x`, requestId, DEADLINE_MS, this.findAgent(box));
    const endedAtMs = readMonotonicMs();
    if (this.isClosed) return 0;
    const record = { requestId, route, box: box.name, sentAtMs, endedAtMs, deadlineMs: DEADLINE_MS, outcome };
    this.ledger.requests.push(record);
    return outcome.type === 'answer' ? (outcome.retryAfterMs ?? 0) : 0;
  }

  private pickRoute(): SoakRoute {
    let remaining = this.random();
    for (const [route, share] of this.shares) {
      remaining -= share;
      if (remaining < 0) return route;
    }
    return 'safe';
  }

  private findAgent(box: BoxAddress): Agent {
    let agent = this.agents.get(box.name);
    if (agent === undefined) {
      agent = new Agent({ keepAlive: true, maxSockets: 1 });
      this.agents.set(box.name, agent);
    }
    return agent;
  }
}

/** Sends one request and returns its outcome. */
export function sendRequest(
  box: BoxAddress,
  path: string,
  requestId: string,
  deadlineMs: number,
  agent: Agent | false,
): Promise<CallerOutcome> {
  return new Promise((resolve) => {
    const headers = createCallerHeaders(requestId, deadlineMs);
    const req = httpRequest({ host: box.host, port: box.port, path, method: 'POST', headers, agent });
    const timer = setTimeout(() => {
      resolve({ type: 'unanswered' });
      req.destroy();
    }, deadlineMs + RESPONSE_GRACE_MS);
    const finish = (outcome: CallerOutcome): void => {
      clearTimeout(timer);
      resolve(outcome);
    };
    req.on('response', (res) => readResponse(res, finish));
    req.on('error', (error: NodeJS.ErrnoException) =>
      finish(
        error.code === 'ECONNREFUSED'
          ? { type: 'noConnection' }
          : { type: 'cut', status: undefined, body: '' },
      ),
    );
    req.end('body');
  });
}

function readResponse(res: IncomingMessage, finish: (outcome: CallerOutcome) => void): void {
  const chunks: Buffer[] = [];
  res.on('data', (chunk: Buffer) => chunks.push(chunk));
  const end = (): void => {
    const body = Buffer.concat(chunks).toString();
    const status = res.statusCode ?? 0;
    const retryAfterMs = Number(res.headers['retry-after'] ?? 0) * MS_PER_S;
    if (res.complete) finish({ type: 'answer', status, seal: readSeal(res.headers), body, retryAfterMs });
    else finish({ type: 'cut', status, body });
  };
  res.on('end', end);
  res.on('error', end);
}
