/** Schemas of the frames about streams: the versions that began them, and requests for these. */
import * as z from 'zod';
import type { StreamKey, StreamOrigin } from './streamOrigins.js';

/** Bytes of a packed key. */
const KEY_BYTES = 6;

const streamsOfOrigin = z.object({
  service: z.string(),
  softwareVersion: z.string(),
  /** Keys of the streams that began there, packed. */
  streams: z.instanceof(Uint8Array).refine((bytes) => bytes.length % KEY_BYTES === 0),
});

/** Reports where streams began to the boxes that keep this for the sender. */
export const streamOriginsSchema = z.object({
  type: z.literal('streamOrigins'),
  /** How often the report was relayed before. */
  hops: z.number(),
  origins: z.array(streamsOfOrigin),
});

/** Asks where a stream began. */
export const streamLookupSchema = z.object({
  type: z.literal('streamLookup'),
  /** Address and hall of the box that asks. */
  address: z.string(),
  hall: z.string(),
  /** Address of the box that relays the request between halls, and the reply back; empty if it is not relayed. */
  via: z.string(),
  /** Number that the asking box gave to the request. */
  sequence: z.number(),
  service: z.string(),
  stream: z.number(),
});

/** What a box knows of a stream and of the versions of its service. */
export const streamLookupReplySchema = z.object({
  type: z.literal('streamLookupReply'),
  /** Address of the box that asked. */
  address: z.string(),
  sequence: z.number(),
  /** Address and hall of the box that replies. */
  box: z.string(),
  hall: z.string(),
  /** Where the stream began; absent if the box does not know it. */
  origin: z.object({ service: z.string(), softwareVersion: z.string() }).optional(),
  /** Versions of the service that serve or served lately, in the view of the box. */
  softwareVersions: z.array(z.string()),
  /** Always 0; for earlier versions, which take another value for a proof. */
  coveredMs: z.number(),
  /** For how long the box has had a list of endpoints. */
  listedMs: z.number(),
});

/** Reports the versions of a service before streams begin at a further one, so that no box takes another for the only one. */
export const versionNoticeSchema = z.object({
  type: z.literal('versionNotice'),
  address: z.string(),
  sequence: z.number(),
  /** How often the notice was relayed before. */
  hops: z.number(),
  service: z.string(),
  softwareVersions: z.array(z.string()),
});

/** Confirms that the receiver of a notice counts with its versions. */
export const versionNoticeAckSchema = z.object({
  type: z.literal('versionNoticeAck'),
  /** Address of the box that confirms. */
  address: z.string(),
  sequence: z.number(),
});

/** Report of the versions of a service. */
export type VersionNotice = z.infer<typeof versionNoticeSchema>;
/** Confirmation of such a report. */
export type VersionNoticeAck = z.infer<typeof versionNoticeAckSchema>;
/** Report of where streams began. */
export type StreamOriginsFrame = z.infer<typeof streamOriginsSchema>;
/** Request for the origin of a stream. */
export type StreamLookup = z.infer<typeof streamLookupSchema>;
/** Reply to such a request. */
export type StreamLookupReply = z.infer<typeof streamLookupReplySchema>;

/** A stream and where it began. */
export interface OriginOfStream {
  readonly key: StreamKey;
  readonly origin: StreamOrigin;
}

/**
 * Groups streams by their origins, as frames carry them.
 *
 * @example packOrigins([{ key: 7, origin: { service: 'llm', softwareVersion: 'v2' } }])
 */
export function packOrigins(streams: readonly OriginOfStream[]): StreamOriginsFrame['origins'] {
  const keysByOrigin = new Map<StreamOrigin, StreamKey[]>();
  for (const { key, origin } of streams) {
    const keys = keysByOrigin.get(origin);
    if (keys === undefined) keysByOrigin.set(origin, [key]);
    else keys.push(key);
  }
  return [...keysByOrigin].map(([{ service, softwareVersion }, keys]) => {
    const packed = Buffer.alloc(keys.length * KEY_BYTES);
    keys.forEach((key, index) => packed.writeUIntBE(key, index * KEY_BYTES, KEY_BYTES));
    return { service, softwareVersion, streams: packed };
  });
}

/**
 * Lists the streams of a report.
 *
 * @example unpackOrigins(packOrigins(streams)) // the same streams
 */
export function unpackOrigins(origins: StreamOriginsFrame['origins']): OriginOfStream[] {
  return origins.flatMap(({ service, softwareVersion, streams }) => {
    const origin = { service, softwareVersion };
    const packed = Buffer.from(streams);
    const count = packed.length / KEY_BYTES;
    return Array.from({ length: count }, (_, index) => ({
      key: packed.readUIntBE(index * KEY_BYTES, KEY_BYTES),
      origin,
    }));
  });
}
