/** Callers that keep their connections and send one request after the other to the boxes of a site. */
import { Agent, request as httpRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { createCallerHeaders, readSeal } from '@hazelwalk/platform/standins';
import { pause } from '@hazelwalk/standins';
import type { Random } from '@hazelwalk/standins';
import type { CallerOutcome, Ledger, SoakRoute } from './ledger.js';

/** Where a box takes callers. */
export interface BoxAddress {
  readonly name: string;
  readonly host: string;
  readonly port: number;
}

const DEADLINE_MS = 4_000;
/** A caller waits so much longer than it says: what comes by then shows that the box held the request too long. */
const PATIENCE_MS = 2_000;
const THINK_MS = 40;
/** Share of the routes, adding up to one. */
const ROUTE_SHARES: readonly (readonly [SoakRoute, number])[] = [
  ['safe', 0.3],
  ['claim', 0.3],
  ['streamResumable', 0.25],
  ['streamOnce', 0.15],
];

/** One caller. */
export class Caller {
  private readonly agents = new Map<string, Agent>();
  private isClosed = false;
  private sent = 0;

  constructor(
    private readonly name: string,
    private readonly boxes: readonly BoxAddress[],
    private readonly ledger: Ledger,
    private readonly random: Random,
  ) {}

  /** Sends requests until closed. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      const box = this.boxes[Math.floor(this.random() * this.boxes.length)];
      if (box !== undefined) await this.sendOne(box, this.pickRoute());
      await pause(this.random() * THINK_MS);
    }
  }

  /** Ends after the request under way. */
  close(): void {
    this.isClosed = true;
    for (const agent of this.agents.values()) agent.destroy();
  }

  private async sendOne(box: BoxAddress, route: SoakRoute): Promise<void> {
    this.sent += 1;
    const requestId = `${this.name}-${this.sent}`;
    const sentAtMs = Date.now();
    const outcome = await ask(box, `/${route}/x`, requestId, DEADLINE_MS, this.findAgent(box));
    const endedAtMs = Date.now();
    if (this.isClosed) return;
    const record = { requestId, route, box: box.name, sentAtMs, endedAtMs, deadlineMs: DEADLINE_MS, outcome };
    this.ledger.requests.push(record);
  }

  private pickRoute(): SoakRoute {
    let left = this.random();
    for (const [route, share] of ROUTE_SHARES) {
      left -= share;
      if (left < 0) return route;
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

/** Sends one request and tells how it ended. */
export function ask(
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
    }, deadlineMs + PATIENCE_MS);
    const finish = (outcome: CallerOutcome): void => {
      clearTimeout(timer);
      resolve(outcome);
    };
    req.on('response', (res) => readAnswer(res, finish));
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

function readAnswer(res: IncomingMessage, finish: (outcome: CallerOutcome) => void): void {
  const chunks: Buffer[] = [];
  res.on('data', (chunk: Buffer) => chunks.push(chunk));
  const end = (): void => {
    const body = Buffer.concat(chunks).toString();
    const status = res.statusCode ?? 0;
    if (res.complete) finish({ type: 'answer', status, seal: readSeal(res.headers), body });
    else finish({ type: 'cut', status, body });
  };
  res.on('end', end);
  res.on('error', end);
}
