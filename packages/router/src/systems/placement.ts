/**
 * Chooses the endpoint of a request.
 *
 * A generation goes to the preferred endpoint of its shared prompt: every box ranks the endpoints in the same order
 * by rendezvous hashing, so that a prompt is cached in one place in the whole fleet, even after all boxes have
 * restarted. If the preferred endpoint has no capacity, the request goes to the next one in that order, which is the
 * same for all boxes. An endpoint without the prompt fetches it from a known or probable holder. Requests without a
 * prompt: `plainPlacement.ts`.
 */
import type { Hasher } from '@hazelwalk/core';
import type { ColdStart, PromptPart } from '../records.js';
import { readFleetLoad } from '../tables/endpointTable.js';
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import type { ColdEndpointLimiter } from './coldEndpointLimiter.js';
import { drawLowerOfTwo, drawOne, divertIfOverloaded } from './drawEndpoint.js';
import { isUsable } from './endpointHealth.js';
import { CacheSources } from './cacheSources.js';
import type { LoadPath, ServiceMeans } from './loadCap.js';
import { listWithCapacity, mayTakeAnother, readMeans, readSlowness } from './loadCap.js';
import type { PlacementRequest } from './placementRequest.js';
import { choosePlainEndpoint } from './plainPlacement.js';
import type { PromptDemand } from './promptDemand.js';
import { isLeaving, readBackOffMs } from './endpointNotices.js';
import type { Evacuations } from '../published/evacuations.js';
import { PromptRanking } from './promptRanking.js';
import { shuffle } from './shuffle.js';
import { filterVersion, listWithinBound } from './versionChoice.js';
import type { PromptHolders } from './promptHolders.js';
import { MAX_HOLDERS } from './promptHolders.js';

/**
 * Identifies the prompt that a request shares with others: all parts but the last, which is the request's own.
 *
 * @example readSharedPrompt([{ id: 'a', tokens: 9 }, { id: 'b', tokens: 2 }]) // 'a'
 */
export function readSharedPrompt(parts: readonly PromptPart[]): string | undefined {
  const last = Math.max(1, parts.length - 1);
  const shared = parts.slice(0, last);
  return shared.length === 0 ? undefined : shared.map((part) => part.id).join(',');
}

/**
 * Identifies the shared prompt of a request by its last part: an engine that holds this part holds those before it.
 *
 * @example readSharedPart([{ id: 'a', tokens: 9 }, { id: 'b', tokens: 5 }, { id: 'c', tokens: 2 }]) // 'b'
 */
function readSharedPart(parts: readonly PromptPart[]): string | undefined {
  return parts[Math.max(0, parts.length - 2)]?.id;
}

/** How an endpoint was chosen. */
export type PlacementWay =
  /** The preferred endpoint of its prompt: the first in the order of rendezvous hashing. */
  | 'home'
  /** One of the first in that order, over which a hot prompt is spread. */
  | 'hot'
  /** A later one in that order, since those before it have no capacity. */
  | 'overflow'
  /** The less loaded of two drawn at random, since none has capacity. */
  | 'noRoom'
  /** By load and hall, without a prompt. */
  | 'plain'
  /** The endpoint whose slot was granted to the request. */
  | 'granted';

/** Why no endpoint could be chosen; also the result code of the refusal. */
export type PlacementFailureReason =
  | 'noEndpoint'
  | 'hallsEvacuated'
  | 'endpointsBackingOff'
  | 'endpointsCold'
  | 'endpointsBusy'
  | 'streamVersionGone';

/** Why placement failed, and when a retry may succeed. */
export interface PlacementFailure {
  readonly reason: PlacementFailureReason;
  /** Time until the first back-off ends; 0 if the failure is not due to back-offs. */
  readonly waitMs: number;
}

/** The chosen endpoint and the reasons for the choice. */
export interface PlacementChoice {
  readonly row: EndpointRow;
  readonly way: PlacementWay;
  /** Requests in flight at the endpoint as known to this box, and the mean of its service. */
  readonly load: number;
  readonly meanLoad: number;
  /** An endpoint that probably holds the shared prompt while the chosen one does not. */
  readonly cacheSource: EndpointRow | undefined;
}

/** Endpoints that are named for a prompt as preferred: where all of them are full, any free slot is as good. */
const MAX_PREFERRED = 4;

/** Settings and dependencies of placement. */
export interface PlacementOptions {
  readonly table: EndpointTable;
  readonly hasher: Hasher;
  /** Hall of this box. */
  readonly hall: string;
  /** Returns a number between 0 and 1. */
  readonly random: () => number;
  readonly promptHolders: PromptHolders;
  readonly demand: PromptDemand;
  /** Evacuated halls, whose endpoints get no requests. */
  readonly evacuations: Evacuations;
  /** Limits the requests of this box to cold endpoints. */
  readonly cold: ColdEndpointLimiter;
  /** Endpoints of a service at which a request may begin: those of software versions that other boxes know of. */
  readonly filterKnown: (service: string, rows: readonly EndpointRow[]) => readonly EndpointRow[];
  /** Region of a hall; undefined if it is not known. */
  readonly findRegion: (hall: string) => string | undefined;
  readonly readLoadPath: () => LoadPath;
  /** Age of the oldest load report of the other boxes. */
  readonly readLoadAgeMs: () => number;
}

