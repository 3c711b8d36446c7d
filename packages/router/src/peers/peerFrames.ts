/**
 * The frames between boxes: heartbeats with loads and versions, and those of the modules beside this one. `peerFrameCodec.ts`
 * encodes them.
 */
import * as z from 'zod';
import {
  tunnelDataSchema,
  tunnelEndSchema,
  tunnelReplySchema,
  tunnelRequestSchema,
  tunnelRetireSchema,
} from '../tunnels/tunnelFrames.js';
import { numberList, platformReportSchema } from './frameFields.js';
import {
  configurationDifferenceSchema,
  configurationValueSchema,
  endpointsValueSchema,
  feedNoticeSchema,
  listProofRequestSchema,
  listProofSchema,
  valueRequestSchema,
} from './listFrames.js';
import { boxLoadsSchema, fleetLoadsSchema, hallLoadsSchema } from './loadFrames.js';
import {
  boxDownSchema,
  boxUpSchema,
  hallSummarySchema,
  heartbeatAckSchema,
  introductionSchema,
  probeAckSchema,
  probeRequestSchema,
  probeSchema,
} from './membershipFrames.js';
import { crashedRunSchema, crashReportsSchema, quarantinedRequestSchema } from './crashFrames.js';
import {
  streamLookupReplySchema,
  streamLookupSchema,
  streamOriginsSchema,
  versionNoticeAckSchema,
  versionNoticeSchema,
} from '../streams/streamFrames.js';
import { slotAnswersSchema, slotReleasesSchema, slotRequestsSchema } from './slotFrames.js';

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
  platformReport: platformReportSchema,
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
  /**
   * On a new link: whether the sender handles frames about proofs of lists and notices of versions. Omitted by earlier versions,
   * which close a link that carries one.
   */
  provesLists: z.boolean().optional(),
  /** Services whose endpoints state that they do not survive many rejections. Absent if there are none. */
  brittle: z.array(z.string()).optional(),
  /** On a new link: runs that were in flight when their endpoints crashed; absent if there are none. */
  crashes: z.array(crashedRunSchema).optional(),
  /** On a new link: quarantined requests; absent if there are none. */
  condemned: z.array(quarantinedRequestSchema).optional(),
});
/** Schema of a decoded frame. */
export const peerFrameSchema = z.discriminatedUnion('type', [
  heartbeat,
  heartbeatAckSchema,
  introductionSchema,
  hallSummarySchema,
  probeSchema,
  probeAckSchema,
  probeRequestSchema,
  boxDownSchema,
  boxUpSchema,
  valueRequestSchema,
  configurationValueSchema,
  configurationDifferenceSchema,
  endpointsValueSchema,
  feedNoticeSchema,
  boxLoadsSchema,
  hallLoadsSchema,
  fleetLoadsSchema,
  crashReportsSchema,
  slotRequestsSchema,
  slotAnswersSchema,
  slotReleasesSchema,
  streamOriginsSchema,
  streamLookupSchema,
  streamLookupReplySchema,
  versionNoticeSchema,
  versionNoticeAckSchema,
  listProofRequestSchema,
  listProofSchema,
  tunnelRequestSchema,
  tunnelReplySchema,
  tunnelDataSchema,
  tunnelEndSchema,
  tunnelRetireSchema,
]);

/** Liveness signal of a box, with its loads and versions. */
export type Heartbeat = z.infer<typeof heartbeat>;
export type {
  ConfigurationDifference,
  EndpointsValue,
  FeedNotice,
  ListProof,
  ListProofRequest,
  ValueRequest,
} from './listFrames.js';
export type { BoxLoads, FleetLoads, HallLoads, LoadCoverage } from './loadFrames.js';
export type {
  BoxDown,
  BoxUp,
  HallSummary,
  HallView,
  Introduction,
  Probe,
  ProbeAck,
  ProbeRequest,
} from './membershipFrames.js';

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
