/** Callers that keep a connection for as long as they can: through a long stream, and then for one order after the other. */
import { Agent } from 'node:http';
import { readMonotonicMs } from '@hazelwalk/platform/standins';
import { pause } from '@hazelwalk/standins';
import type { Random } from '@hazelwalk/standins';
import type { BoxAddress } from './callers.js';
import { sendRequest } from './callers.js';
import type { CallerOutcome, Ledger, SoakRoute } from './ledger.js';
import { isServed } from './violation.js';

/** Streams of one to nine seconds, which are longer than some grace times. */
const MIN_EVENTS = 40;
const MAX_EVENTS = 360;
const STREAM_DEADLINE_MS = 20_000;
const MIN_WORK_MS = 20;
const MAX_WORK_MS = 1_200;
const ORDER_DEADLINE_MS = 4_000;
/** Half of the orders follow at once, the others after a pause of up to this. */
const MAX_THINK_MS = 400;

/** A caller that uses a box until the box refuses it or is gone, and then goes to another. */
export class LastingCaller {
  private agent = new Agent();
  private isClosed = false;
  private sentCount = 0;

  constructor(
    private readonly name: string,
    private readonly boxes: readonly BoxAddress[],
    private readonly ledger: Ledger,
    private readonly random: Random,
  ) {}

  /** Sends requests until `close` is called. */
  async run(): Promise<void> {
    while (!this.isClosed) {
      const box = this.boxes[Math.floor(this.random() * this.boxes.length)];
      if (box === undefined) throw new Error('a caller needs a box');
      this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
      await this.useBox(box);
      this.agent.destroy();
      await pause(this.random() * MAX_THINK_MS);
    }
  }

  /** Stops the caller and aborts a request in progress, which is not recorded. */
  close(): void {
    this.isClosed = true;
    this.agent.destroy();
  }

  private async useBox(box: BoxAddress): Promise<void> {
    let outcome = await this.send(box, 'streamLong', this.draw(MIN_EVENTS, MAX_EVENTS), STREAM_DEADLINE_MS);
    while (isServed({ outcome }) && !this.isClosed) {
      if (this.random() < 0.5) await pause(this.random() * MAX_THINK_MS);
      outcome = await this.send(box, 'claim', this.draw(MIN_WORK_MS, MAX_WORK_MS), ORDER_DEADLINE_MS);
    }
  }

  private async send(
    box: BoxAddress,
    route: SoakRoute,
    size: number,
    deadlineMs: number,
  ): Promise<CallerOutcome> {
    this.sentCount += 1;
    const requestId = `${this.name}-${this.sentCount}`;
    const sentAtMs = readMonotonicMs();
    const outcome = await sendRequest(box, { path: `/${route}/${size}`, requestId, deadlineMs }, this.agent);
    const record = { requestId, route, box: box.name, sentAtMs, endedAtMs: readMonotonicMs(), deadlineMs };
    if (!this.isClosed) this.ledger.requests.push({ ...record, outcome });
    return outcome;
  }

  private draw(min: number, max: number): number {
    return Math.round(min + this.random() * (max - min));
  }
}
