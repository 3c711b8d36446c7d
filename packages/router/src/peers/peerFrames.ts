/**
 * Schemas of the frames between boxes: heartbeats with loads and versions, membership, sums of loads, crash reports, and
 * published values for boxes that lack them. `peerFrameCodec.ts` encodes the frames.
 */
import * as z from 'zod';
import type { ListedEndpoint } from '../records.js';
import type { PlatformReport } from '../systems/platformConnectivity.js';
import { configurationChangeSchema, fleetConfigurationSchema } from './configurationSchema.js';
import {
  tunnelDataSchema,
  tunnelEndSchema,
  tunnelReplySchema,
  tunnelRequestSchema,
  tunnelRetireSchema,
} from '../tunnels/tunnelFrames.js';
import { crashedRunSchema, crashReportsSchema, quarantinedRequestSchema } from './crashFrames.js';
import { streamLookupReplySchema, streamLookupSchema, streamOriginsSchema } from '../streams/streamFrames.js';
import { slotAnswersSchema, slotReleasesSchema, slotRequestsSchema } from './slotFrames.js';

/**
 * Large frames consist mostly of lists of numbers. They are checked as a whole, since `z.array` would check each entry
 * against a schema, which makes decoding several times slower.
 */
const numberList = z.custom<number[]>(
  (value) => Array.isArray(value) && value.every((entry) => Number.isFinite(entry)),
);

const listedEndpoint = z.object({
  id: z.string(),
  service: z.string(),
  host: z.string(),
  port: z.number(),
  hall: z.string(),
  slots: z.number(),
  state: z.enum(['live', 'leaving']),
  coldMs: z.number().nonnegative().optional(),
  bornMs: z.number().optional(),
  softwareVersion: z.string().optional(),
}) satisfies z.ZodType<ListedEndpoint>;

/** Platform connectivity of the sender; absent if it neither reads the platform nor gets all changes from a watcher. */
const platformReport = z
  .object({
    /** Remaining grace period: an entry that disappears during it may have expired while its endpoint still runs. */
    doubtMs: z.number().nonnegative(),
    /** Age of the report that the sender received, if it does not read the platform itself. */
    saidAgoMs: z.number().nonnegative(),
  })
  .optional() satisfies z.ZodType<PlatformReport | undefined>;

