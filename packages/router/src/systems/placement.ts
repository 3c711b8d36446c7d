/**
 * Chooses the endpoint of a request.
 *
 * A generation goes to the home of its shared prompt: every box ranks the endpoints in the same order by rendezvous
 * hashing, so that a prompt is kept in one place in the whole fleet, also after all boxes started anew. A loaded home
 * passes work to the next in that order, the same one for all boxes. An endpoint that does not hold the prompt takes it
 * from one that does, as far as boxes know. Requests without a prompt: `plainPlacement.ts`.
 */
import type { Hasher } from '@hazelwalk/core';
import type { ColdStart, PromptPart } from '../records.js';
import { readFleetLoad } from '../tables/endpointTable.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import type { ColdEndpointLimiter } from './coldEndpointLimiter.js';
import { drawLowerOfTwo, drawOne, divertIfOverloaded } from './drawEndpoint.js';
import { isUsable } from './endpointHealth.js';
import { choosePlainEndpoint } from './plainPlacement.js';
import type { PromptDemand } from './promptDemand.js';
import { isLeaving, readBackOffMs } from './endpointNotices.js';
import type { Evacuations } from './evacuations.js';
import type { PromptHolders } from './promptHolders.js';
import { MAX_HOLDERS } from './promptHolders.js';

/** How the loads of other boxes come: from each of them, or as sums by way of others, which makes them older. */
export type LoadPath = 'direct' | 'relayed';

/** Most that an endpoint may carry: a multiple of the mean load, and so many requests on top. */
interface LoadCap {
  readonly factor: number;
  readonly allowance: number;
}

/**
 * The deployment's bound is twice the mean and three. How near one may go depends on how old loads are: 0.3 s when they
 * come from each box; up to a second as sums, in which time a hot prompt adds some requests to its home.
 */
const LOAD_CAPS: Readonly<Record<LoadPath, LoadCap>> = {
  direct: { factor: 1.8, allowance: 2.4 },
  relayed: { factor: 1.7, allowance: 2 },
};

/** What placement needs to know of a request. */
export interface PlacementRequest {
  readonly service: string;
  readonly promptParts: readonly PromptPart[];
  /** What endpoints of the service bear until they have warmed up; absent where they bear all at once. */
  readonly coldStart?: ColdStart | undefined;
  /** Lists of regions, each of which has to name that of the endpoint; a request may be bound by several. */
  readonly allowedRegions?: readonly (readonly string[])[];
  /** Endpoints that were tried already. */
  readonly excluded: ReadonlySet<string>;
}

/**
 * Names the prompt that a request shares with others: all parts but the last, which is its own.
 *
 * @example readSharedPrompt([{ id: 'a', tokens: 9 }, { id: 'b', tokens: 2 }]) // 'a'
 */
export function readSharedPrompt(parts: readonly PromptPart[]): string | undefined {
  const last = Math.max(1, parts.length - 1);
  const shared = parts.slice(0, last);
  return shared.length === 0 ? undefined : shared.map((part) => part.id).join(',');
}

/**
 * Names what a request shares with others by the last part of it: an engine that holds it holds the parts before it.
 *
 * @example readSharedPart([{ id: 'a', tokens: 9 }, { id: 'b', tokens: 5 }, { id: 'c', tokens: 2 }]) // 'b'
 */
export function readSharedPart(parts: readonly PromptPart[]): string | undefined {
  return parts[Math.max(0, parts.length - 2)]?.id;
}

/** How an endpoint was chosen. */
export type PlacementWay =
  /** The first in the order of its prompt. */
  | 'home'
  /** One of the first in that order, over which a hot prompt is spread. */
  | 'hot'
  /** A later one in that order, since those before it have no room. */
  | 'overflow'
  /** The less loaded of two drawn at random, since none has room. */
  | 'noRoom'
  /** By load and hall, without a prompt. */
  | 'plain';

/** Why a request goes nowhere: result codes of its refusal. */
export type PlacementFailureReason =
  'noEndpoint' | 'hallsEvacuated' | 'endpointsBackingOff' | 'endpointsCold';

