/** Callers with persistent connections, each of which sends one request at a time to the boxes of a site. */
import { Agent, request as httpRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { createCallerHeaders, readMonotonicMs, readSeal } from '@hazelwalk/platform/standins';
import { pause } from '@hazelwalk/standins';
import type { Random } from '@hazelwalk/standins';
import type { BrokenStream, CallerOutcome, Ledger, SoakRoute } from './ledger.js';
import { findBrokenStream } from './streamChecks.js';

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
const STATUS_OK = 200;
/** How often a caller takes a stream up again, and how long it waits before at most. */
const MAX_TAKE_UPS = 2;
const MAX_TAKE_UP_DELAY_MS = 100;
/** The part that crashes endpoints, and how often a request with it is sent. */
export const HARMFUL_PART = 'dead';
const HARMFUL_INTERVAL_MS = 150;
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

/** What a caller does besides. */
export interface CallerHabits {
  /** Whether it takes up streams that break off. */
  readonly takesUpStreams: boolean;
  /** Whether no two of its requests have the same body. */
  readonly hasOwnBodies: boolean;
}

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
    private readonly habits: CallerHabits = { takesUpStreams: false, hasOwnBodies: false },
  ) {}

  /** Sends requests until `close` is called. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      const { outcome, stream } = await this.sendOne(this.pickBox(), this.pickRoute());
      if (this.habits.takesUpStreams && stream !== undefined) await this.takeUp(stream);
      const retryAfterMs = outcome.type === 'answer' ? (outcome.retryAfterMs ?? 0) : 0;
      // Callers of other routes go on with their next request.
      await pause((this.shares === SCARCE_SHARES ? retryAfterMs : 0) + this.random() * MAX_THINK_MS);
    }
  }

  /** Stops the caller and aborts a request in progress, which is not recorded. */
  close(): void {
    this.isClosed = true;
    for (const agent of this.agents.values()) agent.destroy();
  }

  private async takeUp(broken: BrokenStream): Promise<void> {
    let rest: BrokenStream | undefined = broken;
    for (let count = 0; count < MAX_TAKE_UPS && rest !== undefined && !this.isClosed; count += 1) {
      await pause(this.random() * MAX_TAKE_UP_DELAY_MS);
      const { outcome, stream } = await this.sendOne(this.pickBox(), 'streamResumable', rest);
      if (outcome.type === 'answer' && outcome.status === STATUS_OK) return;
      rest = stream ?? rest;
    }
  }

  /** Sends a request; returns its outcome, and the stream that broke off with it. */
  private async sendOne(
    box: BoxAddress,
    route: SoakRoute,
    takesUp?: BrokenStream,
  ): Promise<{ outcome: CallerOutcome; stream: BrokenStream | undefined }> {
    this.sentCount += 1;
    const requestId = `${this.name}-${this.sentCount}`;
    const sentAtMs = readMonotonicMs();
    const body = this.habits.hasOwnBodies ? requestId : undefined;
    const request = { path: `/${route}/x`, requestId, deadlineMs: DEADLINE_MS, takesUp, body };
    const outcome = await sendRequest(box, request, this.findAgent(box));
    const endedAtMs = readMonotonicMs();
    const deadlineMs = DEADLINE_MS;
    const record = { requestId, route, box: box.name, sentAtMs, endedAtMs, deadlineMs, outcome, takesUp };
    if (!this.isClosed) this.ledger.requests.push(record);
    return { outcome, stream: findBrokenStream(record) };
  }

  private pickBox(): BoxAddress {
    const box = this.boxes[Math.floor(this.random() * this.boxes.length)];
    if (box === undefined) throw new Error('a caller needs a box');
    return box;
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

/** Sends requests, no two alike, with a part that crashes endpoints, to random boxes; returns how to stop. */
export function startHarmfulCaller(boxes: readonly BoxAddress[], ledger: Ledger, random: Random): () => void {
  let count = 0;
  const timer = setInterval(() => {
    const box = boxes[Math.floor(random() * boxes.length)];
    if (box === undefined) return;
    count += 1;
    const requestId = `harmful-${count}`;
    ledger.harmfulIds.add(requestId);
    const path = '/streamResumable/x';
    const request = { path, requestId, deadlineMs: DEADLINE_MS, part: HARMFUL_PART, body: requestId };
    void sendRequest(box, request, false);
  }, HARMFUL_INTERVAL_MS);
  return () => clearInterval(timer);
}

/** A request of a caller. */
export interface SoakRequest {
  readonly path: string;
  readonly requestId: string;
  readonly deadlineMs: number;
  readonly takesUp?: BrokenStream | undefined;
  /** Part of its prompt besides those that all requests share. */
  readonly part?: string | undefined;
  readonly body?: string | undefined;
}

/** Sends one request and returns its outcome. */
export function sendRequest(
  box: BoxAddress,
  { path, requestId, deadlineMs, takesUp, part, body = 'body' }: SoakRequest,
  agent: Agent | false,
): Promise<CallerOutcome> {
  return new Promise((resolve) => {
    const headers = {
      ...createCallerHeaders(requestId, deadlineMs, part),
      ...(takesUp && { 'Last-Event-Id': String(takesUp.lastEventId), Resumes: takesUp.requestId }),
    };
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
    req.end(body);
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