const heartbeat = z.object({
  type: z.literal('heartbeat'),
  /** Hall of the sender. */
  hall: z.string(),
  /** Whether the sender can watch the platform for its hall. */
  feed: z.enum(['able', 'lost']),
  /** Bandwidth of the sender's link. */
  linkMbps: z.number(),
  /** Address at which the sender accepts peers. */
  address: z.string(),
  /** Number of boxes that the sender knows of, including itself. */
  boxes: z.number(),
  /** Version of the configuration in force; 0 before the first. */
  configurationVersion: z.number(),
  /** Revision of the platform that the sender's list of endpoints reflects. */
  endpointsRevision: z.number(),
  /** Era of that revision; increases when a restore resets the revisions. Omitted by earlier versions. */
  era: z.number().default(0),
  platformReport,
  /** Pairs: tag of an endpoint, number of requests that the sender has in flight there. */
  loads: numberList,
  /** Pairs that the receiver may not know: a prompt, tag of an endpoint that has it cached. */
  homes: numberList,
  /** In a small fleet: prompt demand at the sender since its last heartbeat. Absent if there was none, or on a new link. */
  prompts: numberList.optional(),
  /** In a small fleet: paces of endpoints observed by the sender since its last heartbeat, as triples. */
  paces: numberList.optional(),
  /** Incarnation of the sender: increases whenever the box starts, or refutes a report that it is down. */
  incarnation: z.number(),
  /** The sender is stopping. */
  isStopping: z.boolean(),
  /** Whether the sender handles frames about slots. Omitted by earlier versions, which close a link that carries one. */
  handlesSlots: z.boolean().optional(),
  /** Whether the sender opens tunnels to endpoints for other boxes. Omitted by earlier versions, which do not. */
  servesTunnels: z.boolean().optional(),
  /** Whether the sender handles frames about streams. Omitted by earlier versions, which close a link that carries one. */
  tracksStreams: z.boolean().optional(),
  /** On a new link: runs that were in flight when their endpoints crashed; absent if there are none. */
  crashes: z.array(crashedRunSchema).optional(),
  /** On a new link: quarantined requests; absent if there are none. */
  condemned: z.array(quarantinedRequestSchema).optional(),
});
const heartbeatAck = z.object({
  /** Sent back on the link on which a heartbeat was received, to confirm that the link works. */
  type: z.literal('heartbeatHeard'),
});
/** What the sender knows of a hall other than the receiver's. */
const hallView = z.object({
  hall: z.string(),
  /** Number of boxes in that hall, as counted by its own aggregator. */
  boxes: z.number(),
  /** Boxes of that hall to connect to: its aggregator candidates; in a small fleet all that are known. */
  addresses: z.array(z.string()),
  /** How long ago a box of that hall reported this. */
  ageMs: z.number(),
});
const introduction = z.object({
  /** Known boxes of the fleet, for a box that joins or knows of fewer boxes. */
  type: z.literal('introduction'),
  /** Address and hall of the sender. */
  address: z.string(),
  hall: z.string(),
  /** Boxes of the receiver's hall that the sender has seen recently. */
  members: z.array(z.string()),
  halls: z.array(hallView),
});
const hallSummary = z.object({
  /** Size and aggregator candidates of a hall, sent by these candidates to boxes of the other halls. */
  type: z.literal('hallSummary'),
  hall: z.string(),
  boxes: z.number(),
  /** Aggregator candidates of the hall; the first one aggregates. */
  addresses: z.array(z.string()),
});
const probe = z.object({
  /** Requests a liveness signal. */
  type: z.literal('probe'),
  /** Address of the requester. */
  address: z.string(),
  sequence: z.number(),
  incarnation: z.number(),
});
const probeAck = z.object({
  type: z.literal('probeHeard'),
  /** Address of the box that answered the probe. */
  address: z.string(),
  /** Sequence number that the receiver gave to the probe. */
  sequence: z.number(),
  incarnation: z.number(),
  /** Whether the answer went to another box, which relays it. */
  isRelayed: z.boolean(),
});
const probeRequest = z.object({
  /** Asks the receiver to probe a box that does not answer the sender. */
  type: z.literal('probeRequest'),
  address: z.string(),
  target: z.string(),
  sequence: z.number(),
});
const boxDown = z.object({
  /** Reports that a box of the hall is down. */
  type: z.literal('boxDown'),
  address: z.string(),
  /** Incarnation that is down; the report does not apply to a later one. */
  incarnation: z.number(),
});
const boxUp = z.object({
  /** Refutes a report that the sender is down. */
  type: z.literal('boxUp'),
  address: z.string(),
  incarnation: z.number(),
});
const valueRequest = z.object({
  type: z.literal('valueRequest'),
  value: z.enum(['configuration', 'endpoints']),
  /** Address of the requester. */
  address: z.string(),
  /** Version of the requester's configuration; 0 for none. */
  configurationVersion: z.number(),
});
const configurationValue = z.object({
  type: z.literal('configurationValue'),
  configuration: fleetConfigurationSchema,
});
const configurationDifference = z.object({
  type: z.literal('configurationDifference'),
  change: configurationChangeSchema,
});
const endpointsValue = z.object({
  type: z.literal('endpointsValue'),
  revision: z.number(),
  /** Era of the revision. Omitted by earlier versions. */
  era: z.number().default(0),
  /** Endpoints that the platform lists. */
  endpoints: z.array(listedEndpoint),
  /** Endpoints that the sender keeps although the platform no longer lists them. */
  lapsed: z.array(listedEndpoint).default([]),
  /** Evacuated halls, whose endpoints get no new requests; omitted by versions without evacuations. */
  evacuatedHalls: z.array(z.string()).optional(),
  /** Address of the sender. */
  address: z.string().default(''),
  platformReport,
});
const feedNotice = z.object({
  type: z.literal('feedNotice'),
  /** Address of the sender, which watches the platform. */
  address: z.string(),
  /** The notice contains all changes after this revision. */
  from: z.number(),
  /** Revision of the sender's lists. */
  revision: z.number(),
  /** Era of both revisions. Omitted by earlier versions. */
  era: z.number().default(0),
  /** Remaining grace period: an entry that disappears during it may have expired while its endpoint still runs. */
  unsettledMs: z.number(),
  configurationVersion: z.number(),
  /** Approximate size of the complete configuration in characters. */
  configurationChars: z.number(),
  /** Whether the last change of the configuration is small; it is then sent on request. */
  isConfigurationChangeSmall: z.boolean(),
  /** Change of the configuration since the sender's last notice, unless it is large. */
  configurationChange: configurationChangeSchema.optional(),
  changes: z.array(
    z.discriminatedUnion('type', [
      z.object({ type: z.literal('listed'), endpoint: listedEndpoint }),
      z.object({ type: z.literal('removed'), id: z.string() }),
    ]),
  ),
  /** Evacuation orders and their withdrawals, in the order in which they were published. */
  evacuations: z.array(z.object({ type: z.enum(['ordered', 'takenBack']), hall: z.string() })).default([]),
});
/** Pairs: a prompt, tag of an endpoint that has it cached. Sums of loads carry those learned since the previous sum. */
const holderList = numberList;
/** Pairs: tag of an endpoint, number of requests in flight there. */
const loadList = numberList;
/** Coverage of a sum of loads. Omitted by earlier versions. */
const loadCoverage = z
  .object({
    /** Number of boxes whose loads are in the sum. */
    boxes: z.number(),
    /** Age of the oldest of these loads when the sum was sent. */
    ageMs: z.number().nonnegative(),
  })
  .optional();
