/** How much of a box's machine callers may take together. */

/** The machine of a box, as its settings state it. */
export interface MachineResources {
  readonly memoryBytes: number;
  readonly descriptors: number;
}

/** Limits of what a box grants its callers. Times are in milliseconds, shares are from 0 to 1. */
export interface CallerResourceLimits {
  /**
   * Share of the memory that the process itself does not need, for bytes: bodies, and what is received and not parsed or written and
   * not taken.
   */
  readonly memoryShare: number;
  /** Share of the whole memory for objects: connections, unfinished heads and requests. */
  readonly heapShare: number;
  /** Share of the descriptors, without those kept for files; the others are for endpoints, boxes and the platform. */
  readonly descriptorShare: number;
  /** Requests of one connection that are read before the first of them is answered; further ones stay unread. */
  readonly queuedRequests: number;
  /** Processor time that is spent at a time on callers whose bytes take much of it. */
  readonly turnMs: number;
  /** Time without progress after which a caller gives way to others that wait. */
  readonly stallMs: number;
  /** Time after which a connection is closed whose caller takes nothing of what was written to it. */
  readonly unreadMs: number;
}

/** Default and range of a limit. */
export interface LimitRange {
  readonly standard: number;
  readonly min: number;
  readonly max: number;
}

/** The limits that settings may change. No caller inside the limits of a configuration meets the defaults in calm. */
export const CALLER_RESOURCE_RANGES: Readonly<Record<keyof CallerResourceLimits, LimitRange>> = {
  memoryShare: { standard: 0.5, min: 0.05, max: 0.8 },
  heapShare: { standard: 0.08, min: 0.02, max: 0.3 },
  descriptorShare: { standard: 0.5, min: 0.1, max: 0.8 },
  queuedRequests: { standard: 16, min: 1, max: 1_000 },
  turnMs: { standard: 5, min: 1, max: 100 },
  stallMs: { standard: 1_000, min: 100, max: 60_000 },
  unreadMs: { standard: 30_000, min: 1_000, max: 600_000 },
};

/** The limits of a box whose settings change none. */
export const DEFAULT_CALLER_RESOURCE_LIMITS = Object.fromEntries(
  Object.entries(CALLER_RESOURCE_RANGES).map(([name, { standard }]) => [name, standard]),
) as unknown as CallerResourceLimits;

/** What all callers of a box may take together. */
export interface CallerTotals {
  readonly connections: number;
  /** Bytes of memory outside the heap. */
  readonly heldBytes: number;
  /** Bytes of the heap, as estimated for each kind of object. */
  readonly heapBytes: number;
}

/** Memory of a process without callers, and of buffers that are not used any more and not collected yet. */
const OWN_BYTES = 150 * 1_048_576;
/** Share of the memory that is left to callers where a machine has hardly more. */
const LEAST_MEMORY_SHARE = 0.05;
/** Descriptors that a process keeps for files; sockets share the rest. */
const FILE_DESCRIPTORS = 200;

/** Part of the sockets, and of the memory left by the process itself, that tunnels for other boxes may take: one in so many. */
const TUNNEL_PART = 4;
const SOCKETS_PER_TUNNEL = 2;
/** What a tunnel buffers while one of its sides does not read: a frame, and what streams hold. */
const BYTES_PER_TUNNEL = 81_920;

/**
 * Derives how many tunnels a box may serve at a time: callers of other boxes are behind them.
 *
 * @example deriveTunnelLimit({ memoryBytes: 350 * 1_048_576, descriptors: 4_100 }) // 487
 */
export function deriveTunnelLimit({ memoryBytes, descriptors }: MachineResources): number {
  const sockets = (descriptors - FILE_DESCRIPTORS) / TUNNEL_PART / SOCKETS_PER_TUNNEL;
  const buffers = (memoryBytes - OWN_BYTES) / TUNNEL_PART / BYTES_PER_TUNNEL;
  return Math.max(1, Math.floor(Math.min(sockets, buffers)));
}

/**
 * Derives what callers may take from the machine of a box.
 *
 * @example deriveCallerTotals({ memoryBytes: 350e6, descriptors: 4_100 }, DEFAULT_CALLER_RESOURCE_LIMITS).connections // 1_950
 */
export function deriveCallerTotals(machine: MachineResources, limits: CallerResourceLimits): CallerTotals {
  const sockets = Math.max(1, machine.descriptors - FILE_DESCRIPTORS);
  const free = machine.memoryBytes - OWN_BYTES;
  return {
    connections: Math.max(1, Math.floor(sockets * limits.descriptorShare)),
    heldBytes: Math.floor(Math.max(free * limits.memoryShare, machine.memoryBytes * LEAST_MEMORY_SHARE)),
    heapBytes: Math.floor(machine.memoryBytes * limits.heapShare),
  };
}
