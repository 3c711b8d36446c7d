/** Schemas of the frames about requests that may crash their endpoints. */
import * as z from 'zod';

/** Schema of a run of a request that was in flight when its endpoint crashed. */
export const crashedRunSchema = z.object({
  /** Fingerprint of the request. */
  content: z.string(),
  endpointTag: z.number(),
  /** Identifies the reporter: a number that the reporting box draws at its start. */
  witness: z.number(),
  /** When the request was sent to the endpoint and when it ended, on the clock of the reporter. */
  sentAtMs: z.number(),
  endedAtMs: z.number(),
  /** Time between its end and the sending of the frame. */
  endedAgoMs: z.number(),
  /** Identifies the caller of the request. Omitted by earlier versions, like the next two. */
  caller: z.string().optional(),
  /** Fingerprints of the request and of the shared parts of its prompt. */
  fingerprints: z.array(z.string()).optional(),
  /** Positions in this list of what the crash blames; `content` is the first of these. */
  blamed: z.array(z.number()).optional(),
});

/** Schema of a quarantined request, which is no longer sent to endpoints. */
export const quarantinedRequestSchema = z.object({
  /** Fingerprint of the request. */
  content: z.string(),
  /** How long ago it last crashed an endpoint. */
  endedAgoMs: z.number(),
  /** Fingerprints that a request must have as well to be concerned. Omitted by earlier versions. */
  together: z.array(z.string()).optional(),
  /** Callers whose requests are concerned; absent for all. */
  callers: z.array(z.string()).optional(),
});

/** Schema of reports on requests that may crash their endpoints. */
export const crashReportsSchema = z.object({
  type: z.literal('crashNews'),
  /** How often the reports were relayed before. */
  hops: z.number(),
  crashes: z.array(crashedRunSchema),
  condemned: z.array(quarantinedRequestSchema),
  /** Fingerprints of requests that an endpoint answered completely. */
  cleared: z.array(z.string()),
});
/** Report of a run that was in flight when its endpoint crashed. */
export type CrashedRunReport = z.infer<typeof crashedRunSchema>;
/** Report of a quarantined request. */
export type QuarantinedRequest = z.infer<typeof quarantinedRequestSchema>;
/** Reports on requests that may crash their endpoints. */
export type CrashReports = z.infer<typeof crashReportsSchema>;