/** Why placement failed, and when a retry may succeed. */
export interface PlacementFailure {
  readonly reason: PlacementFailureReason;
  /** Time until the first back-off ends; 0 if the failure is not due to back-offs. */
  readonly waitMs: number;
}

/** Where a request goes. */
export interface PlacementChoice {
  readonly row: EndpointRow;
  readonly way: PlacementWay;
  /** Requests that this box believed the endpoint to hold, and the mean of its service. */
  readonly load: number;
  readonly meanLoad: number;
  /** An endpoint that holds the shared prompt, as far as is known, while the chosen one does not. */
  readonly cacheSource: EndpointRow | undefined;
}

/** An endpoint that was listed this much later than another may lack prompts that the other holds. */
const NEWCOMER_LEAD_MS = 1_000;
/** A newcomer has met the prompts that are in use after this. */
const NEWCOMER_MS = 30_000;

/** What placement works with. */
export interface PlacementOptions {
  readonly table: EndpointTable;
  readonly hasher: Hasher;
  /** Hall of this box. */
  readonly hall: string;
  /** Between 0 and 1. */
  readonly random: () => number;
  readonly promptHolders: PromptHolders;
  readonly demand: PromptDemand;
  /** Halls that are to be emptied: their endpoints get nothing. */
  readonly evacuations: Evacuations;
  /** Decides which cold endpoints this box may send to. */
  readonly cold: ColdEndpointLimiter;
  /** Region of a hall; undefined if it is not known. */
  readonly findRegion: (hall: string) => string | undefined;
  readonly readLoadPath: () => LoadPath;
  /** How old the oldest loads of other boxes are that this one knows. */
  readonly readLoadAgeMs: () => number;
}

/** Chooses endpoints for one box. */
export class Placement {
  constructor(private readonly options: PlacementOptions) {}

  /** The endpoint to send to, which then counts as sent; undefined if none can take the request. */
  choose(request: PlacementRequest, nowMs: number): PlacementChoice | undefined {
    const choice = this.find(request, nowMs);
    if (choice !== undefined) this.options.cold.recordSent(choice.row, nowMs);
    return choice;
  }

  /**
   * Why no endpoint could be chosen.
   *
   * @example placement.explainNone(request, nowMs) // { reason: 'hallsEvacuated', waitMs: 0 }
   */
  explainFailure(request: PlacementRequest, nowMs: number): PlacementFailure {
    const live = this.listLive(request.service);
    if (live.length === 0) return { reason: 'noEndpoint', waitMs: 0 };
    const open = this.listOpen(live);
    if (open.length === 0) return { reason: 'hallsEvacuated', waitMs: 0 };
    const waitMs = this.readLeastBackOffMs(request, nowMs);
    if (waitMs > 0) return { reason: 'endpointsBackingOff', waitMs };
    const isCold = this.listAdmitted(open, request.coldStart, nowMs).length === 0;
    return { reason: isCold ? 'endpointsCold' : 'noEndpoint', waitMs: 0 };
  }

  /**
   * Time until the first back-off among the endpoints that a request may reach ends; 0 if any of them has none.
   *
   * @example placement.readLeastBackOffMs(request, nowMs) // 2_500 if the shortest back-off has 2.5 s left
   */
  readLeastBackOffMs(request: PlacementRequest, nowMs: number): number {
    const allowed = this.listAllowed(this.listOpen(this.listLive(request.service)), request);
    if (allowed.length === 0) return 0;
    return Math.min(...allowed.map((row) => readBackOffMs(row, nowMs)));
  }

