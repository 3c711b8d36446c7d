/**
 * Fairness: which queued call an endpoint starts next, and how much of its capacity one team may use.
 *
 * The team with the fewest running calls for its weight goes first (weighted fair queueing). A part of every endpoint's
 * capacity is reserved for teams below their fair share, so that a surging team cannot make a quiet one wait until a
 * whole response has ended.
 */
import type { ServiceDeclaration, TeamDeclaration, TeamName } from '../records.js';
import type { CallRow } from '../tables/calls.js';
import type { EndpointRow } from '../tables/endpoints.js';
import type { World } from '../world.js';

/** A team's limit is divided among the endpoints of a service; this slack is for those that by chance get more calls. */
const TEAM_LIMIT_SLACK = 1.25;
/** Weight of a team that is not active yet but may become so at any time; fair shares leave capacity for it. */
const NEXT_TEAM_WEIGHT = 1;

function findTeam(world: World, name: TeamName): TeamDeclaration {
  return world.declared?.teams.get(name) ?? { name, weight: 1 };
}

function readRunning(row: EndpointRow, team: TeamName): number {
  return row.runningByTeam.get(team) ?? 0;
}

function sumActiveWeights(world: World, row: EndpointRow, team: TeamName): number {
  const active = new Set([team, ...row.runningByTeam.keys(), ...row.waitingByTeam.keys()]);
  let sum = NEXT_TEAM_WEIGHT;
  for (const name of active) sum += findTeam(world, name).weight;
  return sum;
}

/** Whether the team uses less of the endpoint's capacity than its fair share by weight. */
function isBelowFairShare(
  world: World,
  row: EndpointRow,
  service: ServiceDeclaration,
  team: TeamName,
): boolean {
  const fairPart = findTeam(world, team).weight / sumActiveWeights(world, row, team);
  return readRunning(row, team) < fairPart * service.maxInFlightPerEndpoint;
}

/**
 * Whether an endpoint can start one more call of a team now.
 *
 * @example canStart(world, row, service, 'hotel-chain')
 */
export function canStart(
  world: World,
  row: EndpointRow,
  service: ServiceDeclaration,
  team: TeamName,
): boolean {
  const running = row.inFlight + row.foreignLoad;
  if (running >= service.maxInFlightPerEndpoint) return false;
  const unreserved = Math.floor(service.maxInFlightPerEndpoint * (1 - world.settings.reserveShare));
  return running < unreserved || isBelowFairShare(world, row, service, team);
}

/** Whether the team has reached this endpoint's part of its region-wide limit. */
export function isAtTeamLimit(
  world: World,
  row: EndpointRow,
  service: ServiceDeclaration,
  team: TeamName,
): boolean {
  const { maxInFlight } = findTeam(world, team);
  if (maxInFlight === undefined) return false;
  const endpoints = world.endpointsByService.get(service.name)?.length ?? 1;
  const part = Math.max(1, Math.ceil((maxInFlight * TEAM_LIMIT_SLACK) / endpoints));
  const held = readRunning(row, team) + (row.waitingByTeam.get(team)?.length ?? 0);
  return held >= part;
}

/** Inserts a call into its team's queue: by priority, then by deadline. */
export function enqueueCall(row: EndpointRow, call: CallRow): void {
  const { team, priority } = call.assign.head;
  const queue = row.waitingByTeam.get(team) ?? [];
  const goesBefore = (other: CallRow): boolean =>
    priority > other.assign.head.priority ||
    (priority === other.assign.head.priority && call.deadlineMs < other.deadlineMs);
  const index = queue.findIndex(goesBefore);
  queue.splice(index < 0 ? queue.length : index, 0, call);
  row.waitingByTeam.set(team, queue);
  row.waiting += 1;
}

/** Removes a call from its team's queue. */
export function dequeueCall(row: EndpointRow, call: CallRow): void {
  const { team } = call.assign.head;
  const queue = row.waitingByTeam.get(team);
  const index = queue?.indexOf(call) ?? -1;
  if (queue === undefined || index < 0) return;
  queue.splice(index, 1);
  row.waiting -= 1;
  if (queue.length === 0) row.waitingByTeam.delete(team);
}

/** Picks the queued call to start next; undefined if none may start now. */
export function pickNextCall(world: World, row: EndpointRow): CallRow | undefined {
  let best: CallRow | undefined;
  let bestHeld = Infinity;
  for (const [team, queue] of row.waitingByTeam) {
    const held = readRunning(row, team) / findTeam(world, team).weight;
    const head = queue[0];
    const service = head === undefined ? undefined : world.declared?.services.get(head.assign.head.service);
    if (service === undefined || held >= bestHeld || !canStart(world, row, service, team)) continue;
    best = head;
    bestHeld = held;
  }
  return best;
}

/** Adjusts the number of a team's running calls at an endpoint. */
export function addRunning(row: EndpointRow, team: TeamName, delta: number): void {
  const running = readRunning(row, team) + delta;
  if (running <= 0) row.runningByTeam.delete(team);
  else row.runningByTeam.set(team, running);
  row.inFlight += delta;
  row.peakInFlight = Math.max(row.peakInFlight, row.inFlight);
}
