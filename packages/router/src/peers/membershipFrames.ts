/** Schemas of the frames about membership: which boxes are in the fleet and which are up. */
import * as z from 'zod';

/** Schema of the ack of a heartbeat. */
export const heartbeatAckSchema = z.object({
  /** Sent back on the link on which a heartbeat was received, to confirm that the link works. */
  type: z.literal('heartbeatHeard'),
});
/** What the sender knows of a hall other than the receiver's. */
export const hallViewSchema = z.object({
  hall: z.string(),
  /** Number of boxes in that hall, as counted by its own aggregator. */
  boxes: z.number(),
  /** Boxes of that hall to connect to: its aggregator candidates; in a small fleet all that are known. */
  addresses: z.array(z.string()),
  /** How long ago a box of that hall reported this. */
  ageMs: z.number(),
});
/** Schema of an introduction. */
export const introductionSchema = z.object({
  /** Known boxes of the fleet, for a box that joins or knows of fewer boxes. */
  type: z.literal('introduction'),
  /** Address and hall of the sender. */
  address: z.string(),
  hall: z.string(),
  /** Boxes of the receiver's hall that the sender has seen recently. */
  members: z.array(z.string()),
  halls: z.array(hallViewSchema),
});
/** Schema of the summary of a hall. */
export const hallSummarySchema = z.object({
  /** Size and aggregator candidates of a hall, sent by these candidates to boxes of the other halls. */
  type: z.literal('hallSummary'),
  hall: z.string(),
  boxes: z.number(),
  /** Aggregator candidates of the hall; the first one aggregates. */
  addresses: z.array(z.string()),
});
/** Schema of a request for a liveness signal. */
export const probeSchema = z.object({
  /** Requests a liveness signal. */
  type: z.literal('probe'),
  /** Address of the requester. */
  address: z.string(),
  sequence: z.number(),
  incarnation: z.number(),
});
/** Schema of the answer to a probe. */
export const probeAckSchema = z.object({
  type: z.literal('probeHeard'),
  /** Address of the box that answered the probe. */
  address: z.string(),
  /** Sequence number that the receiver gave to the probe. */
  sequence: z.number(),
  incarnation: z.number(),
  /** Whether the answer went to another box, which relays it. */
  isRelayed: z.boolean(),
});
/** Schema of a request to probe another box. */
export const probeRequestSchema = z.object({
  /** Asks the receiver to probe a box that does not answer the sender. */
  type: z.literal('probeRequest'),
  address: z.string(),
  target: z.string(),
  sequence: z.number(),
});
/** Schema of a report that a box is down. */
export const boxDownSchema = z.object({
  /** Reports that a box of the hall is down. */
  type: z.literal('boxDown'),
  address: z.string(),
  /** Incarnation that is down; the report does not apply to a later one. */
  incarnation: z.number(),
});
/** Schema of a refutation. */
export const boxUpSchema = z.object({
  /** Refutes a report that the sender is down. */
  type: z.literal('boxUp'),
  address: z.string(),
  incarnation: z.number(),
});

/** What a box knows of another hall. */
export type HallView = z.infer<typeof hallViewSchema>;
/** Known boxes of the fleet. */
export type Introduction = z.infer<typeof introductionSchema>;
/** Size and aggregator candidates of a hall. */
export type HallSummary = z.infer<typeof hallSummarySchema>;
/** Request for a liveness signal. */
export type Probe = z.infer<typeof probeSchema>;
/** Answer to a probe. */
export type ProbeAck = z.infer<typeof probeAckSchema>;
/** Request to probe another box. */
export type ProbeRequest = z.infer<typeof probeRequestSchema>;
/** Report that a box is down. */
export type BoxDown = z.infer<typeof boxDownSchema>;
/** Refutation of a report that the sender is down. */
export type BoxUp = z.infer<typeof boxUpSchema>;
