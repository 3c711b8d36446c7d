/** Finds out what a request is for. */
import type { IncomingMessage } from 'node:http';
import { Err, Ok } from '@hazelwalk/core';
import type { Result } from '@hazelwalk/core';
import type { CallerRequest, Route, Service, Team } from '../records.js';
import type { RouterContext } from '../routerContext.js';
import { readSharedPrompt } from '../systems/placement.js';
import { pickTarget } from '../systems/routeIndex.js';

/** What a request is for. */
export interface Assignment {
  readonly route: Route;
  readonly team: Team | undefined;
  readonly service: string;
  /** Undefined if the configuration names the service but does not declare it. */
  readonly declared: Service | undefined;
}

/** Why a request is for nobody. */
export type AssignmentFailure = 'notReady' | 'routeUnknown' | 'apiKeyUnknown';

/**
 * Matches a request with the configuration in force. Requests that share a prompt go to the same service of a split
 * route, so that the prompt is not kept twice.
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
  const spread = readSharedPrompt(request.promptParts) ?? request.requestId;
  const service = pickTarget(route.targets, context.hash(spread)) ?? '';
  return Ok({ route, team, service, declared: index.findService(service) });
}

function readPath(target: string): string {
  const query = target.indexOf('?');
  return query < 0 ? target : target.slice(0, query);
}