/** Chooses the endpoints for the requests of one box. */
export class Placement {
  private readonly ranking: PromptRanking;
  private readonly cacheSources: CacheSources;

  constructor(private readonly options: PlacementOptions) {
    const { hasher, table, evacuations } = options;
    this.ranking = new PromptRanking(hasher);
    this.cacheSources = new CacheSources({
      table,
      evacuations,
      ranking: this.ranking,
      filterAllowed: (rows, request) => this.listAllowed(rows, request),
    });
  }

  /** Chooses an endpoint and records the request as sent; undefined if none can take the request. */
  choose(request: PlacementRequest, nowMs: number): PlacementChoice | undefined {
    const choice = this.find(request, nowMs);
    if (choice === undefined) return undefined;
    this.options.cold.recordSent(choice.row, nowMs);
    return request.grantedTag === undefined ? choice : { ...choice, way: 'granted' };
  }

  /**
   * Tags of the endpoints that suit a request best: for a prompt the first ones in its order that have capacity; without
   * one those of the own hall, in random order so that the load is spread over them.
   */
  listPreferredTags(request: PlacementRequest, nowMs: number): number[] {
    const { hall, random } = this.options;
    const rows = this.listChoices(request, nowMs);
    const prompt = readSharedPrompt(request.promptParts);
    if (prompt !== undefined) {
      const means = readMeans(this.listLive(request.service));
      const withCapacity = this.listWithCapacity(rows.filter(mayTakeAnother), means) ?? [];
      return this.ranking.listFirst(withCapacity, prompt, MAX_PREFERRED).map(({ tag }) => tag);
    }
    const near = rows.filter(({ listing }) => listing.hall === hall);
    return shuffle(near, random).map(({ tag }) => tag);
  }

  /** Tags of the endpoints of the service that a request cannot use, or only at a limited rate, as they are cold. */
  listExcludedTags(request: PlacementRequest, nowMs: number): number[] {
    const choices = this.listChoices(request, nowMs);
    const isLimited = (row: EndpointRow): boolean =>
      request.coldStart !== undefined && nowMs < row.coldUntilMs;
    const usable = new Set(choices.filter((row) => !isLimited(row)));
    const rows = this.options.table.listService(request.service);
    return rows.filter((row) => !usable.has(row)).map(({ tag }) => tag);
  }

  /**
   * Explains why no endpoint could be chosen.
   *
   * @example placement.explainFailure(request, nowMs) // { reason: 'hallsEvacuated', waitMs: 0 }
   */
  explainFailure(request: PlacementRequest, nowMs: number): PlacementFailure {
    const live = this.listLive(request.service);
    if (live.length === 0) return { reason: 'noEndpoint', waitMs: 0 };
    const suitable = filterVersion(live, request);
    if (suitable.length === 0) return { reason: 'streamVersionGone', waitMs: 0 };
    const open = this.listOpen(suitable);
    if (open.length === 0) return { reason: 'hallsEvacuated', waitMs: 0 };
    const waitMs = this.readLeastBackOffMs(request, nowMs);
    if (waitMs > 0) return { reason: 'endpointsBackingOff', waitMs };
    if (this.listAdmitted(open, request.coldStart, nowMs).length === 0)
      return { reason: 'endpointsCold', waitMs: 0 };
    // What may be chosen and was not is brittle and full.
    const isFull = this.listChoices(request, nowMs).length > 0;
    return { reason: isFull ? 'endpointsBusy' : 'noEndpoint', waitMs: 0 };
  }

  /**
   * Time until the first back-off among the endpoints that a request may reach ends; 0 if any of them has none.
   *
   * @example placement.readLeastBackOffMs(request, nowMs) // 2_500 if the shortest back-off has 2.5 s left
   */
  readLeastBackOffMs(request: PlacementRequest, nowMs: number): number {
    const allowed = this.listAllowed(this.listOpen(this.listSuitable(request)), request);
    if (allowed.length === 0) return 0;
    return Math.min(...allowed.map((row) => readBackOffMs(row, nowMs)));
  }

  private find(request: PlacementRequest, nowMs: number): PlacementChoice | undefined {
    const { hasher, hall, random, promptHolders, demand } = this.options;
    const live = this.listLive(request.service);
    const choices = this.listChoices(request, nowMs);
    const open = request.grantedTag === undefined ? choices.filter(mayTakeAnother) : choices;
    const means = readMeans(live);
    const loadPath = this.options.readLoadPath();
    const rows = listWithinBound(request, { rows: open, live, means, loadPath });
    if (rows.length === 0) return undefined;
    const prompt = readSharedPrompt(request.promptParts);
    if (prompt === undefined) {
      const plain = choosePlainEndpoint(rows, hall, random);
      return plain === undefined ? undefined : describeChoice(plain, 'plain', means.load, undefined);
    }
    const key = hasher.h32(readSharedPart(request.promptParts) ?? prompt);
    const holderTags = new Set(promptHolders.list(key));
    demand.recordRequest(key);
    const width = demand.readSpreadWidth(key, nowMs, this.options.readLoadAgeMs());
    const preferred = this.choosePreferred(rows, prompt, means, width);
    if (preferred === undefined) return undefined;
    const { row, way } = preferred;
    const cacheSource = this.cacheSources.find({ chosen: row, request, prompt, holderTags }, nowMs);
    // A few holders of a hot prompt suffice as cache sources: recording each endpoint it is spread over would cause
    // endless reports.
    if (way !== 'hot' || holderTags.size < MAX_HOLDERS) promptHolders.record(key, row.tag);
    return describeChoice(row, way, means.load, cacheSource);
  }

