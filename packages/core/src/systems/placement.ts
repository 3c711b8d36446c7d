/**
 * Placement: the order in which endpoints are tried for a request.
 */
import type { AssignFrame, AttemptRef, RequestHead } from '../frames.js';
import { rankByRendezvous } from '../hasher.js';
import type { BoxId, EndpointId, ServiceDeclaration } from '../records.js';
import type { EndpointRow } from '../tables/endpoints.js';
import type { World } from '../world.js';
import { directoryKey } from './chatDirectory.js';
import { listUsable, readLoad, readRampShare } from './load.js';
import { listOwnedLoads } from './endpointOwnership.js';

/** Sorts by load relative to the ramp share, so that an engine in slow start does not look idle. */
function sortByLoad(world: World, rows: readonly EndpointRow[]): EndpointRow[] {
  const loads = new Map(rows.map((row) => [row, readLoad(world, row) / readRampShare(world, row)]));
  return [...rows].sort((a, b) => (loads.get(a) ?? 0) - (loads.get(b) ?? 0));
}

function rankRowsByRendezvous(world: World, key: string, rows: readonly EndpointRow[]): EndpointRow[] {
  const byId = new Map(rows.map((row) => [row.id, row]));
  const order = rankByRendezvous(world.deps.hasher, key, [...byId.keys()]);
  return order.flatMap((id) => byId.get(id) ?? []);
}

/**
 * Ranks warm engines first, by load; without any, the chat's two best engines by rendezvous hashing, by load. The
 * remaining engines follow by load.
 */
function rankWarmFirst(
  world: World,
  model: string,
  chat: string,
  rows: readonly EndpointRow[],
): EndpointRow[] {
  const warmIds = world.directory.read(directoryKey(model, chat));
  const warm = sortByLoad(
    world,
    rows.filter((row) => warmIds.includes(row.id)),
  );
  const firstChoices = warm.length > 0 ? [] : rankRowsByRendezvous(world, chat, rows).slice(0, 2);
  const chosen = [...warm, ...sortByLoad(world, firstChoices)];
  const rest = rows.filter((row) => !chosen.includes(row));
  return [...chosen, ...sortByLoad(world, rest)];
}

function pickRandomRows(world: World, rows: readonly EndpointRow[], picks: number): EndpointRow[] {
  const pool = [...rows];
  const picked: EndpointRow[] = [];
  while (picked.length < picks && pool.length > 0) {
    const index = Math.floor(world.deps.random() * pool.length);
    picked.push(...pool.splice(index, 1));
  }
  return picked;
}

function rotate(world: World, rows: readonly EndpointRow[]): EndpointRow[] {
  if (rows.length === 0) return [];
  const start = world.roundRobinNext % rows.length;
  world.roundRobinNext += 1;
  return [...rows.slice(start), ...rows.slice(0, start)];
}

function rankEngines(world: World, model: string, chat: string, rows: readonly EndpointRow[]): EndpointRow[] {
  const { policy } = world.settings;
  switch (policy.type) {
    case 'steward':
      return rankWarmFirst(world, model, chat, rows);
    case 'local':
      return rankRowsByRendezvous(world, chat, rows);
    case 'leastLoaded':
      return sortByLoad(world, pickRandomRows(world, rows, policy.choices));
    case 'roundRobin':
      return rotate(world, rows);
  }
}

/**
 * A plain service has no prefix cache: ranks two random endpoints first, the less loaded before the other, then the
 * rest by load.
 */
function rankPlain(world: World, rows: readonly EndpointRow[]): EndpointRow[] {
  const two = sortByLoad(world, pickRandomRows(world, rows, 2));
  return [
    ...two,
    ...sortByLoad(
      world,
      rows.filter((row) => !two.includes(row)),
    ),
  ];
}

/** Ranks the candidate endpoints of a request, best first. */
export function rankCandidates(world: World, service: ServiceDeclaration, chat: string): EndpointRow[] {
  const rows = listUsable(world, service);
  const ranked =
    service.kind === 'model' ? rankEngines(world, service.name, chat, rows) : rankPlain(world, rows);
  return ranked.slice(0, world.settings.maxCandidates);
}

/**
 * Builds the assignment for a request. A later attempt starts further down the ranking, since the first candidates of
 * the earlier attempt may be the ones that were lost.
 */
export function buildAssignment(
  world: World,
  ref: AttemptRef,
  entry: BoxId,
  home: BoxId,
  head: RequestHead,
  service: ServiceDeclaration,
): AssignFrame {
  const ids: EndpointId[] = rankCandidates(world, service, head.chat).map((row) => row.id);
  const skip = ids.length === 0 ? 0 : (ref.attempt - 1) % ids.length;
  return {
    type: 'assign',
    requestId: ref.requestId,
    attempt: ref.attempt,
    entry,
    home,
    head,
    candidates: [...ids.slice(skip), ...ids.slice(0, skip)],
    hops: 0,
    observed: listOwnedLoads(world),
    passed: [],
    isLast: false,
    reason: 'noEndpoint',
  };
}
