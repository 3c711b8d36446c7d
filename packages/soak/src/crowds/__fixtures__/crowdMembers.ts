/** Callers that do not behave, each with one raw connection that stays open, and what they write on it. */
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { pause } from '@hazelwalk/standins';
import type { CrowdBox } from './crowdBoxes.js';
import { MAX_BODY_BYTES } from './crowdBoxes.js';

/** What a member of a crowd does. */
export type Misbehaviour =
  /** A body in large chunks that stops one byte short of the limit. */
  | 'largeChunks'
  /** The same, and then a byte every half second. */
  | 'trickle'
  /** A body in chunks of one byte that stops one byte short of the limit. */
  | 'byteChunks'
  /** A chunked body without end. */
  | 'overLimitSent'
  /** A body of which the announced length is far over the limit. */
  | 'overLimitAnnounced'
  /** Many small whole requests, without reading a response. */
  | 'unreadResponses'
  /** A head inside the limit that never ends. */
  | 'unfinishedHead'
  /** Nothing at all. */
  | 'silent';

const PIECE_BYTES = 65_536;
const TRICKLE_PAUSE_MS = 500;
/** What the trickle still has to send. */
const TRICKLE_BYTES = 1_000;
const SMALL_REQUESTS = 25_000;
const ANNOUNCED_BYTES = 1_000_000_000;
/** What a member sends at most of a body without end. */
const ENDLESS_PIECES = 400;
/** 250 lines, together some 15 KB. */
const HEAD_LINES = Array.from({ length: 250 }, (_, index) => `x-${index}: ${'v'.repeat(50)}\r\n`).join('');

const PIECE = Buffer.alloc(PIECE_BYTES, 'x');
const CHUNK_OF_ONE = '1\r\nx\r\n';
const CHUNKS_OF_ONE = Math.floor(PIECE_BYTES / CHUNK_OF_ONE.length);

/** A body in large chunks, without its end. */
export function* writeLargeChunks(bytes: number): Generator<Buffer | string> {
  for (let left = bytes; left > 0; left -= PIECE_BYTES) {
    const size = Math.min(left, PIECE_BYTES);
    yield `${size.toString(16)}\r\n`;
    yield PIECE.subarray(0, size);
    yield '\r\n';
  }
}

/** A body in chunks of a byte, without its end; so many of them are written at a time. */
export function* writeByteChunks(bytes: number, atOnce = CHUNKS_OF_ONE): Generator<string> {
  for (let left = bytes; left > 0; left -= atOnce) yield CHUNK_OF_ONE.repeat(Math.min(left, atOnce));
}

/** Everything that a member writes as fast as the box takes it. */
function* writeAll(
  behaviour: Misbehaviour,
  { bodyHead, smallRequest }: CrowdBox,
): Generator<Buffer | string> {
  const chunkedHead = `${bodyHead}Transfer-Encoding: chunked\r\n\r\n`;
  switch (behaviour) {
    case 'largeChunks':
      yield chunkedHead;
      return yield* writeLargeChunks(MAX_BODY_BYTES - 1);
    case 'trickle':
      yield chunkedHead;
      return yield* writeLargeChunks(MAX_BODY_BYTES - TRICKLE_BYTES);
    case 'byteChunks':
      yield chunkedHead;
      return yield* writeByteChunks(MAX_BODY_BYTES - 1);
    case 'overLimitSent':
      yield chunkedHead;
      return yield* writeLargeChunks(ENDLESS_PIECES * PIECE_BYTES);
    case 'overLimitAnnounced':
      yield `${bodyHead}Content-Length: ${ANNOUNCED_BYTES}\r\n\r\n`;
      for (let piece = 0; piece < ENDLESS_PIECES; piece += 1) yield PIECE;
      return;
    case 'unreadResponses':
      for (let count = 0; count < SMALL_REQUESTS; count += 100) yield smallRequest.repeat(100);
      return;
    case 'unfinishedHead':
      return yield `${bodyHead}${HEAD_LINES}`;
    case 'silent':
  }
}

/** Members of a crowd that behave in one way. */
export interface CrowdPart {
  readonly behaviour: Misbehaviour;
  readonly count: number;
}

/** Connections that are opened at once: more would overflow the queue of those to be accepted. */
const BATCH = 100;
const BATCH_PAUSE_MS = 10;

/** Opens all connections of a crowd; the sockets write until they are destroyed. */
export async function startCrowd(box: CrowdBox, parts: readonly CrowdPart[]): Promise<Socket[]> {
  const sockets: Socket[] = [];
  for (const { behaviour, count } of parts) {
    for (let opened = 0; opened < count; opened += 1) {
      sockets.push(startMember(box, behaviour));
      if (sockets.length % BATCH === 0) await pause(BATCH_PAUSE_MS);
    }
  }
  return sockets;
}

function startMember(box: CrowdBox, behaviour: Misbehaviour): Socket {
  const socket = connect(box.port, box.host);
  socket.on('error', () => socket.destroy());
  if (behaviour === 'unreadResponses') socket.pause();
  else socket.resume();
  void write(socket, behaviour, box);
  return socket;
}

async function write(socket: Socket, behaviour: Misbehaviour, box: CrowdBox): Promise<void> {
  const closed = new Promise((resolve) => socket.once('close', resolve));
  const waitFor = (event: Promise<unknown>): Promise<unknown> => Promise.race([event, closed]);
  for (const bytes of writeAll(behaviour, box)) {
    if (!socket.writable) return;
    if (!socket.write(bytes)) await waitFor(new Promise((resolve) => socket.once('drain', resolve)));
  }
  while (behaviour === 'trickle' && socket.writable) {
    await waitFor(pause(TRICKLE_PAUSE_MS));
    if (socket.writable) socket.write(CHUNK_OF_ONE);
  }
}
