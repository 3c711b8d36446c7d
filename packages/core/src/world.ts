/**
 * The world: all tables of one box. Systems read and change it; only `runTurn` drives them.
 */
import type { CoreSettings } from './coreSettings.js';
import type { CounterName, Effect } from './effects.js';
import type { Hasher } from './hasher.js';
import type {
  BoxId,
  BoxList,
  Declaration,
  EndpointId,
  EndpointList,
  HallName,
  ServiceDeclaration,
  ServiceName,
  TeamDeclaration,
  TeamName,
  ValueName,
} from './records.js';
import type { Result } from './result.js';
import type { Problem } from './resultCodes.js';
import type { BoxRow } from './tables/boxes.js';
import type { ListConfirmation, HeldKey } from './systems/heldKeys.js';
import type { KeyHandover, KeyOwnershipEpoch } from './systems/keyOwnership.js';
import type { CallRow } from './tables/calls.js';
import { ChatDirectory } from './tables/directory.js';
import type { EndpointRow } from './tables/endpoints.js';
import type { RequestRow } from './tables/requests.js';
import type { KeyRow } from './tables/keys.js';
import { NO_STAMP } from './tables/values.js';
import type { ValueRow } from './tables/values.js';
import type { RequestId, ValueStamp } from './frames.js';

/** Who this box is. */
export interface SelfIdentity {
  readonly boxId: BoxId;
  readonly hall: HallName;
  /** New at every start, so that a restarted box is not taken for its former self. */
  readonly incarnation: string;
}

/** Checks of published texts. Each verdict depends on nothing but the text. */
export interface ValueParsers {
  readonly declared: (text: string) => Result<Declaration, readonly Problem[]>;
  readonly boxes: (text: string) => Result<BoxList, readonly Problem[]>;
  readonly endpoints: (text: string) => Result<EndpointList, readonly Problem[]>;
}

/** What the core needs from outside. */
export interface CoreDependencies {
  readonly hasher: Hasher;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly parsers: ValueParsers;
}

/** The declared file, indexed. */
export interface DeclaredIndex {
  readonly declaration: Declaration;
  readonly teams: ReadonlyMap<TeamName, TeamDeclaration>;
  readonly services: ReadonlyMap<ServiceName, ServiceDeclaration>;
}

/** Live boxes in this box's view. */
export interface LiveBoxes {
  readonly all: readonly BoxId[];
  readonly byHall: ReadonlyMap<HallName, readonly BoxId[]>;
}

/** Everything one box knows. */
export interface World {
  readonly self: SelfIdentity;
  readonly settings: CoreSettings;
  readonly deps: CoreDependencies;
  nowMs: number;
  startedMs: number;

  readonly boxes: Map<BoxId, BoxRow>;
  readonly endpoints: Map<EndpointId, EndpointRow>;
  readonly requests: Map<RequestId, RequestRow>;
  readonly calls: Map<string, CallRow>;
  readonly directory: ChatDirectory;
  readonly values: Record<ValueName, ValueRow>;
  declared: DeclaredIndex | undefined;
  /** Newest stamp that any peer showed. */
  readonly newestPeerStamps: Record<ValueName, ValueStamp>;
  /** When each value was last confirmed with the platform, by a box's clock. */
  readonly confirmedAtMs: Record<ValueName, number>;
  /** Whether the platform last answered with an older value than the one in force. */
  readonly platformIsOlder: Record<ValueName, boolean>;

  readonly keys: Map<string, KeyRow>;
  /** Last words of boxes that stopped as planned. */
  readonly keyHandovers: Map<BoxId, KeyHandover>;
  /** Who may own keys, oldest first. */
  readonly keyOwnershipEpochs: KeyOwnershipEpoch[];
  /** Set when a box list or declared file skipped a version. */
  hasMissedVersion: boolean;
  /** Tickets up to this one are no longer in the table. */
  evictedUpToSerial: number;
  /** Timed keys up to this time are no longer in the table. */
  evictedUpToTimeMs: number;
  /** Keys that wait for the platform to confirm the lists, oldest first. */
  heldKeys: HeldKey[];
  /** How asking the platform for that goes. */
  listConfirmation: ListConfirmation;
  /** When a doubt about a key was last logged. */
  uncertaintyLoggedAtMs: number;
  /** Calls this box has carried as an owner. */
  keyedCallCount: number;
  /** Retries each service may still spend. */
  readonly retryBudgets: Map<ServiceName, number>;

