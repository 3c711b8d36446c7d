/**
 * Schemas of the frames of a tunnel: a connection between two boxes that one of them extends to an endpoint. The box that
 * asks for it sends `tunnelRequest` as the first frame of a new connection; after `tunnelReply` with `open`, both send data.
 */
import * as z from 'zod';

/** Why a box does not extend a tunnel to the endpoint. */
export const TUNNEL_REFUSALS = [
  /** Its own connection to the endpoint failed. */
  'connectRefused',
  'connectTimedOut',
  'connectBroken',
  /** It does not reach the endpoint itself. */
  'noPath',
  /** The endpoint is not on its list, or leaves. */
  'unknownEndpoint',
  'stopping',
  /** It serves as many tunnels as it can. */
  'full',
  /** Tunnels are turned off there. */
  'turnedOff',
] as const;
/** Why a box does not extend a tunnel to the endpoint. */
export type TunnelRefusal = (typeof TUNNEL_REFUSALS)[number];

/** Time after which the tunnel is closed at the latest, as the sender exits; absent while it is not stopping. */
const closesInMs = z.number().optional();

/** Asks the receiver to extend this connection to an endpoint. */
export const tunnelRequestSchema = z.object({
  type: z.literal('tunnelRequest'),
  /** Address of the sender and the number that it gave to the tunnel: its name in the logs of both boxes. */
  address: z.string(),
  number: z.number(),
  endpointTag: z.number(),
});

/** Result of the request. */
export const tunnelReplySchema = z.object({
  type: z.literal('tunnelReply'),
  result: z.enum(['open', ...TUNNEL_REFUSALS]),
  /** With a refusal: boxes that serve tunnels, as far as the sender knows. */
  others: z.array(z.object({ address: z.string(), hall: z.string() })).optional(),
  closesInMs,
});

/** Bytes to or from the endpoint. */
export const tunnelDataSchema = z.object({
  type: z.literal('tunnelData'),
  bytes: z.custom<Uint8Array>((value) => ArrayBuffer.isView(value)),
});

/** The connection to the endpoint has ended. A tunnel that closes without this frame is broken itself. */
export const tunnelEndSchema = z.object({
  type: z.literal('tunnelEnd'),
  /** Whether it was reset, so that a response without a length is incomplete. */
  isReset: z.boolean(),
});

/** The sender is about to stop: the tunnel is to be closed after the request in progress. */
export const tunnelRetireSchema = z.object({ type: z.literal('tunnelRetire'), closesInMs });

/** Request for a tunnel. */
export type TunnelRequest = z.infer<typeof tunnelRequestSchema>;
/** Result of a request for a tunnel. */
export type TunnelReply = z.infer<typeof tunnelReplySchema>;

/**
 * Name of a tunnel in the logs of both boxes.
 *
 * @example formatTunnelName('10.0.0.1:8229', 7) // '10.0.0.1:8229#7'
 */
export function formatTunnelName(address: string, number: number): string {
  return `${address}#${number}`;
}
