/**
 * Matches requests to the configuration: the route by host and longest path prefix, the team by API key, the service
 * by weight.
 */
import { UrgencyRanking } from '../admission/urgency.js';
import type { FleetConfiguration, Route, RouteTarget, Service, Team } from '../records.js';

/** Route and team of a request, or why it is refused. */
export type RouteMatch =
  | {
      readonly type: 'routed';
      readonly route: Route;
      readonly team: Team | undefined;
    }
  | { readonly type: 'refused'; readonly code: 'routeUnknown' | 'apiKeyUnknown' };

/** A configuration, indexed for look-ups. */
export class RouteIndex {
  private readonly routesByHost = new Map<string, Route[]>();
  private readonly teamsByKey = new Map<string, Team>();
  private readonly services = new Map<string, Service>();
  private readonly rankings = new Map<string, UrgencyRanking>();
  /** Longest timeout of the routes whose streams may be resumed; 0 if there are none. */
  readonly longestStreamMs: number;
  /** Priorities of the routes to each service; listed when the first request needs them. */
  private routePriorities: ReadonlyMap<string, ReadonlySet<number | undefined>> | undefined;

  constructor(readonly configuration: FleetConfiguration) {
    for (const route of configuration.routes) this.addRoute(route);
    this.longestStreamMs = findLongestStreamMs(configuration.routes);
    for (const routes of this.routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const team of configuration.teams ?? []) {
      for (const key of team.apiKeys) this.teamsByKey.set(key, team);
    }
    for (const service of configuration.services) this.services.set(service.name, service);
  }

  /**
   * Matches a request.
   *
   * @example index.match('shop.example', '/orders/7', 'key-1') // { type: 'routed', route, team }
   */
  match(host: string, path: string, apiKey: string | undefined): RouteMatch {
    const routes = this.routesByHost.get(withoutPort(host.toLowerCase()));
    const route = routes?.find((candidate) => path.startsWith(candidate.pathPrefix));
    if (route === undefined) return { type: 'refused', code: 'routeUnknown' };
    const team = apiKey === undefined ? undefined : this.teamsByKey.get(apiKey);
    const needsKey = this.configuration.teams !== undefined && !route.isPublic;
    if (needsKey && team === undefined) return { type: 'refused', code: 'apiKeyUnknown' };
    return { type: 'routed', route, team };
  }

  /** The service of that name; undefined if it is not declared. */
  findService(name: string): Service | undefined {
    return this.services.get(name);
  }

  /** The urgency of the requests of a service, by the priorities in force. */
  readRanking(service: string): UrgencyRanking {
    let ranking = this.rankings.get(service);
    if (ranking === undefined) {
      this.routePriorities ??= listRoutePriorities(this.configuration.routes);
      const teams = this.configuration.teams ?? [];
      ranking = new UrgencyRanking(
        this.routePriorities.get(service) ?? [],
        teams.map((team) => team.priority),
      );
      this.rankings.set(service, ranking);
    }
    return ranking;
  }

  private addRoute(route: Route): void {
    const host = route.host.toLowerCase();
    const routes = this.routesByHost.get(host);
    if (routes === undefined) this.routesByHost.set(host, [route]);
    else routes.push(route);
  }
}

/**
 * Whether the streams of a route may go on at another endpoint.
 *
 * @example hasResumableStreams({ kind: 'stream', isResumable: true }) // true
 */
export function hasResumableStreams({ kind, isResumable }: Pick<Route, 'kind' | 'isResumable'>): boolean {
  return kind === 'stream' && isResumable;
}

function findLongestStreamMs(routes: readonly Route[]): number {
  return routes
    .filter(hasResumableStreams)
    .reduce((longestMs, { timeoutMs }) => Math.max(longestMs, timeoutMs), 0);
}

/** Lists the priorities of the routes to each service; undefined among them if a route has none. */
function listRoutePriorities(routes: readonly Route[]): ReadonlyMap<string, ReadonlySet<number | undefined>> {
  const byService = new Map<string, Set<number | undefined>>();
  for (const { targets, priority } of routes) {
    for (const { service } of targets) {
      const known = byService.get(service);
      if (known === undefined) byService.set(service, new Set([priority]));
      else known.add(priority);
    }
  }
  return byService;
}

function withoutPort(host: string): string {
  const colon = host.indexOf(':');
  return colon < 0 ? host : host.slice(0, colon);
}

const HASH_RANGE = 2 ** 32;

/**
 * Picks a target by its weight. The same hash picks the same target, so that requests with the same prompt stay
 * together.
 *
 * @example pickTarget([{ service: 'a', weight: 9 }, { service: 'b', weight: 1 }], 0) // 'a'
 */
export function pickTarget(targets: readonly RouteTarget[], hash: number): string | undefined {
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  let point = (hash / HASH_RANGE) * total;
  for (const target of targets) {
    point -= target.weight;
    if (point < 0) return target.service;
  }
  return targets.at(-1)?.service;
}
