/** Schemas of the frames about slots; `admission/slotMessages.ts` describes the messages in them. */
import * as z from 'zod';
import type { SlotAnswer, SlotRelease, SlotRequest } from '../admission/slotMessages.js';

const slotRequestId = { box: z.string(), number: z.number() };

const request = z.object({
  ...slotRequestId,
  service: z.string(),
  rank: z.number(),
  team: z.string(),
  isOnce: z.boolean(),
  content: z.string(),
  waitedMs: z.number(),
  targetMs: z.number(),
  patienceMs: z.number(),
  expiresMs: z.number(),
  preferred: z.array(z.number()),
  excluded: z.array(z.number()),
  heldTag: z.number().optional(),
}) satisfies z.ZodType<SlotRequest>;

const answer = z.discriminatedUnion('type', [
  z.object({ ...slotRequestId, type: z.literal('granted'), service: z.string(), endpointTag: z.number() }),
  z.object({ ...slotRequestId, type: z.literal('queued'), expectedWaitMs: z.number() }),
  z.object({ ...slotRequestId, type: z.literal('rejected'), retryAfterMs: z.number() }),
]) satisfies z.ZodType<SlotAnswer>;

const release = z.object({
  ...slotRequestId,
  service: z.string(),
  outcome: z.enum(['served', 'failed', 'refused', 'unused']),
  heldMs: z.number(),
}) satisfies z.ZodType<SlotRelease>;

/** Requests for slots, sent to the box that schedules them or to the box of the hall that relays them. */
export const slotRequestsSchema = z.object({
  type: z.literal('slotRequests'),
  /** Address of the sender, to which the answers go. */
  address: z.string(),
  requests: z.array(request),
});

/** Answers of the box that schedules, relayed like the requests. */
export const slotAnswersSchema = z.object({
  type: z.literal('slotAnswers'),
  /** Address of the sender. */
  address: z.string(),
  answers: z.array(answer),
});

/** Releases of slots, relayed like the requests. */
export const slotReleasesSchema = z.object({
  type: z.literal('slotReleases'),
  /** Address of the sender. */
  address: z.string(),
  releases: z.array(release),
});

/** Requests for slots. */
export type SlotRequestsFrame = z.infer<typeof slotRequestsSchema>;
/** Answers to requests for slots. */
export type SlotAnswersFrame = z.infer<typeof slotAnswersSchema>;
/** Releases of slots. */
export type SlotReleasesFrame = z.infer<typeof slotReleasesSchema>;
