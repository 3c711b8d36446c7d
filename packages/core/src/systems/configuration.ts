/**
 * Configuration: a published value is accepted as a whole, replaced only by a newer one, and distributed between boxes.
 *
 * A few boxes of each hall watch the platform; the others see a newer version in a peer's heartbeat and request it from
 * that peer. Boxes that cannot reach the platform are skipped in the choice of watchers, so that others take over.
 */
import type { HeartbeatFrame, ValueFrame, ValueStamp } from '../frames.js';
import { rankByRendezvous } from '../hasher.js';
import type { BoxId, Declaration, ValueName } from '../records.js';
import { VALUE_NAMES } from '../records.js';
import { formatProblem } from '../resultCodes.js';
import type { Problem } from '../resultCodes.js';
import type { Result } from '../result.js';
import { isNewer } from '../tables/values.js';
import type { DeclaredIndex, World } from '../world.js';
import { count, emit } from '../world.js';
import { applyBoxList } from './membership.js';
import { applyEndpointList } from './endpointOwnership.js';

/** Time without a response after which a value is requested again. */
const VALUE_REQUEST_TIMEOUT_MS = 1_000;

function indexDeclaration(declaration: Declaration): DeclaredIndex {
  return {
    declaration,
    teams: new Map(declaration.teams.map((team) => [team.name, team])),
    services: new Map(declaration.services.map((service) => [service.name, service])),
  };
}

function parseValue(world: World, name: ValueName, text: string): Result<ParsedValue, readonly Problem[]> {
  const { parsers } = world.deps;
  switch (name) {
    case 'declared':
      return parsers.declared(text).map((declaration) => ({
        version: declaration.revision,
        apply: () => {
          world.declared = indexDeclaration(declaration);
        },
      }));
    case 'boxes':
      return parsers.boxes(text).map((list) => ({
        version: list.version,
        apply: () => applyBoxList(world, list),
      }));
    case 'endpoints':
      return parsers.endpoints(text).map((list) => ({
        version: list.version,
        apply: () => applyEndpointList(world, list),
      }));
  }
}

interface ParsedValue {
  readonly version: number;
  readonly apply: () => void;
}

function rejectText(world: World, name: ValueName, problems: readonly Problem[]): void {
  world.values[name].problems = problems;
  count(world, 'value.rejected');
  const first = problems[0];
  const detail = first === undefined ? 'no reason given' : formatProblem(first);
  emit(world, { type: 'log', level: 'warn', message: `rejected published value "${name}": ${detail}` });
}

/**
 * Accepts a published text if it is valid and newer than the one in force; otherwise the latter stays in force.
 *
 * @example acceptText(world, 'declared', toml)
 */
export function acceptText(world: World, name: ValueName, text: string): void {
  const row = world.values[name];
  if (text === row.text) return;
  const parsed = parseValue(world, name, text);
  if (parsed.err) return rejectText(world, name, parsed.val);
  const stamp: ValueStamp = [parsed.val.version, world.deps.hasher.h32(text)];
  if (row.text !== '' && stamp[0] === row.stamp[0]) count(world, 'value.conflict');
  if (!isNewer(stamp, row.stamp)) return count(world, 'value.older');
  if (row.text !== '' && name !== 'endpoints' && stamp[0] !== row.stamp[0] + 1) world.hasMissedVersion = true;
  row.stamp = stamp;
  row.text = text;
  row.problems = [];
  row.acceptedAtMs = world.nowMs;
  parsed.val.apply();
  world.watchersChanged = true;
  world.keyOwnershipChanged = true;
  count(world, 'value.accepted');
  emit(world, { type: 'log', level: 'info', message: `${name} version ${stamp[0]} is in force` });
  // The next heartbeat announces the version to peers; it is sent immediately instead of at its regular time.
  world.nextHeartbeatMs = world.nowMs;
}

/**
 * Records a peer's stamp of a value if it is the newest seen, and the time of the peer's confirmation unless the peer has
 * an older version than this box.
 */
