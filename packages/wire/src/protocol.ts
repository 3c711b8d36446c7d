/**
 * Constants of the protocol between boxes. A change of any of them needs a new PROTOCOL_VERSION.
 *
 * A frame is a 4-byte big-endian length, followed by that many bytes of CBOR. Field names are encoded as small numbers.
 */

/** Boxes with different protocol versions do not connect to each other. */
export const PROTOCOL_VERSION = 1;

/** Largest frame: enough for a published value of 1 MB or the body of a chat request, and the other fields. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** Number of each field in encoded frames. Numbers must not be reused. */
export const FIELD_NUMBERS: Readonly<Record<string, number>> = {
  type: 0,
  requestId: 1,
  attempt: 2,
  side: 3,
  seq: 4,
  bytes: 5,
  count: 6,
  status: 7,
  headers: 8,
  endpoint: 9,
  code: 10,
  ran: 11,
  retryAfterMs: 12,
  entry: 13,
  home: 14,
  head: 15,
  candidates: 16,
  hops: 17,
  reason: 18,
  service: 19,
  team: 20,
  chat: 21,
  priority: 22,
  remainingMs: 23,
  method: 24,
  path: 25,
  body: 26,
  loads: 27,
  stamps: 28,
  stopping: 29,
  platformOk: 30,
  name: 31,
  text: 32,
  entries: 33,
  protocolVersion: 34,
  incarnation: 35,
  id: 36,
  hall: 37,
  peerAddress: 38,
  state: 39,
  box: 40,
  kind: 41,
  streamsBody: 42,
  observed: 43,
  isLast: 44,
  passed: 45,
  confirmedAtMs: 46,
  key: 47,
  atMs: 48,
  sinceMs: 49,
  listVersion: 50,
};
