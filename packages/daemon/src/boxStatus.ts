/**
 * Status of a box as the admin server reports it: the revision in force, live boxes, endpoints and their owners, counters of
 * refusals and retries. The fields are the JSON of the admin server and keep their names.
 */
import type { EndpointId, World } from '@hazelwalk/core';
import { directoryKey, findHomeBox, isReady, rankCandidates, readLoad } from '@hazelwalk/core';
import type { Metrics } from './adapters/metrics.js';
import type { PeerBytes } from './adapters/peerLinks.js';

/** One endpoint in a box's status. */
export interface EndpointStatus {
  readonly id: EndpointId;
  /** Id of the box that owns the endpoint. */
  readonly steward: string | null;
  readonly load: number;
  readonly waiting: number;
  readonly state: 'live' | 'leaving' | 'absent' | 'ejected' | 'onTrial';
}

/** Status of one box. */
export interface BoxStatus {
  readonly boxId: string;
  readonly hall: string;
  readonly incarnation: string;
  readonly ready: boolean;
  readonly stopping: boolean;
  readonly revision: number;
  readonly versions: Readonly<Record<string, number>>;
  readonly refusedRevisionProblems: readonly string[];
  readonly platform: string;
  readonly liveBoxes: readonly string[];
  readonly endpoints: readonly EndpointStatus[];
  readonly requestsInFlight: number;
  readonly callsInFlight: number;
  readonly chats: number;
  readonly counters: Readonly<Record<string, number>>;
  readonly bytes: { readonly control: number; readonly request: number; readonly platformAndReports: number };
  readonly cpuMs: number;
  readonly memoryBytes: number;
  readonly uptimeMs: number;
}

const MICROSECONDS_PER_MS = 1_000;

function describeEndpoints(world: World): EndpointStatus[] {
  return [...world.endpoints.values()].map((row) => ({
    id: row.id,
    steward: row.ownerId ?? null,
    load: readLoad(world, row),
    waiting: row.waiting,
    state: describeState(world, row),
  }));
}

type EndpointRow = World['endpoints'] extends Map<string, infer Row> ? Row : never;

function describeState(world: World, row: EndpointRow): EndpointStatus['state'] {
  if (!row.listed) return 'absent';
  if (row.record.state === 'leaving' || row.reportedLeaving) return 'leaving';
  if (world.nowMs < row.ejectedUntilMs) return 'ejected';
  return world.nowMs < row.trustedFromMs ? 'onTrial' : 'live';
}

/** Builds the status of a box from the core's tables. */
export function readBoxStatus(
  world: World,
  metrics: Metrics,
  bytes: PeerBytes,
  controlHttpBytes: number,
): BoxStatus {
  const cpu = process.cpuUsage();
  return {
    boxId: world.self.boxId,
    hall: world.self.hall,
    incarnation: world.self.incarnation,
    ready: isReady(world),
    stopping: world.stop.type !== 'running',
    revision: world.declared?.declaration.revision ?? 0,
    versions: { boxes: world.values.boxes.stamp[0], endpoints: world.values.endpoints.stamp[0] },
    refusedRevisionProblems: world.values.declared.problems.map(
      (problem) => `${problem.at}: ${problem.detail}`,
    ),
    platform: world.platformConnectivity,
    liveBoxes: world.live.all,
    endpoints: describeEndpoints(world),
    requestsInFlight: world.requests.size,
    callsInFlight: world.calls.size,
    chats: world.directory.size,
    counters: metrics.snapshot(),
    bytes: { control: bytes.controlSent, request: bytes.requestSent, platformAndReports: controlHttpBytes },
    cpuMs: (cpu.user + cpu.system) / MICROSECONDS_PER_MS,
    memoryBytes: process.memoryUsage.rss(),
    uptimeMs: world.nowMs - world.startedMs,
  };
}

/** How this box would place a chat, and why. The fields are the JSON of the admin server and keep their names. */
export interface ChatExplanation {
  readonly chat: string;
  readonly model: string;
  /** Id of the chat's home box, the partition owner of its directory entry. */
  readonly home: string | null;
  /** Whether this box is the chat's home box. */
  readonly isHome: boolean;
  /** Engines that have the chat's prefix cached. */
  readonly warm: readonly EndpointId[];
  /** Candidates in the order in which they are tried. */
  readonly candidates: readonly {
    readonly id: EndpointId;
    readonly steward: string | null;
    readonly load: number;
  }[];
  readonly problem: string | null;
}

/** Explains the placement of a chat. */
export function explainChat(world: World, model: string, chat: string): ChatExplanation {
  const service = world.declared?.services.get(model);
  const home = findHomeBox(world, model, chat) ?? null;
  const ranked = service === undefined ? [] : rankCandidates(world, service, chat);
  return {
    chat,
    model,
    home,
    isHome: home === world.self.boxId,
    warm: world.directory.read(directoryKey(model, chat)),
    candidates: ranked.map((row) => ({
      id: row.id,
      steward: row.ownerId ?? null,
      load: readLoad(world, row),
    })),
    problem: service === undefined ? `HW2006 the model "${model}" is not declared` : null,
  };
}