  /** Endpoints to which a request may be sent now; only the granted one if there is one. */
  private listChoices(request: PlacementRequest, nowMs: number): readonly EndpointRow[] {
    const open = this.listAllowed(this.listOpen(this.listSuitable(request)), request);
    const accepting = open.filter((row) => readBackOffMs(row, nowMs) === 0);
    const admitted = this.listAdmitted(accepting, request.coldStart, nowMs);
    const rows = listCandidates(admitted, request, nowMs);
    const { grantedTag } = request;
    return grantedTag === undefined ? rows : rows.filter(({ tag }) => tag === grantedTag);
  }

  /** Endpoints of a service that are not leaving. */
  private listLive(service: string): readonly EndpointRow[] {
    return this.options.table.listService(service).filter((row) => !isLeaving(row));
  }

  /** Endpoints that are not leaving and have the version that the request needs; if it needs none, a known one. */
  private listSuitable(request: PlacementRequest): readonly EndpointRow[] {
    const live = this.listLive(request.service);
    return request.softwareVersion === undefined
      ? this.options.filterKnown(request.service, live)
      : filterVersion(live, request);
  }

  /** Endpoints outside evacuated halls. */
  private listOpen(rows: readonly EndpointRow[]): readonly EndpointRow[] {
    const { evacuations } = this.options;
    return evacuations.isEmpty ? rows : rows.filter((row) => !evacuations.isEvacuated(row.listing.hall));
  }

  /** Endpoints in the regions that the request may reach. */
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

  /** Endpoints to which this box may send another request; for cold ones, its share of their permitted rate decides. */
  private listAdmitted(
    rows: readonly EndpointRow[],
    coldStart: ColdStart | undefined,
    nowMs: number,
  ): readonly EndpointRow[] {
    if (coldStart === undefined) return rows;
    return rows.filter((row) => this.options.cold.admits(row, coldStart, nowMs));
  }

  /**
   * The preferred endpoint or its replacement. The cap depends on the mean load of the whole service, so that
   * endpoints which this box has tried or considers down do not raise it for the others. If all candidates exceed the
   * cap, it depends on their own mean. Endpoints slower than the mean have a lower cap.
   */
  private choosePreferred(
    rows: readonly EndpointRow[],
    prompt: string,
    means: ServiceMeans,
    width: number,
  ): Pick<PlacementChoice, 'row' | 'way'> | undefined {
    const { random } = this.options;
    const withCapacity = this.listWithCapacity(rows, means);
    if (withCapacity === undefined) {
      const readWeightedLoad = (row: EndpointRow): number => readFleetLoad(row) * readSlowness(row, means);
      const least = drawLowerOfTwo(rows, readWeightedLoad, random);
      return least === undefined ? undefined : { row: least, way: 'noRoom' };
    }
    if (width > 1) {
      const first = this.ranking.listFirst(withCapacity, prompt, width);
      const drawn = drawOne(first, random);
      if (drawn === undefined) return undefined;
      const readNext = (row: EndpointRow): number => (readFleetLoad(row) + 1) * readSlowness(row, means);
      return { row: divertIfOverloaded(drawn, first, readNext, 0, random), way: 'hot' };
    }
    // Ranking hashes every endpoint. Most preferred endpoints have capacity, and then one ranking suffices.
    const preferred = this.ranking.findFirst(rows, prompt);
    if (preferred !== undefined && withCapacity.includes(preferred)) return { row: preferred, way: 'home' };
    const next = this.ranking.findFirst(withCapacity, prompt);
    return next === undefined ? undefined : { row: next, way: 'overflow' };
  }

  private listWithCapacity(rows: readonly EndpointRow[], means: ServiceMeans): EndpointRow[] | undefined {
    const path = this.options.readLoadPath();
    return listWithCapacity(rows, means, path) ?? listWithCapacity(rows, readMeans(rows), path);
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

/** Untried endpoints that are usable, or all untried ones if none is usable, since one of them may be back. */
function listCandidates(
  live: readonly EndpointRow[],
  request: PlacementRequest,
  nowMs: number,
): readonly EndpointRow[] {
  const untried = live.filter((row) => !request.excluded.has(row.listing.id));
  const usable = untried.filter((row) => isUsable(row, nowMs));
  return usable.length > 0 ? usable : untried;
}
