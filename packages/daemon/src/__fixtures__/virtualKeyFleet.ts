/**
 * A fleet in virtual time: the core and the platform watch as they ship, over links, a platform and an endpoint that only
 * take time. Needs Jest's fake timers. Callers ask every box for a fresh key of their own at a fixed pace.
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
const ASK_INTERVAL_MS = 10;
const CALL_MS = 5;
const DECLARED_FILE = 'examples/lavanda/declared.toml';

/** How long things take; a test may change them while the fleet runs. */
export interface VirtualTiming {
  /** One way between boxes; undefined loses the frame. */
  linkMs: (from: BoxId, to: BoxId) => number | undefined;
  /** What a call to the platform takes beside its wait. */
  platformMs: () => number;
  /** A platform that is down fails each call at once, also those that wait. */
  isPlatformUp: boolean;
}

/** A refusal that a caller got. */
export interface ReceivedRefusal {
  readonly atMs: number;
  readonly entry: BoxId;
  readonly key: string;
  readonly refusal: Refusal;
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** One box; while it stands still, what happens to it waits. */
class VirtualBox {
  private readonly held: CoreEvent[] = [];
  private readonly watch: PlatformWatch;
  private standsStillUntilMs = 0;
  private isInTurn = false;

  constructor(
    readonly id: BoxId,
    readonly world: World,
    private readonly fleet: VirtualKeyFleet,
  ) {
    const readValue = async (query: ValueQuery): Promise<ValueReadResult> => {
      await this.stand();
      const reading = await fleet.readValue(query);
      await this.stand();
      return reading;
    };
    const { keyLeaseMs: leaseMs } = world.settings;
    const emit = (event: CoreEvent): void => this.emit(event);
    this.watch = new PlatformWatch({ readValue, leaseMs, emit, metrics: { count: () => {} } });
    setInterval(() => this.emit({ type: 'tick' }), TICK_MS);
  }

  /** Takes an event, now or when the box goes on. */
  emit(event: CoreEvent): void {
    this.held.push(event);
    if (Date.now() >= this.standsStillUntilMs) this.drain();
  }

  /** Nothing runs on this box for a while. */
  pause(ms: number): void {
    this.standsStillUntilMs = Date.now() + ms;
    setTimeout(() => this.drain(), ms);
  }

  private async stand(): Promise<void> {
    const leftMs = this.standsStillUntilMs - Date.now();
    if (leftMs > 0) await wait(leftMs);
  }

  private drain(): void {
    if (this.isInTurn) return;
    this.isInTurn = true;
    for (let event = this.held.shift(); event !== undefined; event = this.held.shift()) {
      for (const effect of runTurn(this.world, [event], Date.now())) this.carryOut(effect);
    }
    this.isInTurn = false;
  }

  private carryOut(effect: Effect): void {
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
      // Links are up from the start, answers need no sink, and no endpoint is read.
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

/** Some boxes of one hall, their platform and their callers. */
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

  /** Starts the boxes; their lists are published a little later. */
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

  /** The box of that place, from 1. */
  findBox(place: number): VirtualBox {
    const box = this.boxes[place - 1];
    if (box === undefined) throw new Error(`no box ${place}`);
    return box;
  }

  /** Every box is asked for fresh keys from now on. */
  startCallers(): void {
    setInterval(() => this.boxes.forEach((box) => this.ask(box)), ASK_INTERVAL_MS);
  }

  /** What a platform that keeps its word answers: at once if the value is another, else once the wait is over. */
  async readValue({ name, etag, waitMs }: ValueQuery): Promise<ValueReadResult> {
    const text = this.published.get(name) ?? '';
    const isKnown = etag === name;
    if (this.timing.isPlatformUp) await wait(this.timing.platformMs() + (isKnown ? waitMs : 0));
    if (!this.timing.isPlatformUp) return { type: 'failed' };
    return isKnown ? { type: 'unchanged' } : { type: 'changed', text, etag: name };
  }

  /** Brings an event to a box over the link. */
  send(from: BoxId, to: BoxId, event: CoreEvent): void {
    const linkMs = from === to ? 0 : this.timing.linkMs(from, to);
    const box = this.boxes.find(({ id }) => id === to);
    if (linkMs !== undefined) setTimeout(() => box?.emit(event), linkMs);
  }

  /** A caller was refused. */
  recordRefusal(entry: BoxId, requestId: string, refusal: Refusal): void {
    const key = this.keys.get(requestId);
    if (key !== undefined) this.refusals.push({ atMs: Date.now(), entry, key, refusal });
  }

  private ask(box: VirtualBox): void {
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

/** When a caller made a key. */
export function parseKeyTimeMs(key: string): number {
  return parseInt(key.slice(0, 8) + key.slice(9, 13), 16);
}

function createHead(key: string): RequestHead {
  const call = { kind: 'plain', service: 'booking', team: 'hospital', method: 'POST', path: '/' } as const;
  return { ...call, chat: '', priority: 0, remainingMs: 0, headers: [], streamsBody: false, key };
}
