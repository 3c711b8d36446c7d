/** Schemas of fields that several frames between boxes share. */
import * as z from 'zod';
import type { PlatformReport } from '../published/platformConnectivity.js';

/**
 * Large frames consist mostly of lists of numbers. They are checked as a whole, since `z.array` would check each entry
 * against a schema, which makes decoding several times slower.
 */
export const numberList = z.custom<number[]>(
  (value) => Array.isArray(value) && value.every((entry) => Number.isFinite(entry)),
);

/** Platform connectivity of the sender; absent if it neither reads the platform nor gets all changes from a watcher. */
export const platformReportSchema = z
  .object({
    /** Remaining grace period: an entry that disappears during it may have expired while its endpoint still runs. */
    doubtMs: z.number().nonnegative(),
    /** Age of the report that the sender received, if it does not read the platform itself. */
    saidAgoMs: z.number().nonnegative(),
    /** For how long before that the platform had answered without a pause in which an entry could lapse. Omitted by earlier versions. */
    answeringForMs: z.number().nonnegative().optional(),
  })
  .optional() satisfies z.ZodType<PlatformReport | undefined>;