/** Pairs: a prompt, number of requests for it. Omitted by earlier versions. */
const promptCounts = numberList.default([]);
/**
 * Triples: tag of an endpoint, weighted sum of the paces observed there in hundredths, sum of the weights. Omitted by earlier
 * versions, and if nothing was observed.
 */
const paceList = numberList.optional();
const boxLoads = z.object({
  type: z.literal('boxLoads'),
  /** Address of the box whose loads these are. */
  address: z.string(),
  loads: loadList,
  homes: holderList,
  /** Prompt demand at the box since its last frame of this type. */
  prompts: promptCounts,
  paces: paceList,
});
const hallLoads = z.object({
  type: z.literal('hallLoads'),
  /** Hall whose boxes' loads are summed. */
  hall: z.string(),
  loads: loadList,
  coverage: loadCoverage,
  homes: holderList,
  /** Prompts that were requested at these boxes more than once within a second. */
  prompts: promptCounts,
  paces: paceList,
});
const fleetLoads = z.object({
  type: z.literal('fleetLoads'),
  /** Sum of the loads of all boxes, including the receiver. */
  loads: loadList,
  coverage: loadCoverage,
  homes: holderList,
  /** Prompts that are hot in the fleet, with requests per second. */
  prompts: promptCounts,
  paces: paceList,
  /** Ranks of the boxes of the hall to which the receiver relays the frame. */
  passTo: numberList,
});
/** Schema of a decoded frame. */
export const peerFrameSchema = z.discriminatedUnion('type', [
  heartbeat,
  heartbeatAck,
  introduction,
  hallSummary,
  probe,
  probeAck,
  probeRequest,
  boxDown,
  boxUp,
  valueRequest,
  configurationValue,
  configurationDifference,
  endpointsValue,
  feedNotice,
  boxLoads,
  hallLoads,
  fleetLoads,
  crashReportsSchema,
  slotRequestsSchema,
  slotAnswersSchema,
  slotReleasesSchema,
  streamOriginsSchema,
  streamLookupSchema,
  streamLookupReplySchema,
  tunnelRequestSchema,
  tunnelReplySchema,
  tunnelDataSchema,
  tunnelEndSchema,
  tunnelRetireSchema,
]);

