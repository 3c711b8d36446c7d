/** Determines the route, team and service of a request. */
import type { IncomingMessage } from 'node:http';
import { Err, Ok } from '@hazelwalk/core';
import type { Result } from '@hazelwalk/core';
import { readEndpointUrgency } from '../admission/urgency.js';
import type { CallerRequest, Route, Service, Team } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import { readSharedPrompt } from '../systems/placement.js';
import type { RouteIndex } from '../systems/routeIndex.js';
import { pickTarget } from '../systems/routeIndex.js';

/** Route, team and service of a request. */
export interface Assignment {
  readonly route: Route;
  readonly team: Team | undefined;
  readonly service: string;
  /** Undefined if a route names the service but the configuration does not declare it. */
  readonly declared: Service | undefined;
  /** Urgency among the requests of the service; 0 is the most urgent. */
  readonly rank: number;
  /** Urgency for the endpoint's own queue, 0 to 9; undefined if all requests of the service are equally urgent. */
  readonly urgency: number | undefined;
}

/** Why a request has no route. */
export type AssignmentFailure = 'notReady' | 'routeUnknown' | 'apiKeyUnknown';

/**
 * Matches a request against the configuration in force. If a route is split between services, requests with the same
 * shared prompt go to the same service, so that the prompt is not cached twice.
 */
export function assignRequest(
  context: RouterContext,
  req: IncomingMessage,
  request: CallerRequest,
): Result<Assignment, AssignmentFailure> {
  const index = context.readIndex();
  if (index === undefined) return Err('notReady');
  const match = index.match(req.headers.host ?? '', readPath(req.url ?? '/'), request.apiKey);
  if (match.type === 'refused') return Err(match.code);
  const { route, team } = match;
  const splitKey = readSharedPrompt(request.promptParts) ?? request.resumedRequestId ?? request.requestId;
  const service = pickTarget(route.targets, context.hash(splitKey)) ?? '';
  return Ok(assignToService(index, { route, team }, service));
}

/**
 * Assigns a request to another service of its route; undefined if the route does not lead there.
 *
 * @example moveToService(context, assignment, 'llm') // its stream began there, before the weights of the route changed
 */
export function moveToService(
  context: RouterContext,
  assignment: Assignment,
  service: string,
): Assignment | undefined {
  if (service === assignment.service) return assignment;
  const index = context.readIndex();
  const isTarget = assignment.route.targets.some((target) => target.service === service);
  return index === undefined || !isTarget ? undefined : assignToService(index, assignment, service);
}

function assignToService(
  index: RouteIndex,
  { route, team }: Pick<Assignment, 'route' | 'team'>,
  service: string,
): Assignment {
  const ranking = index.readRanking(service);
  const rank = ranking.readRank(route.priority, team?.priority);
  return {
    route,
    team,
    service,
    declared: index.findService(service),
    rank,
    urgency: readEndpointUrgency(rank, ranking.rankCount),
  };
}

function readPath(target: string): string {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
}