  private find(request: PlacementRequest, nowMs: number): PlacementChoice | undefined {
    const { hasher, hall, random, promptHolders: homes, demand } = this.options;
    const live = this.listLive(request.service);
    const open = this.listAllowed(this.listOpen(live), request);
    const accepting = open.filter((row) => readBackOffMs(row, nowMs) === 0);
    const admitted = this.listAdmitted(accepting, request.coldStart, nowMs);
    const rows = listCandidates(admitted, request, nowMs);
    if (rows.length === 0) return undefined;
    const prompt = readSharedPrompt(request.promptParts);
    const meanLoad = readMeanLoad(live);
    if (prompt === undefined) {
      const plain = choosePlainEndpoint(rows, hall, random);
      return plain === undefined ? undefined : describeChoice(plain, 'plain', meanLoad, undefined);
    }
    const key = hasher.h32(readSharedPart(request.promptParts) ?? prompt);
    const holders = new Set(homes.list(key));
    demand.recordRequest(key);
    const width = demand.readSpreadWidth(key, nowMs, this.options.readLoadAgeMs());
    const home = this.chooseHome(rows, prompt, meanLoad, width);
    if (home === undefined) return undefined;
    const { row, way } = home;
    const cacheSource = holders.has(row.tag)
      ? undefined
      : (this.findHolder(row, request, prompt, holders, nowMs) ??
        this.guessHolder(row, request, prompt, nowMs));
    // Of a hot prompt a few holders are enough to take it from: naming all of them each time would be news without end.
    if (way !== 'hot' || holders.size < MAX_HOLDERS) homes.record(key, row.tag);
    return describeChoice(row, way, meanLoad, cacheSource);
  }

  /** Endpoints of a service that are not about to leave. */
  private listLive(service: string): readonly EndpointRow[] {
    return this.options.table.listService(service).filter((row) => !isLeaving(row));
  }

  /** Endpoints outside the halls that are to be emptied. */
  private listOpen(rows: readonly EndpointRow[]): readonly EndpointRow[] {
    const { evacuations } = this.options;
    return evacuations.isEmpty ? rows : rows.filter((row) => !evacuations.isEvacuated(row.listing.hall));
  }

  /** Endpoints of the regions that the request may reach. */
  private listAllowed(
    rows: readonly EndpointRow[],
    { allowedRegions = [] }: PlacementRequest,
  ): readonly EndpointRow[] {
    if (allowedRegions.length === 0) return rows;
    return rows.filter(({ listing }) => {
      const region = this.options.findRegion(listing.hall);
      return region !== undefined && allowedRegions.every((regions) => regions.includes(region));
    });
  }

  /** Endpoints that bear a request of this box more: cold ones only in its turn. */
  private listAdmitted(
    rows: readonly EndpointRow[],
    coldStart: ColdStart | undefined,
    nowMs: number,
  ): readonly EndpointRow[] {
    if (coldStart === undefined) return rows;
    return rows.filter((row) => this.options.cold.admits(row, coldStart, nowMs));
  }

  /**
   * The home, or what stands in for it. The cap goes by the mean of the whole service, so that endpoints which this box
   * has tried, or believes to be gone, do not raise it for the others; only if all of these are over it, by their own.
   */
  private chooseHome(
    rows: readonly EndpointRow[],
    prompt: string,
    meanLoad: number,
    width: number,
  ): Pick<PlacementChoice, 'row' | 'way'> | undefined {
    const { random } = this.options;
    const withRoom = this.listWithRoom(rows, meanLoad) ?? this.listWithRoom(rows, readMeanLoad(rows));
    if (withRoom === undefined) {
      const least = drawLowerOfTwo(rows, readFleetLoad, random);
      return least === undefined ? undefined : { row: least, way: 'noRoom' };
    }
    if (width > 1) {
      const first = this.listBestRanked(withRoom, prompt, width);
      const drawn = drawOne(first, random);
      if (drawn === undefined) return undefined;
      const readNext = (row: EndpointRow): number => readFleetLoad(row) + 1;
      return { row: divertIfOverloaded(drawn, first, readNext, 0, random), way: 'hot' };
    }
    // Ranking hashes each endpoint: most homes have room, and then once is enough.
    const home = this.findBestRanked(rows, prompt);
    if (home !== undefined && withRoom.includes(home)) return { row: home, way: 'home' };
    const next = this.findBestRanked(withRoom, prompt);
    return next === undefined ? undefined : { row: next, way: 'overflow' };
  }