  /** Derived from boxes by the membership system. */
  live: LiveBoxes;
  /** Derived from endpoints by the stewardship system. */
  endpointsByService: Map<ServiceName, EndpointRow[]>;
  /** Endpoints listed as live, by service; derived with it. */
  liveEndpointIds: ReadonlyMap<ServiceName, readonly EndpointId[]>;
  /** Set when live boxes or endpoints changed, so that derived tables are made anew. */
  topologyChanged: boolean;
  /** Set when other boxes may be the ones to watch the platform. */
  watchersChanged: boolean;
  /** Set when keys may have other owners. */
  keyOwnershipChanged: boolean;
  /** Set when a home box may have changed for some chats. */
  directoryHandoverPending: boolean;
  /** How the last call to the platform went; `unknown` while this box has not had to ask. */
  platformConnectivity: 'unknown' | 'ok' | 'failed';
  nextHeartbeatMs: number;
  nextSweepMs: number;
  roundRobinNext: number;
  stop: StopState;
  watchedValueNames: string;

  /** Endpoints with calls waiting whose turn may have come. */
  readonly dirtyEndpoints: Set<EndpointRow>;
  effects: Effect[];
}

/** A planned stop's progress. */
export type StopState =
  | { readonly type: 'running' }
  | { readonly type: 'draining'; readonly sinceMs: number }
  | { readonly type: 'stopped' };

function createValueRow(name: ValueName): ValueRow {
  return { name, stamp: NO_STAMP, text: '', acceptedAtMs: -Infinity, problems: [], requestedAtMs: -Infinity };
}

function forEachValue<T>(create: (name: ValueName) => T): Record<ValueName, T> {
  return { declared: create('declared'), boxes: create('boxes'), endpoints: create('endpoints') };
}

/**
 * Creates the world of a box that has just started and knows nothing yet.
 *
 * @example createWorld({ boxId: 'b1', hall: 'mixco', incarnation: 'k3' }, DEFAULT_CORE_SETTINGS, deps, 0)
 */
export function createWorld(
  self: SelfIdentity,
  settings: CoreSettings,
  deps: CoreDependencies,
  nowMs: number,
): World {
  return {
    self,
    settings,
    deps,
    nowMs,
    startedMs: nowMs,
    boxes: new Map(),
    endpoints: new Map(),
    requests: new Map(),
    calls: new Map(),
    directory: new ChatDirectory(settings.maxChats, settings.maxEnginesPerChat),
    values: forEachValue(createValueRow),
    declared: undefined,
    newestPeerStamps: forEachValue(() => NO_STAMP),
    confirmedAtMs: forEachValue(() => 0),
    platformIsOlder: forEachValue(() => false),
    keys: new Map(),
    keyHandovers: new Map(),
    keyOwnershipEpochs: [],
    hasMissedVersion: false,
    evictedUpToSerial: -1,
    evictedUpToTimeMs: -Infinity,
    heldKeys: [],
    listConfirmation: { requestedAtMs: -Infinity, hasFailed: false },
    uncertaintyLoggedAtMs: -Infinity,
    keyedCallCount: 0,
    retryBudgets: new Map(),
    live: { all: [], byHall: new Map() },
    endpointsByService: new Map(),
    liveEndpointIds: new Map(),
    topologyChanged: true,
    watchersChanged: true,
    keyOwnershipChanged: true,
    directoryHandoverPending: false,
    platformConnectivity: 'unknown',
    nextHeartbeatMs: nowMs,
    nextSweepMs: nowMs,
    roundRobinNext: 0,
    stop: { type: 'running' },
    watchedValueNames: '',
    dirtyEndpoints: new Set(),
    effects: [],
  };
}

/** Hands an instruction to the adapters at the end of the turn. */
export function emit(world: World, effect: Effect): void {
  world.effects.push(effect);
}

/** Counts one occurrence. */
export function count(world: World, counter: CounterName): void {
  world.effects.push({ type: 'count', counter });
}
