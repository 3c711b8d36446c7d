/**
 * The world: the complete state of one box. Systems read and modify it; only `runTurn` calls them.
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

/** Identity of this box. */
export interface SelfIdentity {
  readonly boxId: BoxId;
  readonly hall: HallName;
  /** Changes at every start, so that a restarted box can be told from its previous run. */
  readonly incarnation: string;
}

/** Parsers of the published texts. Each result depends only on the text, so that all boxes get the same one. */
export interface ValueParsers {
  readonly declared: (text: string) => Result<Declaration, readonly Problem[]>;
  readonly boxes: (text: string) => Result<BoxList, readonly Problem[]>;
  readonly endpoints: (text: string) => Result<EndpointList, readonly Problem[]>;
}

/** External dependencies of the core. */
export interface CoreDependencies {
  readonly hasher: Hasher;
  /** Uniform in [0, 1). */
  readonly random: () => number;
  readonly parsers: ValueParsers;
}

/** The declared file, indexed by name. */
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

/** The complete state of one box. */
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
  /** Newest stamp of each value in any peer's heartbeat. */
  readonly newestPeerStamps: Record<ValueName, ValueStamp>;
  /** When the platform last confirmed each value to any box, by the clock of the box that asked. */
  readonly confirmedAtMs: Record<ValueName, number>;
  /** Whether the last text read from the platform did not come into force, as when the platform serves an older one. */
  readonly platformIsOlder: Record<ValueName, boolean>;

  readonly keys: Map<string, KeyRow>;
  /** Key handovers of boxes that shut down gracefully. */
  readonly keyHandovers: Map<BoxId, KeyHandover>;
  /** Epochs of key ownership, oldest first. */
  readonly keyOwnershipEpochs: KeyOwnershipEpoch[];
  /** Set when a version of the box list or of the declared file was skipped. */
  hasMissedVersion: boolean;
  /** Tickets with a serial up to this one may have been evicted from the table. */
  evictedUpToSerial: number;
  /** Timed keys with a time up to this one may have been evicted from the table. */
  evictedUpToTimeMs: number;
  /** Requests for keys that wait until the platform confirms the lists, oldest first. */
  heldKeys: HeldKey[];
  /** State of the call to the platform that they wait for. */
  listConfirmation: ListConfirmation;
  /** When an uncertainty about a key was last logged. */
  uncertaintyLoggedAtMs: number;
  /** Number of calls that this box has run as the owner of their key. */
  keyedCallCount: number;
  /** Retries that each service may still use. */
  readonly retryBudgets: Map<ServiceName, number>;

  /** Derived from boxes by the membership system. */
  live: LiveBoxes;
  /** Derived from endpoints by the endpoint ownership system. */
  endpointsByService: Map<ServiceName, EndpointRow[]>;
  /** Endpoints listed as live, by service; derived together with `endpointsByService`. */
  liveEndpointIds: ReadonlyMap<ServiceName, readonly EndpointId[]>;
  /** Set when live boxes or endpoints changed, so that the derived tables are recomputed. */
  topologyChanged: boolean;
  /** Set when the choice of boxes that watch the platform may have changed. */
  watchersChanged: boolean;
  /** Set when the owners of keys may have changed. */
  keyOwnershipChanged: boolean;
  /** Set when the home box of some chats may have changed, so that their directory entries must be handed over. */
  directoryHandoverPending: boolean;
  /** Result of the last call to the platform; `unknown` before the first one. */
  platformConnectivity: 'unknown' | 'ok' | 'failed';
  nextHeartbeatMs: number;
  nextSweepMs: number;
  roundRobinNext: number;
  stop: StopState;
  watchedValueNames: string;

  /** Endpoints whose queued calls may be able to start. */
  readonly dirtyEndpoints: Set<EndpointRow>;
  effects: Effect[];
}

/** Progress of a graceful shutdown. */
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
 * Creates the world of a box that has just started and has no published values.
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

/** Adds an effect, which the adapters carry out after the turn. */
export function emit(world: World, effect: Effect): void {
  world.effects.push(effect);
}

/** Increments a counter. */
export function count(world: World, counter: CounterName): void {
  world.effects.push({ type: 'count', counter });
}
