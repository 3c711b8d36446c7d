/**
 * Configuration: published values are accepted whole, only ever replaced by newer ones, and spread between boxes.
 *
 * A few boxes of each hall watch the platform; the rest learn of a newer value from a peer's heartbeat and ask for
 * it. A watcher that cannot reach the platform is passed over, so that the reading falls to whoever can.
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

/** A request for a value is repeated after this long without an answer. */
const VALUE_REQUEST_TIMEOUT_MS = 1_000;

function indexDeclaration(declaration: Declaration): DeclaredIndex {
  return {
    declaration,
    teams: new Map(declaration.teams.map((team) => [team.name, team])),
    services: new Map(declaration.services.map((service) => [service.name, service])),
  };
}

function parseAndApply(world: World, name: ValueName, text: string): Result<ParsedValue, readonly Problem[]> {
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
  emit(world, { type: 'log', level: 'warn', message: `refused ${name}: ${detail}` });
}

/**
 * Accepts a published text if it is valid and newer than the one in force; otherwise leaves everything as it is.
 *
 * @example acceptText(world, 'declared', toml)
 */
export function acceptText(world: World, name: ValueName, text: string): void {
  const row = world.values[name];
  if (text === row.text) return;
  const parsed = parseAndApply(world, name, text);
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
  // Peers learn of it from the next heartbeat; that one goes out now rather than in its turn.
  world.nextHeartbeatMs = world.nowMs;
}

/** A peer's word on a value: that it holds a newer one, or that the same one was confirmed since. */
function noteStamp(world: World, name: ValueName, theirs: ValueStamp, confirmedAtMs: number): void {
  if (isNewer(theirs, world.newestPeerStamps[name])) world.newestPeerStamps[name] = theirs;
  if (isNewer(world.values[name].stamp, theirs)) return;
  world.confirmedAtMs[name] = Math.max(world.confirmedAtMs[name], confirmedAtMs);
}

/** Asks a peer for the values of which it holds a newer version. */
export function compareStamps(world: World, from: BoxId, frame: HeartbeatFrame): void {
  VALUE_NAMES.forEach((name, index) => {
    const theirs = frame.stamps[index];
    const row = world.values[name];
    if (theirs === undefined) return;
    noteStamp(world, name, theirs, frame.confirmedAtMs[index] ?? 0);
    if (!isNewer(theirs, row.stamp)) return;
    if (world.nowMs - row.requestedAtMs < VALUE_REQUEST_TIMEOUT_MS) return;
    row.requestedAtMs = world.nowMs;
    emit(world, { type: 'send', to: from, frame: { type: 'valueRequest', name } });
  });
}

/** Gives a peer the value it asked for. */
export function handleValueRequest(world: World, from: BoxId, name: ValueName): void {
  const { text } = world.values[name];
  if (text !== '') emit(world, { type: 'send', to: from, frame: { type: 'value', name, text } });
}

/** Takes a value from a peer as if it had been read from the platform. */
export function handleValue(world: World, frame: ValueFrame): void {
  acceptText(world, frame.name, frame.text);
}

/** Notes whether the platform answered. */
export function handlePlatformContact(world: World, name: ValueName, ok: boolean, askedAtMs: number): void {
  const contact = ok ? 'ok' : 'failed';
  if (contact !== world.platformConnectivity) world.watchersChanged = true;
  world.platformConnectivity = contact;
  if (!ok) world.listConfirmation.hasFailed = true;
  if (!ok || world.platformIsOlder[name]) return;
  world.confirmedAtMs[name] = Math.max(world.confirmedAtMs[name], askedAtMs);
}

/** Takes a text that the platform answered with; one older than the text in force confirms nothing. */
export function handleValueRead(world: World, name: ValueName, text: string): void {
  acceptText(world, name, text);
  world.platformIsOlder[name] = text !== world.values[name].text;
}

function isWatcher(world: World, name: ValueName): boolean {
  // A box that cannot reach the platform keeps trying, but is no longer one of the watchers that others count on.
  if (world.platformConnectivity === 'failed') return true;
  const hallBoxes = world.live.byHall.get(world.self.hall) ?? [];
  const able = hallBoxes.filter((id) => id === world.self.boxId || world.boxes.get(id)?.platformOk === true);
  const ranked = rankByRendezvous(world.deps.hasher, name, able);
  return ranked.slice(0, world.settings.watchersPerValue).includes(world.self.boxId);
}

/** Decides which values this box watches on the platform. */
export function runConfiguration(world: World): void {
  if (!world.watchersChanged) return;
  world.watchersChanged = false;
  const knowsPeers = world.values.boxes.text !== '';
  const names = VALUE_NAMES.filter(
    (name) => !knowsPeers || world.values[name].text === '' || isWatcher(world, name),
  );
  const key = names.join();
  if (key === world.watchedValueNames) return;
  world.watchedValueNames = key;
  emit(world, { type: 'watchValues', names });
}

/** Tells whether the box knows enough to take callers. */
export function isReady(world: World): boolean {
  const knowsAll = world.declared !== undefined && world.values.endpoints.text !== '';
  return knowsAll && world.values.boxes.text !== '' && world.stop.type === 'running';
}
