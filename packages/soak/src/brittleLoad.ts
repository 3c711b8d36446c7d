/**
 * Load on the service whose endpoints do not survive many rejections: requests come at a rate that changes all at once and does not
 * depend on how earlier ones fare; callers that are refused come back when they were told to.
 */
import { readMonotonicMs } from '@hazelwalk/platform/standins';
import { drawExponential, pause } from '@hazelwalk/standins';
import type { Random } from '@hazelwalk/standins';
import type { BoxAddress } from './callers.js';
import { sendRequest } from './callers.js';
import type { Ledger } from './ledger.js';
import { BRITTLE_SLOTS } from './siteRoutes.js';

/** How long an endpoint works on a request. */
const WORK_MS = 60;
const DEADLINE_MS = 2_000;
const MAX_RETURNS = 2;
const MS_PER_S = 1_000;
/** Multiples of the room that are asked for in turn, in an order drawn anew, and for how long each. */
const LOADS = [0.4, 0.6, 0.9, 1.5, 2.5, 4] as const;
const MIN_SPELL_MS = 1_500;
const MAX_SPELL_MS = 4_000;

/**
 * Requests that the endpoints of the service can serve in a second.
 *
 * @example readRoomPerS(7) // 350
 */
export function readRoomPerS(endpoints: number): number {
  return (endpoints * BRITTLE_SLOTS * MS_PER_S) / WORK_MS;
}

/** Sends requests to random boxes until `close` is called. */
export class BrittleLoad {
  private isClosed = false;
  private sentCount = 0;
  private load: number;

  constructor(
    private readonly boxes: readonly BoxAddress[],
    private readonly ledger: Ledger,
    private readonly random: Random,
    private readonly endpoints: number,
    /** Multiple of the room that is asked for all the time; undefined if it changes. */
    private readonly fixedLoad: number | undefined,
  ) {
    this.load = fixedLoad ?? LOADS[0];
  }

  /** Starts the load. */
  run(): void {
    void this.changeLoad();
    void this.sendAll();
  }

  /** Stops the load. */
  close(): void {
    this.isClosed = true;
  }

  private async changeLoad(): Promise<void> {
    while (!this.isClosed) {
      this.load = this.fixedLoad ?? LOADS[Math.floor(this.random() * LOADS.length)] ?? LOADS[0];
      this.ledger.brittleLoads.push({ atMs: readMonotonicMs(), load: this.load });
      await pause(MIN_SPELL_MS + this.random() * (MAX_SPELL_MS - MIN_SPELL_MS));
    }
  }

  private async sendAll(): Promise<void> {
    let dueAtMs = readMonotonicMs();
    while (!this.isClosed) {
      dueAtMs += drawExponential(this.random, MS_PER_S / (this.load * readRoomPerS(this.endpoints)));
      const aheadMs = dueAtMs - readMonotonicMs();
      if (aheadMs > 1) await pause(aheadMs);
      void this.send(MAX_RETURNS, DEADLINE_MS);
    }
  }

  private async send(returns: number, deadlineMs: number): Promise<void> {
    const box = this.boxes[Math.floor(this.random() * this.boxes.length)];
    if (box === undefined) return;
    this.sentCount += 1;
    const requestId = `brittle-${this.sentCount}`;
    const sentAtMs = readMonotonicMs();
    const request = { path: `/brittle/${WORK_MS}`, requestId, deadlineMs, body: requestId };
    const outcome = await sendRequest(box, request, false);
    const endedAtMs = readMonotonicMs();
    const record = {
      requestId,
      route: 'brittle' as const,
      box: box.name,
      sentAtMs,
      endedAtMs,
      deadlineMs,
      outcome,
    };
    if (this.isClosed) return;
    this.ledger.requests.push(record);
    const retryAfterMs = outcome.type === 'answer' ? (outcome.retryAfterMs ?? 0) : 0;
    const leftMs = deadlineMs - (endedAtMs - sentAtMs) - retryAfterMs;
    if (retryAfterMs === 0 || returns === 0 || leftMs <= 0) return;
    await pause(retryAfterMs);
    if (!this.isClosed) await this.send(returns - 1, leftMs);
  }
}
