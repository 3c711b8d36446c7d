/**
 * Schemas of the operators' declared file and of the platform's lists.
 */
import { z } from 'zod';

const NAME_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;
const name = z
  .string()
  .regex(NAME_PATTERN, 'must be lower-case letters, digits, dots and dashes, 63 at most');
const positive = z.number().int().positive();

const serviceCommon = {
  name,
  maxInFlightPerEndpoint: positive,
  maxQueueMs: z.number().int().nonnegative().default(500),
  defaultDeadlineMs: positive.default(60_000),
};

const team = z.strictObject({
  name,
  weight: z.number().positive().default(1),
  maxInFlight: positive.optional(),
});

const model = z.strictObject({
  kind: z.literal('model'),
  ...serviceCommon,
  loadBound: z.number().min(1.01, 'must be 1.01 or more: no engine could take work otherwise').max(10),
});

const plain = z.strictObject({
  kind: z.literal('plain'),
  ...serviceCommon,
  repeat: z.enum(['safe', 'keyChecked', 'never']),
});

/** Schema of the declared file; fields that it does not contain are rejected. */
export const declarationSchema = z.strictObject({
  revision: positive,
  deployment: name,
  halls: z.array(name).min(1),
  teams: z.array(team).min(1),
  services: z.array(z.discriminatedUnion('kind', [model, plain])).min(1),
});

const listedState = z.enum(['live', 'leaving']);
const address = z.string().regex(/^[^\s:]+:\d{1,5}$/, 'must be host:port');

/** Schema of the platform's box list. */
export const boxListSchema = z.object({
  version: z.number().int().nonnegative(),
  boxes: z.array(z.object({ id: name, hall: name, peerAddress: address, state: listedState })),
});

/** Schema of the platform's endpoint list. */
export const endpointListSchema = z.object({
  version: z.number().int().nonnegative(),
  endpoints: z.array(
    z.object({ id: name, hall: name, address, serves: z.array(name).min(1), state: listedState }),
  ),
});
