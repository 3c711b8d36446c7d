/**
 * Decides which services are short of room. A service is short from the time at which its averaged use is high or one of
 * its endpoints refuses a request for lack of room; it has ample room again once neither was seen for a while.
 *
 * Only requests to a service that is short are scheduled, so that others pay nothing for it.
 */
import type { ServiceRoom } from './serviceRoom.js';
import { readUse } from './serviceRoom.js';
import type { UseHistory } from './shortageRule.js';
import { isFull, NO_USE_HISTORY, recordRoomRefusal, recordUse } from './shortageRule.js';

/** Averaged use above which a service is short: waves and clumps double the use before the next report of loads. */
const SHORT_USE = 0.5;
/** Averaged use below which it may have ample room again. */
const AMPLE_USE = 0.35;
/** How long the use has to stay low, without a refusal, until the service has ample room again. */
const AMPLE_AFTER_MS = 10_000;
/** Weight of the latest use in the average: at two reports a second the average follows within a second. */
const LATEST_WEIGHT = 0.5;

/** Why a service counts as short of room. */
export type ShortageReason =
  /** Its averaged use is high. */
  | 'use'
  /** An endpoint refused a request for lack of room. */
  | 'refusal'
  /** Its endpoints state that they do not survive many refusals. */
  | 'brittle';

/** A service became short of room, or has ample room again. */
export interface RoomChange {
  readonly service: string;
  readonly state: 'short' | 'ample';
  readonly reason: ShortageReason | 'quiet';
  readonly averageUse: number;
  /** The last known room; undefined before the first report. */
  readonly room: ServiceRoom | undefined;
}

interface WatchedService {
  averageUse: number;
  room: ServiceRoom | undefined;
  history: UseHistory;
  /** When the use was last high, or a request was refused; undefined while there is ample room. */
  shortSeenAtMs: number | undefined;
}

/** Watches the room of all services in the view of one box. */
export class RoomWatch {
  private readonly services = new Map<string, WatchedService>();

  /** @param onChange called when a service becomes short of room, and when it has ample room again */
  constructor(private readonly onChange: (change: RoomChange) => void = () => {}) {}

  /** Records the room of a service, twice a second. */
  update(service: string, room: ServiceRoom, nowMs: number): void {
    const watched = this.getOrCreate(service);
    const isFirst = watched.room === undefined;
    watched.room = room;
    // Without a slot there is nothing to share out; placement says why no endpoint can be used.
    if (room.slotsInEffect > 0) {
      const use = readUse(room);
      watched.history = recordUse(watched.history, use);
      watched.averageUse = isFirst ? use : watched.averageUse + LATEST_WEIGHT * (use - watched.averageUse);
    }
    if (watched.averageUse >= SHORT_USE) this.markShort(service, watched, 'use', nowMs);
    else if (watched.shortSeenAtMs !== undefined) this.endIfQuiet(service, watched, nowMs);
  }

  /** Records that an endpoint of a service refused a request for lack of room. */
  recordRefusal(service: string, nowMs: number): void {
    const watched = this.getOrCreate(service);
    watched.history = recordRoomRefusal(watched.history, nowMs);
    this.markShort(service, watched, 'refusal', nowMs);
  }

  /** Records that endpoints of a service state that they do not survive many refusals. */
  recordBrittle(service: string, nowMs: number): void {
    this.markShort(service, this.getOrCreate(service), 'brittle', nowMs);
  }

  /** Forgets the services that are not among these. */
  retain(services: ReadonlySet<string>): void {
    for (const service of this.services.keys()) if (!services.has(service)) this.services.delete(service);
  }

  /**
   * Whether a service is short of room.
   *
   * @example watch.isShort('app') // true for ten seconds after a refusal
   */
  isShort(service: string): boolean {
    return this.services.get(service)?.shortSeenAtMs !== undefined;
  }

  /**
   * Whether a service is so full that hedges and repeats would take slots from others.
   *
   * @example watch.isFull('app', performance.now()) // true for a second after a refusal
   */
  isFull(service: string, nowMs: number): boolean {
    return isFull(this.services.get(service)?.history ?? NO_USE_HISTORY, nowMs);
  }

  /** Number of services that are short of room. */
  get shortCount(): number {
    return [...this.services.values()].filter((watched) => watched.shortSeenAtMs !== undefined).length;
  }

  private markShort(service: string, watched: WatchedService, reason: ShortageReason, nowMs: number): void {
    const wasShort = watched.shortSeenAtMs !== undefined;
    watched.shortSeenAtMs = nowMs;
    if (!wasShort) this.report(service, watched, 'short', reason);
  }

  private endIfQuiet(service: string, watched: WatchedService, nowMs: number): void {
    if (watched.averageUse >= AMPLE_USE) watched.shortSeenAtMs = nowMs;
    if (nowMs - (watched.shortSeenAtMs ?? nowMs) < AMPLE_AFTER_MS) return;
    watched.shortSeenAtMs = undefined;
    this.report(service, watched, 'ample', 'quiet');
  }

  private report(
    service: string,
    { averageUse, room }: WatchedService,
    state: RoomChange['state'],
    reason: RoomChange['reason'],
  ): void {
    this.onChange({ service, state, reason, averageUse, room });
  }

  private getOrCreate(service: string): WatchedService {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const created: WatchedService = {
      averageUse: 0,
      room: undefined,
      history: NO_USE_HISTORY,
      shortSeenAtMs: undefined,
    };
    this.services.set(service, created);
    return created;
  }
}
