/**
 * The table of endpoints: what is published of each, what this box saw of it, and what peers say of its load.
 */
import type { ListedEndpoint } from '../records.js';
import type { EndpointNotice } from './endpointNotice.js';
import { EndpointNotices } from './endpointNotice.js';

/** Why an endpoint gets no new requests from this box. */
export type HealthState =
  | { readonly type: 'good' }
  /** Failed too often; tried again at `untilMs`. */
  | { readonly type: 'ejected'; readonly untilMs: number; readonly priorEjections: number }
  /** Connections to it cannot be made; checked again at `nextCheckMs`. */
  | {
      readonly type: 'unreachable';
      readonly nextCheckMs: number;
      /** Its process was gone: what answers next is another one. */
      readonly isProcessGone: boolean;
    };

/** One endpoint. */
export interface EndpointRow {
  listing: ListedEndpoint;
  /** Short number that stands for its id between boxes. */
  readonly tag: number;
  health: HealthState;
  /** When this box first heard of it. */
  readonly listedAtMs: number;
  /** Requests of this box that it holds. */
  inFlight: number;
  /** Requests of the other boxes that it holds, by their last heartbeats. */
  peersInFlight: number;
  /** When anything was last heard from it. */
  lastResponseAtMs: number;
  /** When this box last sent it a request while it held none of this box. */
  busySinceMs: number;
  /** Moving average of failures, 0 to 1. */
  failureRate: number;
  consecutiveFailures: number;
  /** A connection check is under way. */
  isBeingChecked: boolean;
  /** The platform no longer lists it, but may only have lost touch. Set by `EndpointTable.lapse`. */
  isLapsed: boolean;
  /** Until then it bears little, as far as this box was told or has to suppose. */
  coldUntilMs: number;
  /** Announcements that the endpoint made in its responses. */
  notice: EndpointNotice;
}

/** Load of an endpoint as this box knows it: requests of all boxes. */
export function readFleetLoad(row: EndpointRow): number {
  return row.inFlight + row.peersInFlight;
}

/** By then an endpoint that is cold has said so, and its entry has passed from box to box. */
const COLD_DOUBT_MS = 3_000;

/**
 * Takes an endpoint for cold until its entry must have told.
 *
 * @example assumeCold(row, performance.now()) // its process was gone a moment ago
 */
export function assumeCold(row: EndpointRow, nowMs: number): void {
  row.coldUntilMs = Math.max(row.coldUntilMs, nowMs + COLD_DOUBT_MS);
}

/** All endpoints by id, by service and by tag. */
export class EndpointTable {
  readonly byId = new Map<string, EndpointRow>();
  private readonly byService = new Map<string, EndpointRow[]>();
  private readonly byTag = new Map<number, EndpointRow>();
  private readonly notices = new EndpointNotices();
  private lapsed = 0;

  constructor(private readonly hashId: (id: string) => number) {}

  /** Endpoints that are kept although the platform no longer lists them. */
  get lapsedCount(): number {
    return this.lapsed;
  }

  /** Adds an endpoint or takes over what is newly published of it. */
  upsert(listing: ListedEndpoint, nowMs: number): EndpointRow {
    const known = this.byId.get(listing.id);
    if (known !== undefined) {
      known.coldUntilMs = readColdUntil(known, listing, nowMs);
      known.listing = listing;
      known.notice = this.notices.getOrCreate(listing, known.notice);
      this.endLapse(known);
      this.byService.clear();
      return known;
    }
    const row = createRow(listing, this.hashId(listing.id), this.notices.getOrCreate(listing), nowMs);
    this.byId.set(listing.id, row);
    this.byTag.set(row.tag, row);
    this.byService.clear();
    return row;
  }

  /** Keeps an endpoint that the platform no longer lists. */
  markLapsed(row: EndpointRow): void {
    if (!row.isLapsed) this.lapsed += 1;
    row.isLapsed = true;
  }

  /** Forgets an endpoint. */
  remove(id: string): void {
    const row = this.byId.get(id);
    if (row === undefined) return;
    this.endLapse(row);
    this.byId.delete(id);
    this.byTag.delete(row.tag);
    this.byService.clear();
  }

  /** The endpoint whose id hashes to this tag. */
  findByTag(tag: number): EndpointRow | undefined {
    return this.byTag.get(tag);
  }

  /** Endpoints of a service, in no particular order. */
  listService(service: string): readonly EndpointRow[] {
    const cached = this.byService.get(service);
    if (cached !== undefined) return cached;
    const rows = [...this.byId.values()].filter((row) => row.listing.service === service);
    this.byService.set(service, rows);
    return rows;
  }

  private endLapse(row: EndpointRow): void {
    if (row.isLapsed) this.lapsed -= 1;
    row.isLapsed = false;
  }
}

/** What is told again unchanged may be old: only what was written anew counts from now. */
function readColdUntil({ listing, coldUntilMs }: EndpointRow, next: ListedEndpoint, nowMs: number): number {
  const { coldMs = 0 } = next;
  return coldMs === (listing.coldMs ?? 0) ? coldUntilMs : nowMs + coldMs;
}

function createRow(listing: ListedEndpoint, tag: number, notice: EndpointNotice, nowMs: number): EndpointRow {
  return {
    listing,
    tag,
    health: { type: 'good' },
    listedAtMs: nowMs,
    inFlight: 0,
    peersInFlight: 0,
    lastResponseAtMs: nowMs,
    busySinceMs: nowMs,
    failureRate: 0,
    consecutiveFailures: 0,
    isBeingChecked: false,
    isLapsed: false,
    coldUntilMs: nowMs + (listing.coldMs ?? 0),
    notice,
  };
}