function recordPeerStamp(world: World, name: ValueName, theirs: ValueStamp, confirmedAtMs: number): void {
  if (isNewer(theirs, world.newestPeerStamps[name])) world.newestPeerStamps[name] = theirs;
  if (isNewer(world.values[name].stamp, theirs)) return;
  world.confirmedAtMs[name] = Math.max(world.confirmedAtMs[name], confirmedAtMs);
}

/**
 * Compares the stamps in a peer's heartbeat with this box's, and requests values of which the peer has a newer version.
 */
export function compareStamps(world: World, from: BoxId, frame: HeartbeatFrame): void {
  VALUE_NAMES.forEach((name, index) => {
    const theirs = frame.stamps[index];
    const row = world.values[name];
    if (theirs === undefined) return;
    recordPeerStamp(world, name, theirs, frame.confirmedAtMs[index] ?? 0);
    if (!isNewer(theirs, row.stamp)) return;
    if (world.nowMs - row.requestedAtMs < VALUE_REQUEST_TIMEOUT_MS) return;
    row.requestedAtMs = world.nowMs;
    emit(world, { type: 'send', to: from, frame: { type: 'valueRequest', name } });
  });
}

/** Sends a peer the value that it requested, if this box has it. */
export function handleValueRequest(world: World, from: BoxId, name: ValueName): void {
  const { text } = world.values[name];
  if (text !== '') emit(world, { type: 'send', to: from, frame: { type: 'value', name, text } });
}

/** Handles a value received from a peer in the same way as one read from the platform. */
export function handleValue(world: World, frame: ValueFrame): void {
  acceptText(world, frame.name, frame.text);
}

/** Records the result of a call to the platform; a successful one confirms the value as of the time of the request. */
export function handlePlatformContact(
  world: World,
  name: ValueName,
  ok: boolean,
  requestedAtMs: number,
): void {
  const connectivity = ok ? 'ok' : 'failed';
  if (connectivity !== world.platformConnectivity) world.watchersChanged = true;
  world.platformConnectivity = connectivity;
  if (!ok) world.listConfirmation.hasFailed = true;
  if (!ok || world.platformIsOlder[name]) return;
  world.confirmedAtMs[name] = Math.max(world.confirmedAtMs[name], requestedAtMs);
}

/** Handles a text read from the platform. If another text stays in force, the read confirms nothing. */
export function handleValueRead(world: World, name: ValueName, text: string): void {
  acceptText(world, name, text);
  world.platformIsOlder[name] = text !== world.values[name].text;
}

function isWatcher(world: World, name: ValueName): boolean {
  // A box that cannot reach the platform keeps trying, but is not counted among the watchers of its hall.
  if (world.platformConnectivity === 'failed') return true;
  const hallBoxes = world.live.byHall.get(world.self.hall) ?? [];
  const connectedIds = hallBoxes.filter(
    (id) => id === world.self.boxId || world.boxes.get(id)?.platformOk === true,
  );
  const ranked = rankByRendezvous(world.deps.hasher, name, connectedIds);
  return ranked.slice(0, world.settings.watchersPerValue).includes(world.self.boxId);
}

/** Updates which values this box watches on the platform. */
export function runConfiguration(world: World): void {
  if (!world.watchersChanged) return;
  world.watchersChanged = false;
  const hasBoxList = world.values.boxes.text !== '';
  const names = VALUE_NAMES.filter(
    (name) => !hasBoxList || world.values[name].text === '' || isWatcher(world, name),
  );
  const joinedNames = names.join();
  if (joinedNames === world.watchedValueNames) return;
  world.watchedValueNames = joinedNames;
  emit(world, { type: 'watchValues', names });
}

/** Whether the box has all published values and is not stopping, so that it can accept callers' requests. */
export function isReady(world: World): boolean {
  const hasConfiguration = world.declared !== undefined && world.values.endpoints.text !== '';
  return hasConfiguration && world.values.boxes.text !== '' && world.stop.type === 'running';
}
