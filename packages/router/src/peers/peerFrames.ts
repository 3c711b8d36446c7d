/**
 * What boxes tell each other: heartbeats with loads and versions, and the published values to those that lack them. How frames
 * are encoded: `peerFrameCodec.ts`.
 */
import * as z from 'zod';
import type { ListedEndpoint } from '../records.js';
import type { PlatformReport } from '../systems/platformConnectivity.js';
import { configurationChangeSchema, fleetConfigurationSchema } from './configurationSchema.js';

/** Lists of numbers are most of what large frames hold; the library would check each entry by a schema of its own. */
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
}) satisfies z.ZodType<ListedEndpoint>;

/** What the sender knows of the platform; absent if it neither reads it nor is told all by a box that does. */
const platformReport = z
  .object({
    /** For how long an entry that vanishes may only have lapsed. */
    doubtMs: z.number().nonnegative(),
    /** How long ago the sender was told, if it does not read the platform itself. */
    saidAgoMs: z.number().nonnegative(),
  })
  .optional() satisfies z.ZodType<PlatformReport | undefined>;

/** A run of a request that ended with its endpoint. */
const crashedRunReport = z.object({
  /** Names the request by its content. */
  content: z.string(),
  endpointTag: z.number(),
  /** Names the life of the box that saw it. */
  witness: z.number(),
  /** When the request was sent there and when it ended, on the clock of that life. */
  sentAtMs: z.number(),
  endedAtMs: z.number(),
  /** How long ago it ended. */
  endedAgoMs: z.number(),
});

/** A request that is sent to endpoints no more. */
const condemnedRequest = z.object({
  /** Names the request by its content. */
  content: z.string(),
  /** How long ago it last crashed an endpoint. */
  endedAgoMs: z.number(),
});

