/**
 * A fleet in virtual time: the shipped core and platform watch over simulated links, a simulated platform and a simulated
 * endpoint, which only add delays. Needs Jest's fake timers. Callers send each box a call with a new key of their own at a
 * fixed interval.
 */
import { readFileSync } from 'node:fs';
import { valueParsers } from '@hazelwalk/config';
import type { BoxId, CoreSettings, Effect, RequestHead, ValueName, World } from '@hazelwalk/core';
import { createHasher, createWorld, DEFAULT_CORE_SETTINGS, runTurn } from '@hazelwalk/core';
import type { CoreEvent, Refusal } from '@hazelwalk/core';
import { PlatformWatch } from '../adapters/platformWatch.js';
import type { ValueQuery, ValueReadResult } from '../adapters/platformReader.js';

const HALL = 'mixco';
const TICK_MS = 50;
const REQUEST_INTERVAL_MS = 10;
const CALL_MS = 5;
const DECLARED_FILE = 'examples/lavanda/declared.toml';

/** Delays of links and platform, and whether the platform is up; a test may change them while the fleet runs. */
export interface VirtualTiming {
  /** One-way delay between two boxes; undefined drops the frame. */
  linkMs: (from: BoxId, to: BoxId) => number | undefined;
  /** Duration of a call to the platform in addition to its wait. */
  platformMs: () => number;
  /** While the platform is down, each call fails at once, also calls that are waiting. */
  isPlatformUp: boolean;
}

/** A refusal that a caller received. */
export interface ReceivedRefusal {
  readonly atMs: number;
  readonly entry: BoxId;
  readonly key: string;
  readonly refusal: Refusal;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** One box; while it is paused, its events are queued. */
class VirtualBox {
  private readonly queue: CoreEvent[] = [];
  private readonly watch: PlatformWatch;
  private pausedUntilMs = 0;
  private isInTurn = false;

  constructor(
    readonly id: BoxId,
    readonly world: World,
    private readonly fleet: VirtualKeyFleet,
  ) {
    const readValue = async (query: ValueQuery): Promise<ValueReadResult> => {
      await this.waitWhilePaused();
      const result = await fleet.readValue(query);
      await this.waitWhilePaused();
      return result;
    };
    const { keyLeaseMs: leaseMs } = world.settings;
    const emit = (event: CoreEvent): void => this.emit(event);
    this.watch = new PlatformWatch({ readValue, leaseMs, emit, metrics: { count: () => {} } });
    setInterval(() => this.emit({ type: 'tick' }), TICK_MS);
  }

  /** Queues an event and handles it now, or when the box resumes. */
  emit(event: CoreEvent): void {
    this.queue.push(event);
    if (Date.now() >= this.pausedUntilMs) this.drain();
  }

  /** Pauses the box: it handles no event for this time. */
  pause(ms: number): void {
    this.pausedUntilMs = Date.now() + ms;
    setTimeout(() => this.drain(), ms);
  }

  private async waitWhilePaused(): Promise<void> {
    const remainingPauseMs = this.pausedUntilMs - Date.now();
    if (remainingPauseMs > 0) await wait(remainingPauseMs);
  }

  private drain(): void {
    if (this.isInTurn) return;
    this.isInTurn = true;
    for (let event = this.queue.shift(); event !== undefined; event = this.queue.shift()) {
      for (const effect of runTurn(this.world, [event], Date.now())) this.applyEffect(effect);
    }
    this.isInTurn = false;
  }

  private applyEffect(effect: Effect): void {
    switch (effect.type) {
      case 'send':
        return this.fleet.send(this.id, effect.to, { type: 'frame', from: this.id, frame: effect.frame });
      case 'broadcast':
        for (const to of effect.to) {
          this.fleet.send(this.id, to, { type: 'frame', from: this.id, frame: effect.frame });
        }
        return;
      case 'watchValues':
        return this.watch.watch(effect.names);
      case 'confirmValues':
        return this.watch.confirm(effect.names);
      case 'dispatch':
        return this.runCall(effect.requestId, effect.attempt, effect.entry);
      case 'deliverKeyed':
        return this.fleet.send(this.id, effect.requester.entry, { type: 'answerEnded', ...effect.requester });
      case 'refuseCaller':
        return this.fleet.recordRefusal(this.id, effect.requestId, effect.refusal);
      // Not simulated: links are up from the start, responses need no sink, and endpoint reports are not read.
      case 'connectPeers':
      case 'watchEndpoints':
      case 'cancelCall':
      case 'bindRequest':
      case 'openKeyed':
      case 'forgetKeyed':
      case 'count':
      case 'log':
      case 'stopped':
        return;
    }
  }

