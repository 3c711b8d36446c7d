/** The table of endpoints: the published listing of each, its health as observed by this box, and its load. */
import type { ListedEndpoint } from '../records.js';
import type { Removal } from './departure.js';
import type { EndpointPath } from './endpointPath.js';
import { DIRECT_PATH } from './endpointPath.js';
import type { EndpointNotice } from './endpointNotice.js';
import { EndpointNotices } from './endpointNotice.js';

/** Health of an endpoint as observed by this box; ejected and unreachable endpoints get no new requests. */
export type HealthState =
  | { readonly type: 'good' }
  /** Failed too often; gets requests again from `untilMs` on. */
  | { readonly type: 'ejected'; readonly untilMs: number; readonly priorEjections: number }
  /** Connections to it fail; checked again at `nextCheckMs`. */
  | {
      readonly type: 'unreachable';
      readonly nextCheckMs: number;
      /** A connection was refused, so the process has exited: whatever responds next is a new process. */
      readonly isProcessGone: boolean;
    };

/** State of one endpoint: its listing, and what this box has observed. */
export interface EndpointRow {
  listing: ListedEndpoint;
  /** Hash of its id, by which boxes refer to it in their messages. */
  readonly tag: number;
  health: HealthState;
  /** How new connections of this box reach it. */
  path: EndpointPath;
  /** When this box added it to the table. */
  readonly listedAtMs: number;
  /** Requests of this box in flight at it. */
  inFlight: number;
  /** Requests of the other boxes in flight at it, by their last reports. */
  peersInFlight: number;
  /** Processing time of a request there relative to the usual one of its service, as reported to all boxes; 1 if usual. */
  pace: number;
  /** When it last responded to this box: with data, a status or an accepted connection. */
  lastResponseAtMs: number;
  /** When this box last sent it a request while it had no others in flight there. */
  busySinceMs: number;
  /** Moving average of failures, 0 to 1. */
  failureRate: number;
  consecutiveFailures: number;
  /** A connection check is in progress. */
  isBeingChecked: boolean;
  /** The platform no longer lists it, but its entry may only have expired during an outage. Set by `markLapsed`. */
  isLapsed: boolean;
  /** Since when its listing states that it is leaving; 0 if it never did. */
  leavingSinceMs: number;
  /** Set when the row leaves the table, as requests may still hold it. */
  removal: Removal | undefined;
  /** Until then it sustains few requests, according to its listing or as assumed by this box. */
  coldUntilMs: number;
  /** Announcements that the endpoint made in its responses. */
  notice: EndpointNotice;
}

/** Requests of all boxes in flight at an endpoint, with those of the other boxes as last reported. */
export function readFleetLoad(row: EndpointRow): number {
  return row.inFlight + row.peersInFlight;
}

/** Within this time a cold endpoint has published that it is cold, and its entry has been relayed between boxes. */
const ASSUMED_COLD_MS = 3_000;

/**
 * Treats an endpoint as cold until its entry must have arrived.
 *
 * @example assumeCold(row, performance.now()) // it accepts connections again after its process had exited
 */
export function assumeCold(row: EndpointRow, nowMs: number): void {
  row.coldUntilMs = Math.max(row.coldUntilMs, nowMs + ASSUMED_COLD_MS);
}

/** Removal of an endpoint for which nobody asks since when. */
const UNDATED_REMOVAL: Removal = { proof: 'removed', sinceMs: 0 };

/** All endpoints, indexed by id, service and tag. */
export class EndpointTable {
  readonly byId = new Map<string, EndpointRow>();
  private readonly byService = new Map<string, EndpointRow[]>();
  private readonly byTag = new Map<number, EndpointRow>();
  private readonly notices = new EndpointNotices();
  private lapsed = 0;
  private changes = 0;

  constructor(private readonly hashId: (id: string) => number) {}

  /** Number of endpoints that are kept although the platform no longer lists them. */
  get lapsedCount(): number {
    return this.lapsed;
  }

  /** Increases whenever an endpoint is added, updated or removed. */
  get revision(): number {
    return this.changes;
  }

  /** Adds an endpoint, or updates the listing of a known one. */
  upsert(listing: ListedEndpoint, nowMs: number): EndpointRow {
    this.changes += 1;
    const known = this.byId.get(listing.id);
    if (known !== undefined) {
      known.coldUntilMs = readColdUntil(known, listing, nowMs);
      if (listing.state === 'leaving' && known.listing.state !== 'leaving') known.leavingSinceMs = nowMs;
      known.listing = listing;
      known.notice = this.notices.getOrCreate(listing, known.notice);
      this.clearLapsed(known);
      this.byService.clear();
      return known;
    }
    const row = createRow(listing, this.hashId(listing.id), this.notices.getOrCreate(listing), nowMs);
    this.byId.set(listing.id, row);
    this.byTag.set(row.tag, row);
    this.byService.clear();
    return row;
  }

  /** Marks an endpoint that the platform no longer lists but that is kept. */
  markLapsed(row: EndpointRow): void {
    if (!row.isLapsed) this.lapsed += 1;
    row.isLapsed = true;
  }

  /** Removes an endpoint; requests that hold its row find out by its `removal`. */
  remove(id: string, removal: Removal = UNDATED_REMOVAL): void {
    const row = this.byId.get(id);
    if (row === undefined) return;
    row.removal = removal;
    this.changes += 1;
    this.clearLapsed(row);
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

  private clearLapsed(row: EndpointRow): void {
    if (row.isLapsed) this.lapsed -= 1;
    row.isLapsed = false;
  }
}

/** A repeated value may be an old one: the cold time counts from now only if the listing changes it. */
function readColdUntil({ listing, coldUntilMs }: EndpointRow, next: ListedEndpoint, nowMs: number): number {
  const { coldMs = 0 } = next;
  return coldMs === (listing.coldMs ?? 0) ? coldUntilMs : nowMs + coldMs;
}

function createRow(listing: ListedEndpoint, tag: number, notice: EndpointNotice, nowMs: number): EndpointRow {
  return {
    listing,
    tag,
    health: { type: 'good' },
    path: DIRECT_PATH,
    listedAtMs: nowMs,
    inFlight: 0,
    peersInFlight: 0,
    pace: 1,
    lastResponseAtMs: nowMs,
    busySinceMs: nowMs,
    failureRate: 0,
    consecutiveFailures: 0,
    isBeingChecked: false,
    isLapsed: false,
    leavingSinceMs: listing.state === 'leaving' ? nowMs : 0,
    removal: undefined,
    coldUntilMs: nowMs + (listing.coldMs ?? 0),
    notice,
  };
}
