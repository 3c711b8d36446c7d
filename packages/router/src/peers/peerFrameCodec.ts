/** Encodes and decodes the frames between boxes: CBOR with a length prefix. */
import { Err, FrameReader, Ok, prefixLength } from '@hazelwalk/core';
import type { Problem, Result } from '@hazelwalk/core';
import { Encoder } from 'cbor-x';
import type { PeerFrame } from './peerFrames.js';
import { peerFrameSchema } from './peerFrames.js';

/** A configuration takes at most one megabyte; all other frames are small. */
const MAX_FRAME_BYTES = 2_000_000;

/**
 * Fields are encoded as numbers to save bytes: a heartbeat goes to every box several times a second. The number of a
 * removed field is never reused, and a field that earlier versions send by name gets none.
 */
const FIELD_NUMBERS = {
  type: 1,
  hall: 2,
  address: 3,
  configurationVersion: 4,
  endpointsRevision: 5,
  loads: 6,
  incarnation: 7,
  isStopping: 8,
  feed: 9,
  boxes: 10,
  linkMbps: 11,
  homes: 12,
  sequence: 13,
  isRelayed: 14,
  passTo: 15,
  platformReport: 16,
  doubtMs: 17,
  saidAgoMs: 18,
  coverage: 19,
  ageMs: 20,
  prompts: 21,
  content: 22,
  endpointTag: 23,
  sentAtMs: 24,
  endedAtMs: 25,
  endedAgoMs: 26,
  witness: 27,
  crashes: 28,
  cleared: 29,
  hops: 30,
  condemned: 31,
  handlesSlots: 32,
  paces: 33,
  requests: 34,
  answers: 35,
  releases: 36,
  box: 37,
  number: 38,
  rank: 40,
  team: 41,
  isOnce: 42,
  waitedMs: 43,
  targetMs: 44,
  patienceMs: 45,
  preferred: 46,
  excluded: 47,
  expectedWaitMs: 48,
  retryAfterMs: 49,
  outcome: 50,
  heldMs: 51,
  expiresMs: 52,
  servesTunnels: 53,
  result: 54,
  bytes: 55,
  isReset: 56,
  others: 57,
  softwareVersion: 58,
  tracksStreams: 59,
  origins: 60,
  streams: 61,
  stream: 62,
  via: 63,
  softwareVersions: 64,
  coveredMs: 65,
  listedMs: 66,
  origin: 67,
  caller: 68,
  fingerprints: 69,
  blamed: 70,
  together: 71,
  callers: 72,
  provesLists: 73,
} as const;

const cbor = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  keyMap: { ...FIELD_NUMBERS },
  tagUint8Array: false,
});

/**
 * Encodes a frame with its length prefix.
 *
 * @example socket.write(encodePeerFrame({ type: 'boxLoads', address: '10.0.0.1:7000', loads: [], homes: [], prompts: [] }))
 */
export function encodePeerFrame(frame: PeerFrame): Buffer {
  return prefixLength(cbor.encode(frame));
}

function decodePayload(payload: Buffer): Result<PeerFrame, Problem> {
  try {
    const parsed = peerFrameSchema.safeParse(cbor.decode(payload));
    if (parsed.success) return Ok(parsed.data);
    return Err({
      code: 'frameMalformed',
      at: 'peer',
      detail: parsed.error.issues[0]?.message ?? 'the frame matches no known type',
    });
  } catch (error) {
    return Err({ code: 'frameMalformed', at: 'peer', detail: (error as Error).message });
  }
}

/** Splits the bytes received on one link into frames. After an error the link must be closed. */
export class PeerFrameReader extends FrameReader<PeerFrame> {
  constructor() {
    super(MAX_FRAME_BYTES, decodePayload);
  }
}
