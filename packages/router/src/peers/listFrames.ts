/** Schemas of the frames with what the platform publishes: the configuration, the list of endpoints, evacuations. */
import * as z from 'zod';
import type { ListedEndpoint } from '../records.js';
import { configurationChangeSchema, fleetConfigurationSchema } from './configurationSchema.js';
import { platformReportSchema } from './frameFields.js';

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

/** Schema of a request for a published value. */
export const valueRequestSchema = z.object({
  type: z.literal('valueRequest'),
  value: z.enum(['configuration', 'endpoints']),
  /** Address of the requester. */
  address: z.string(),
  /** Version of the requester's configuration; 0 for none. */
  configurationVersion: z.number(),
});
/** Schema of a whole configuration. */
export const configurationValueSchema = z.object({
  type: z.literal('configurationValue'),
  configuration: fleetConfigurationSchema,
});
/** Schema of a change of the configuration. */
export const configurationDifferenceSchema = z.object({
  type: z.literal('configurationDifference'),
  change: configurationChangeSchema,
});
/** Schema of a request to prove a list by a call to the platform. */
export const listProofRequestSchema = z.object({
  type: z.literal('listProofRequest'),
  sequence: z.number(),
});
/** Schema of such a proof: by a call sent after the request, the platform had nothing newer than this position. */
export const listProofSchema = z.object({
  type: z.literal('listProof'),
  /** Address of the box that made the call. */
  address: z.string(),
  /** Number of the request. */
  sequence: z.number(),
  revision: z.number(),
  era: z.number(),
});
/** Schema of the whole list of endpoints. */
export const endpointsValueSchema = z.object({
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
  platformReport: platformReportSchema,
});
/** Schema of published changes. */
export const feedNoticeSchema = z.object({
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
  /** For how long the platform has answered without a pause in which an entry could lapse. Omitted by earlier versions. */
  answeringForMs: z.number().nonnegative().optional(),
  configurationVersion: z.number(),
  /** Approximate size of the complete configuration in characters. */
  configurationChars: z.number(),
  /** Whether the last change of the configuration is small; it is then sent on request. */
  isConfigurationChangeSmall: z.boolean(),
  /** Change of the configuration since the sender's last notice, unless it is large. */
  configurationChange: configurationChangeSchema.optional(),
  /**
   * Whether the changes are a comparison of two whole lists: what came and went between them is missing. Omitted by earlier
   * versions.
   */
  isComparison: z.boolean().optional(),
  changes: z.array(
    z.discriminatedUnion('type', [
      z.object({ type: z.literal('listed'), endpoint: listedEndpoint }),
      z.object({ type: z.literal('removed'), id: z.string() }),
    ]),
  ),
  /** Evacuation orders and their withdrawals, in the order in which they were published. */
  evacuations: z.array(z.object({ type: z.enum(['ordered', 'takenBack']), hall: z.string() })).default([]),
});

/** Change of the configuration, for a box that has an earlier version. */
export type ConfigurationDifference = z.infer<typeof configurationDifferenceSchema>;
/** Request to prove a list. */
export type ListProofRequest = z.infer<typeof listProofRequestSchema>;
/** Proof of a list. */
export type ListProof = z.infer<typeof listProofSchema>;
/** The complete list of endpoints. */
export type EndpointsValue = z.infer<typeof endpointsValueSchema>;
/** Request for a published value. */
export type ValueRequest = z.infer<typeof valueRequestSchema>;
/** Published changes, sent by a box that watches the platform to the boxes of its hall. */
export type FeedNotice = z.infer<typeof feedNoticeSchema>;