  /** Endpoints that may take one request more; undefined if none may. */
  private listWithRoom(rows: readonly EndpointRow[], meanLoad: number): EndpointRow[] | undefined {
    const { factor, allowance } = LOAD_CAPS[this.options.readLoadPath()];
    const cap = factor * meanLoad + allowance;
    const withRoom = rows.filter((row) => readFleetLoad(row) + 1 <= cap);
    return withRoom.length > 0 ? withRoom : undefined;
  }

  /** An endpoint that is known to hold the prompt and can still be reached, if only to take the prompt from it. */
  private findHolder(
    chosen: EndpointRow,
    request: PlacementRequest,
    prompt: string,
    holders: ReadonlySet<number>,
    nowMs: number,
  ): EndpointRow | undefined {
    const reachable = this.listReachable(request, nowMs);
    return this.findBestRanked(
      reachable.filter((row) => row !== chosen && holders.has(row.tag)),
      prompt,
    );
  }

  /**
   * An endpoint that probably holds a prompt of which this box knows nothing: the best ranked of those that were there
   * before the chosen one, or the home itself if the chosen one only stands in for it.
   */
  private guessHolder(
    chosen: EndpointRow,
    request: PlacementRequest,
    prompt: string,
    nowMs: number,
  ): EndpointRow | undefined {
    const reachable = this.listReachable(request, nowMs);
    const home = this.findBestRanked(reachable, prompt);
    if (home !== undefined && home !== chosen) return home;
    if (nowMs - chosen.listedAtMs > NEWCOMER_MS) return undefined;
    const older = reachable.filter((row) => row.listedAtMs + NEWCOMER_LEAD_MS < chosen.listedAtMs);
    return this.findBestRanked(older, prompt);
  }

  private listReachable(request: PlacementRequest, nowMs: number): EndpointRow[] {
    const { table, evacuations } = this.options;
    return this.listAllowed(table.listService(request.service), request)
      .filter((row) => row.health.type !== 'unreachable' && !row.isLapsed)
      .filter((row) => evacuations.mayServeCache(row.listing.hall, nowMs));
  }

  /** The first few in the order of endpoints that all boxes share for a prompt. */
  private listBestRanked(rows: readonly EndpointRow[], prompt: string, count: number): EndpointRow[] {
    return rows
      .map((row) => ({ row, score: this.options.hasher.h32(prompt, row.tag) }))
      .sort((a, b) => b.score - a.score)
      .slice(0, count)
      .map(({ row }) => row);
  }

  /** The first in the order of endpoints that all boxes share for a prompt. */
  private findBestRanked(rows: readonly EndpointRow[], prompt: string): EndpointRow | undefined {
    return pickLeast(rows, (row) => -this.options.hasher.h32(prompt, row.tag));
  }
}

function describeChoice(
  row: EndpointRow,
  way: PlacementWay,
  meanLoad: number,
  cacheSource: EndpointRow | undefined,
): PlacementChoice {
  return { row, way, load: readFleetLoad(row), meanLoad, cacheSource };
}

/** Usable endpoints; if none is, those that are listed, since one of them may have come back. */
function listCandidates(
  live: readonly EndpointRow[],
  request: PlacementRequest,
  nowMs: number,
): readonly EndpointRow[] {
  const untried = live.filter((row) => !request.excluded.has(row.listing.id));
  const usable = untried.filter((row) => isUsable(row, nowMs));
  return usable.length > 0 ? usable : untried;
}

function readMeanLoad(rows: readonly EndpointRow[]): number {
  return rows.reduce((sum, row) => sum + readFleetLoad(row), 0) / rows.length;
}

function pickLeast(
  rows: readonly EndpointRow[],
  score: (row: EndpointRow) => number,
): EndpointRow | undefined {
  let best: EndpointRow | undefined;
  let bestScore = Infinity;
  for (const row of rows) {
    const rowScore = score(row);
    if (best !== undefined && rowScore >= bestScore) continue;
    best = row;
    bestScore = rowScore;
  }
  return best;
}