const heartbeat = z.object({
  type: z.literal('heartbeat'),
  /** Hall of the sender. */
  hall: z.string(),
  /** Whether the sender could follow the platform for its hall. */
  feed: z.enum(['able', 'lost']),
  /** Bandwidth of the sender's link. */
  linkMbps: z.number(),
  /** Address at which the sender accepts peers. */
  address: z.string(),
  /** Boxes that the sender knows of, itself included. */
  boxes: z.number(),
  /** Version of the configuration in force; 0 before the first. */
  configurationVersion: z.number(),
  /** How new the sender's list of endpoints is: the platform's revision. */
  endpointsRevision: z.number(),
  /** Era of that revision; increases when a restore resets the revisions. Omitted by earlier versions. */
  era: z.number().default(0),
  platformReport,
  /** Tag of an endpoint and the requests that the sender has there, in turn. */
  loads: numberList,
  /** A prompt and an endpoint that holds it, in turn: what the reader may not know. */
  homes: numberList,
  /** In a small fleet: what the sender was asked for since its last heartbeat. Absent if nothing, or on a new link. */
  prompts: numberList.optional(),
  /** Number of the sender's life: grows whenever the box starts, or objects to being held for down. */
  incarnation: z.number(),
  /** The sender is stopping. */
  isStopping: z.boolean(),
  /** On a link that just came up: requests that ended with their endpoints; absent if there are none. */
  crashes: z.array(crashedRunReport).optional(),
  condemned: z.array(condemnedRequest).optional(),
});
const heartbeatHeard = z.object({
  /** Sent back on the link that the heartbeat came on: proof that this link still carries something. */
  type: z.literal('heartbeatHeard'),
});
/** What a box knows of a hall other than the reader's. */
const hallView = z.object({
  hall: z.string(),
  /** Boxes of that hall, as its own speaker counted them. */
  boxes: z.number(),
  /** Boxes of that hall to turn to: its speakers; in a small fleet all that are known. */
  addresses: z.array(z.string()),
  /** How long ago a box of that hall said so. */
  ageMs: z.number(),
});
const introduction = z.object({
  /** Who else is there: told to a box that joins, or that knows of fewer boxes. */
  type: z.literal('introduction'),
  /** Address and hall of the sender. */
  address: z.string(),
  hall: z.string(),
  /** Boxes of the reader's hall of which the sender heard lately. */
  members: z.array(z.string()),
  halls: z.array(hallView),
});
const hallSummary = z.object({
  /** The speaker of a hall tells those of the others how many its hall has and who speaks for it. */
  type: z.literal('hallSummary'),
  hall: z.string(),
  boxes: z.number(),
  /** Speakers of the hall, first the one that speaks. */
  addresses: z.array(z.string()),
});
const probe = z.object({
  /** Asks for a sign of life. */
  type: z.literal('probe'),
  /** Address of the box that asks. */
  address: z.string(),
  sequence: z.number(),
  incarnation: z.number(),
});
const probeHeard = z.object({
  type: z.literal('probeHeard'),
  /** Address of the box that answered. */
  address: z.string(),
  /** Of the probe that is answered, as the reader numbered it. */
  sequence: z.number(),
  incarnation: z.number(),
  /** The answer came to another box, which passes it on. */
  isRelayed: z.boolean(),
});
const probeRequest = z.object({
  /** Asks the reader to probe a box of which the sender hears nothing. */
  type: z.literal('probeRequest'),
  address: z.string(),
  target: z.string(),
  sequence: z.number(),
});
const boxDown = z.object({
  /** A box of the hall gives no sign of life. */
  type: z.literal('boxDown'),
  address: z.string(),
  /** Number of the life that has ended; a later one is not meant. */
  incarnation: z.number(),
});
const boxUp = z.object({
  /** The sender objects to being held for down. */
  type: z.literal('boxUp'),
  address: z.string(),
  incarnation: z.number(),
});
const valueRequest = z.object({
  type: z.literal('valueRequest'),
  value: z.enum(['configuration', 'endpoints']),
  /** Address of the box that asks. */
  address: z.string(),
  /** Version of the configuration that it has; 0 for none. */
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
  /** Halls whose endpoints are to get nothing new; absent where the sender's version knows of none. */
  evacuatedHalls: z.array(z.string()).optional(),
  /** Address of the sender. */
  address: z.string().default(''),
  platformReport,
});
const feedNotice = z.object({
  type: z.literal('feedNotice'),
  /** Address of the box that follows the platform. */
  address: z.string(),
  /** The changes are all those after this revision. */
  from: z.number(),
  /** What the sender knows is as new as this. */
  revision: z.number(),
  /** Era of both revisions. Omitted by earlier versions. */
  era: z.number().default(0),
  /** For so long an entry that vanishes may only have lapsed. */
  unsettledMs: z.number(),
  configurationVersion: z.number(),
  /** What the whole configuration takes to send, about. */
  configurationChars: z.number(),
  /** Little changed in the configuration lately: what did is told on request. */
  isConfigurationChangeSmall: z.boolean(),
  /** What changed in the configuration since the sender's last notice, unless that is large. */
  configurationChange: configurationChangeSchema.optional(),
  changes: z.array(
    z.discriminatedUnion('type', [
      z.object({ type: z.literal('listed'), endpoint: listedEndpoint }),
      z.object({ type: z.literal('removed'), id: z.string() }),
    ]),
  ),
  /** Halls that were ordered to be emptied, and those for which that was taken back, as it came. */
  evacuations: z.array(z.object({ type: z.enum(['ordered', 'takenBack']), hall: z.string() })).default([]),
});
/** A prompt and an endpoint that holds it, in turn; in sums of loads, what their sender learned since the last. */
const homeList = numberList;
/** Tag of an endpoint and the requests there, in turn. */
const loadList = numberList;
/** What a sum of loads is made of. Boxes of earlier versions do not say it. */
const loadCoverage = z
  .object({
    /** Boxes whose loads are in the sum. */
    boxes: z.number(),
    /** How old the oldest of them was when the sum was sent. */
    ageMs: z.number().nonnegative(),
  })
  .optional();
