/** Schemas of the frames with loads, prompt holders, prompt demand and paces in a larger fleet. */
import * as z from 'zod';
import { numberList } from './frameFields.js';

/** Pairs: a prompt, tag of an endpoint that has it cached. Sums of loads carry those learned since the previous sum. */
const holderList = numberList;
/** Pairs: tag of an endpoint, number of requests in flight there. */
const loadList = numberList;
/** Coverage of a sum of loads. Omitted by earlier versions. */
export const loadCoverageSchema = z
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
/** Schema of the loads of one box. */
export const boxLoadsSchema = z.object({
  type: z.literal('boxLoads'),
  /** Address of the box whose loads these are. */
  address: z.string(),
  loads: loadList,
  homes: holderList,
  /** Prompt demand at the box since its last frame of this type. */
  prompts: promptCounts,
  paces: paceList,
});
/** Schema of the sum of the loads of a hall. */
export const hallLoadsSchema = z.object({
  type: z.literal('hallLoads'),
  /** Hall whose boxes' loads are summed. */
  hall: z.string(),
  loads: loadList,
  coverage: loadCoverageSchema,
  homes: holderList,
  /** Prompts that were requested at these boxes more than once within a second. */
  prompts: promptCounts,
  paces: paceList,
});
/** Schema of the sum of the loads of the fleet. */
export const fleetLoadsSchema = z.object({
  type: z.literal('fleetLoads'),
  /** Sum of the loads of all boxes, including the receiver. */
  loads: loadList,
  coverage: loadCoverageSchema,
  homes: holderList,
  /** Prompts that are hot in the fleet, with requests per second. */
  prompts: promptCounts,
  paces: paceList,
  /** Ranks of the boxes of the hall to which the receiver relays the frame. */
  passTo: numberList,
});

/** Coverage of a sum of loads: the number of boxes in it and its age. */
export type LoadCoverage = NonNullable<z.infer<typeof loadCoverageSchema>>;
/** Loads of one box, sent to the aggregators of its hall. */
export type BoxLoads = z.infer<typeof boxLoadsSchema>;
/** Sum of the loads of a hall, sent to the aggregators of the other halls. */
export type HallLoads = z.infer<typeof hallLoadsSchema>;
/** Sum of the loads of the fleet, sent to the boxes of a hall by its aggregator. */
export type FleetLoads = z.infer<typeof fleetLoadsSchema>;
