/**
 * Fairness: which waiting call an endpoint starts next, and how much of it one team may hold.
 *
 * The team that holds least for its weight goes first. A part of every endpoint is kept for teams below their fair
 * share, so that a surging team cannot make a quiet one wait for a whole answer to end.
 */
import type { ServiceDeclaration, TeamDeclaration, TeamName } from '../records.js';
import type { CallRow } from '../tables/calls.js';
import type { EndpointRow } from '../tables/endpoints.js';
import type { World } from '../world.js';

/** A team's limit is split over the endpoints of a service; chance makes some get more than their part. */
const TEAM_LIMIT_SLACK = 1.25;
/** Fair shares leave room for one more team, which may come at any moment. */
const WEIGHT_OF_THE_NEXT_TEAM = 1;

function findTeam(world: World, name: TeamName): TeamDeclaration {
  return world.declared?.teams.get(name) ?? { name, weight: 1 };
}

function readRunning(row: EndpointRow, team: TeamName): number {
  return row.runningByTeam.get(team) ?? 0;
}

function sumActiveWeights(world: World, row: EndpointRow, team: TeamName): number {
  const active = new Set([team, ...row.runningByTeam.keys(), ...row.waitingByTeam.keys()]);
  let sum = WEIGHT_OF_THE_NEXT_TEAM;
  for (const name of active) sum += findTeam(world, name).weight;
  return sum;
}

/** Whether the team holds less of the endpoint than its weight entitles it to. */
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
 * Tells whether an endpoint can start one more call of a team now.
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
  const open = Math.floor(service.maxInFlightPerEndpoint * (1 - world.settings.reserveShare));
  return running < open || isBelowFairShare(world, row, service, team);
}

/** Tells whether the team holds its part of its region-wide limit at this endpoint. */
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

/** Puts a call among its team's waiting ones: by priority, then by deadline. */
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

/** Takes a call out of its team's waiting ones. */
export function dequeueCall(row: EndpointRow, call: CallRow): void {
  const { team } = call.assign.head;
  const queue = row.waitingByTeam.get(team);
  const index = queue?.indexOf(call) ?? -1;
  if (queue === undefined || index < 0) return;
  queue.splice(index, 1);
  row.waiting -= 1;
  if (queue.length === 0) row.waitingByTeam.delete(team);
}

/** Picks the waiting call to start next, or none if nothing may start now. */
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

/** Adjusts the count of a team's running calls. */
export function addRunning(row: EndpointRow, team: TeamName, delta: number): void {
  const running = readRunning(row, team) + delta;
  if (running <= 0) row.runningByTeam.delete(team);
  else row.runningByTeam.set(team, running);
  row.inFlight += delta;
  row.peakInFlight = Math.max(row.peakInFlight, row.inFlight);
}
