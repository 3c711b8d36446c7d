/** Finds the endpoint from which another one fetches a cached prompt: a known holder, or one that probably holds it. */
import type { EndpointRow, EndpointTable } from '../tables/endpointTable.js';
import type { Evacuations } from '../published/evacuations.js';
import type { PlacementRequest } from './placementRequest.js';
import type { PromptRanking } from './promptRanking.js';

/** An endpoint listed this much later than another one may lack prompts that the other one holds. */
const NEWCOMER_LEAD_MS = 1_000;
/** After this time a new endpoint has received the prompts in use. */
const NEWCOMER_MS = 30_000;

/** Dependencies of the search. */
export interface CacheSourcesOptions {
  readonly table: EndpointTable;
  readonly evacuations: Evacuations;
  readonly ranking: PromptRanking;
  /** Keeps the endpoints in the regions that the request may reach. */
  readonly filterAllowed: (rows: readonly EndpointRow[], request: PlacementRequest) => readonly EndpointRow[];
}

/** An endpoint that was chosen for a request, and the prompt that it should fetch. */
export interface CacheTarget {
  readonly chosen: EndpointRow;
  readonly request: PlacementRequest;
  readonly prompt: string;
  /** Tags of the known holders of the prompt. */
  readonly holderTags: ReadonlySet<number>;
}

/** Finds cache sources. */
export class CacheSources {
  constructor(private readonly options: CacheSourcesOptions) {}

  /** A reachable endpoint that holds the prompt, or probably does; undefined if the chosen one needs none, or there is none. */
  find(target: CacheTarget, nowMs: number): EndpointRow | undefined {
    if (target.holderTags.has(target.chosen.tag)) return undefined;
    return this.findHolder(target, nowMs) ?? this.guessHolder(target, nowMs);
  }

  /** A known holder of the prompt that is reachable, if only to fetch the prompt from it. */
  private findHolder(
    { chosen, request, prompt, holderTags }: CacheTarget,
    nowMs: number,
  ): EndpointRow | undefined {
    const holders = this.listReachable(request, nowMs).filter(
      (row) => row !== chosen && holderTags.has(row.tag),
    );
    return this.options.ranking.findFirst(holders, prompt);
  }

  /**
   * An endpoint that probably holds a prompt without known holders: the preferred endpoint if another one was chosen,
   * otherwise, if the chosen one is new, the best ranked of those listed before it.
   */
  private guessHolder({ chosen, request, prompt }: CacheTarget, nowMs: number): EndpointRow | undefined {
    const { ranking } = this.options;
    const reachable = this.listReachable(request, nowMs);
    const preferred = ranking.findFirst(reachable, prompt);
    if (preferred !== undefined && preferred !== chosen) return preferred;
    if (nowMs - chosen.listedAtMs > NEWCOMER_MS) return undefined;
    const older = reachable.filter((row) => row.listedAtMs + NEWCOMER_LEAD_MS < chosen.listedAtMs);
    return ranking.findFirst(older, prompt);
  }

  private listReachable(request: PlacementRequest, nowMs: number): EndpointRow[] {
    const { table, evacuations, filterAllowed } = this.options;
    return filterAllowed(table.listService(request.service), request)
      .filter((row) => row.health.type !== 'unreachable' && !row.isLapsed)
      .filter((row) => evacuations.mayServeCache(row.listing.hall, nowMs));
  }
}
