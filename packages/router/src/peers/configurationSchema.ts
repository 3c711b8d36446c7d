/** Schemas of configurations and their changes in frames between boxes. They match the router's records. */
import * as z from 'zod';
import type { CallerLimits, FleetConfiguration, Route, Service, Team } from '../records.js';
import type { ConfigurationChange } from '../published/configurationChange.js';

const route = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: z.enum(['repeatable', 'once', 'stream']),
  timeoutMs: z.number(),
  targetLatencyMs: z.number(),
  maxAttempts: z.number(),
  targets: z.array(z.object({ service: z.string(), weight: z.number() })),
  isPublic: z.boolean(),
  isResumable: z.boolean(),
  allowedRegions: z.array(z.string()).optional(),
  priority: z.number().optional(),
}) satisfies z.ZodType<Route>;

const service = z.object({
  name: z.string(),
  maxConnections: z.number(),
  canMoveCache: z.boolean(),
  isEngine: z.boolean().optional(),
  coldStart: z.object({ perS: z.number(), startMs: z.number() }).optional(),
}) satisfies z.ZodType<Service>;

const team = z.object({
  name: z.string(),
  apiKeys: z.array(z.string()),
  allowedRegions: z.array(z.string()).optional(),
  priority: z.number().optional(),
}) satisfies z.ZodType<Team>;

const limits = z.object({
  maxHeaderBytes: z.number(),
  maxBodyBytes: z.number(),
  headerTimeoutMs: z.number(),
  idleTimeoutMs: z.number(),
}) satisfies z.ZodType<CallerLimits>;

const removed = z.array(z.string());

/** Schema of a complete configuration. */
export const fleetConfigurationSchema: z.ZodType<FleetConfiguration> = z.object({
  version: z.number(),
  routes: z.array(route),
  services: z.array(service),
  teams: z.array(team).or(z.undefined()),
  limits,
});

/** Schema of the difference between two versions of the configuration. */
export const configurationChangeSchema: z.ZodType<ConfigurationChange> = z.object({
  from: z.number(),
  version: z.number(),
  digest: z.number(),
  routes: z.object({ written: z.array(route), removed }),
  services: z.object({ written: z.array(service), removed }),
  teams: z.object({ written: z.array(team), removed }).or(z.undefined()),
  limits,
});