/** A prompt and how often it was asked for, in turn. Boxes of earlier versions do not say it. */
const promptCounts = numberList.default([]);
const boxLoads = z.object({
  type: z.literal('boxLoads'),
  /** Address of the box that holds these loads. */
  address: z.string(),
  loads: loadList,
  homes: homeList,
  /** What the box was asked for since its last such frame. */
  prompts: promptCounts,
});
const hallLoads = z.object({
  type: z.literal('hallLoads'),
  /** Hall whose boxes hold these loads together. */
  hall: z.string(),
  loads: loadList,
  coverage: loadCoverage,
  homes: homeList,
  /** What these boxes were asked for within a second, where it was more than once. */
  prompts: promptCounts,
});
const fleetLoads = z.object({
  type: z.literal('fleetLoads'),
  /** What all boxes hold, the reader included. */
  loads: loadList,
  coverage: loadCoverage,
  homes: homeList,
  /** Prompts that are hot in the fleet, with requests a second. */
  prompts: promptCounts,
  /** Ranks of the boxes of the hall to whom the reader passes this on. */
  passTo: numberList,
});
const crashNews = z.object({
  type: z.literal('crashNews'),
  /** How often it was passed on before. */
  hops: z.number(),
  crashes: z.array(crashedRunReport),
  condemned: z.array(condemnedRequest),
  /** Requests, by content, that an endpoint answered whole. */
  cleared: z.array(z.string()),
});
/** Checks a decoded frame. */
export const peerFrameSchema = z.discriminatedUnion('type', [
  heartbeat,
  heartbeatHeard,
  introduction,
  hallSummary,
  probe,
  probeHeard,
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
  crashNews,
]);

/** A box's sign of life. */
export type Heartbeat = z.infer<typeof heartbeat>;
/** What a box knows of another hall. */
export type HallView = z.infer<typeof hallView>;
/** Who else is there. */
export type Introduction = z.infer<typeof introduction>;
/** How many boxes a hall has, and who speaks for it. */
export type HallSummary = z.infer<typeof hallSummary>;
/** A question for a sign of life. */
export type Probe = z.infer<typeof probe>;
/** The answer to a probe. */
export type ProbeAck = z.infer<typeof probeHeard>;
/** A question to probe another box. */
export type ProbeRequest = z.infer<typeof probeRequest>;
/** Says that a box gives no sign of life. */
export type BoxDown = z.infer<typeof boxDown>;
/** Says that the sender is not down. */
export type BoxUp = z.infer<typeof boxUp>;
/** What changed in the configuration, told to a box that has an earlier version. */
export type ConfigurationDifference = z.infer<typeof configurationDifference>;
/** The whole list of endpoints. */
export type EndpointsValue = z.infer<typeof endpointsValue>;
/** A question for a published value. */
export type ValueRequest = z.infer<typeof valueRequest>;
/** What a box that follows the platform tells the boxes of its hall. */
export type FeedNotice = z.infer<typeof feedNotice>;
/** What a sum of loads is made of. */
export type LoadCoverage = NonNullable<z.infer<typeof loadCoverage>>;
/** What one box has at the endpoints, told to the speakers of its hall. */
export type BoxLoads = z.infer<typeof boxLoads>;
/** What a hall has at the endpoints, told to the speakers of the other halls. */
export type HallLoads = z.infer<typeof hallLoads>;
/** What the fleet has at the endpoints, told to the boxes of a hall by its speaker. */
export type FleetLoads = z.infer<typeof fleetLoads>;
/** A run of a request that ended with its endpoint, as boxes tell each other. */
export type CrashedRunReport = z.infer<typeof crashedRunReport>;
/** A request that is sent to endpoints no more, as boxes tell each other. */
export type QuarantinedRequest = z.infer<typeof condemnedRequest>;
/** What was seen of requests that may crash their endpoints. */
export type CrashReports = z.infer<typeof crashNews>;
/** A frame between boxes. */
export type PeerFrame = z.infer<typeof peerFrameSchema>;

/** Types of the frames about who is in the fleet and who is up. */
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

/** A frame about who is in the fleet and who is up. */
export type MembershipFrame = Extract<PeerFrame, { type: (typeof MEMBERSHIP_TYPES)[number] }>;
/** A frame about anything else; heartbeats are about both. */
export type RouterFrame = Exclude<PeerFrame, MembershipFrame>;

/**
 * Whether a frame is about membership alone.
 *
 * @example isMembershipFrame({ type: 'heartbeatHeard' }) // true
 */
export function isMembershipFrame(frame: PeerFrame): frame is MembershipFrame {
  return (MEMBERSHIP_TYPES as readonly string[]).includes(frame.type);
}