  private runCall(requestId: string, attempt: number, entry: BoxId): void {
    setTimeout(() => {
      this.emit({ type: 'callEnded', requestId, attempt, outcome: { type: 'whole', status: 200 } });
      this.fleet.send(this.id, entry, { type: 'answerEnded', requestId, attempt });
    }, CALL_MS);
  }
}

/** Several boxes of one hall with their platform and their callers. */
export class VirtualKeyFleet {
  readonly boxes: VirtualBox[] = [];
  readonly refusals: ReceivedRefusal[] = [];
  requestCount = 0;
  private readonly published = new Map<ValueName, string>();
  private readonly keys = new Map<string, string>();

  private constructor(
    readonly settings: CoreSettings,
    readonly timing: VirtualTiming,
  ) {}

  /** Starts the boxes, then publishes their lists. */
  static async create(boxCount: number, overrides: Partial<CoreSettings> = {}): Promise<VirtualKeyFleet> {
    const settings = { ...DEFAULT_CORE_SETTINGS, ...overrides };
    const fleet = new VirtualKeyFleet(settings, { linkMs: () => 1, platformMs: () => 2, isPlatformUp: true });
    const ids = Array.from({ length: boxCount }, (_, index) => `box-${index + 1}`);
    const hasher = await createHasher();
    for (const id of ids) {
      const deps = { hasher, random: () => 0.5, parsers: valueParsers };
      const world = createWorld({ boxId: id, hall: HALL, incarnation: 'k1' }, settings, deps, Date.now());
      fleet.boxes.push(new VirtualBox(id, world, fleet));
    }
    const boxes = ids.map((id) => ({ id, hall: HALL, peerAddress: `${id}:1`, state: 'live' }));
    const worker = { id: 'w', hall: HALL, address: 'w:1', serves: ['booking'], state: 'live' };
    fleet.published.set('declared', readFileSync(DECLARED_FILE, 'utf8'));
    fleet.published.set('boxes', JSON.stringify({ version: 1, boxes }));
    fleet.published.set('endpoints', JSON.stringify({ version: 1, endpoints: [worker] }));
    return fleet;
  }

  /** Returns a box by its position, counted from 1. */
  findBox(position: number): VirtualBox {
    const box = this.boxes[position - 1];
    if (box === undefined) throw new Error(`no box ${position}`);
    return box;
  }

  /** Starts to send each box calls with new keys. */
  startCallers(): void {
    setInterval(() => this.boxes.forEach((box) => this.sendRequest(box)), REQUEST_INTERVAL_MS);
  }

  /** Responds as the platform should: at once if the value differs from the known one, otherwise when the wait ends. */
  async readValue({ name, etag, waitMs }: ValueQuery): Promise<ValueReadResult> {
    const text = this.published.get(name) ?? '';
    const isKnown = etag === name;
    if (this.timing.isPlatformUp) await wait(this.timing.platformMs() + (isKnown ? waitMs : 0));
    if (!this.timing.isPlatformUp) return { type: 'failed' };
    return isKnown ? { type: 'unchanged' } : { type: 'changed', text, etag: name };
  }

  /** Delivers an event to a box over the link. */
  send(from: BoxId, to: BoxId, event: CoreEvent): void {
    const linkMs = from === to ? 0 : this.timing.linkMs(from, to);
    const box = this.boxes.find(({ id }) => id === to);
    if (linkMs !== undefined) setTimeout(() => box?.emit(event), linkMs);
  }

  /** Records the refusal of a call. */
  recordRefusal(entry: BoxId, requestId: string, refusal: Refusal): void {
    const key = this.keys.get(requestId);
    if (key !== undefined) this.refusals.push({ atMs: Date.now(), entry, key, refusal });
  }

  private sendRequest(box: VirtualBox): void {
    this.requestCount += 1;
    const key = createUuid(Date.now(), this.requestCount);
    const requestId = `${box.id}.ask.${this.requestCount}`;
    this.keys.set(requestId, key);
    box.emit({ type: 'callerRequest', requestId, head: createHead(key) });
  }
}

function createUuid(timeMs: number, serial: number): string {
  const hex = timeMs.toString(16).padStart(12, '0');
  return `${hex.slice(0, 8)}-${hex.slice(8)}-7000-8000-${serial.toString(16).padStart(12, '0')}`;
}

/** Returns the creation time that a key contains. */
export function parseKeyTimeMs(key: string): number {
  return parseInt(key.slice(0, 8) + key.slice(9, 13), 16);
}

function createHead(key: string): RequestHead {
  const call = { kind: 'plain', service: 'booking', team: 'hospital', method: 'POST', path: '/' } as const;
  return { ...call, chat: '', priority: 0, remainingMs: 0, headers: [], streamsBody: false, key };
}