/** Liveness signal of a box, with its loads and versions. */
export type Heartbeat = z.infer<typeof heartbeat>;
/** What a box knows of another hall. */
export type HallView = z.infer<typeof hallView>;
/** Known boxes of the fleet. */
export type Introduction = z.infer<typeof introduction>;
/** Size and aggregator candidates of a hall. */
export type HallSummary = z.infer<typeof hallSummary>;
/** Request for a liveness signal. */
export type Probe = z.infer<typeof probe>;
/** Answer to a probe. */
export type ProbeAck = z.infer<typeof probeAck>;
/** Request to probe another box. */
export type ProbeRequest = z.infer<typeof probeRequest>;
/** Report that a box is down. */
export type BoxDown = z.infer<typeof boxDown>;
/** Refutation of a report that the sender is down. */
export type BoxUp = z.infer<typeof boxUp>;
/** Change of the configuration, for a box that has an earlier version. */
export type ConfigurationDifference = z.infer<typeof configurationDifference>;
/** The complete list of endpoints. */
export type EndpointsValue = z.infer<typeof endpointsValue>;
/** Request for a published value. */
export type ValueRequest = z.infer<typeof valueRequest>;
/** Published changes, sent by a box that watches the platform to the boxes of its hall. */
export type FeedNotice = z.infer<typeof feedNotice>;
/** Coverage of a sum of loads: the number of boxes in it and its age. */
export type LoadCoverage = NonNullable<z.infer<typeof loadCoverage>>;
/** Loads of one box, sent to the aggregators of its hall. */
export type BoxLoads = z.infer<typeof boxLoads>;
/** Sum of the loads of a hall, sent to the aggregators of the other halls. */
export type HallLoads = z.infer<typeof hallLoads>;
/** Sum of the loads of the fleet, sent to the boxes of a hall by its aggregator. */
export type FleetLoads = z.infer<typeof fleetLoads>;
/** A frame between boxes. */
export type PeerFrame = z.infer<typeof peerFrameSchema>;

/** Types of the frames about membership: which boxes are in the fleet and which are up. */
const MEMBERSHIP_TYPES = [
  'heartbeatHeard',
  'introduction',
  'hallSummary',
  'probe',
  'probeHeard',
  'probeRequest',
  'boxDown',
  'boxUp',
] as const satisfies readonly PeerFrame['type'][];

/** A frame about membership alone. */
export type MembershipFrame = Extract<PeerFrame, { type: (typeof MEMBERSHIP_TYPES)[number] }>;
/** A frame of a tunnel, which has a connection of its own. */
export type TunnelFrame = Extract<PeerFrame, { type: `tunnel${string}` }>;
/** Any other frame. Heartbeats are also about membership. */
export type RouterFrame = Exclude<PeerFrame, MembershipFrame | TunnelFrame>;

/**
 * Whether a frame is about membership alone.
 *
 * @example isMembershipFrame({ type: 'heartbeatHeard' }) // true
 */
export function isMembershipFrame(frame: PeerFrame): frame is MembershipFrame {
  return (MEMBERSHIP_TYPES as readonly string[]).includes(frame.type);
}

/**
 * Whether a frame belongs to a tunnel.
 *
 * @example isTunnelFrame({ type: 'tunnelRetire' }) // true
 */
export function isTunnelFrame(frame: PeerFrame): frame is TunnelFrame {
  return frame.type.startsWith('tunnel');
}
