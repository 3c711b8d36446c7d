/**
 * Encodes frames, and decodes a stream of chunks of any size into frames.
 */
import { Err, FrameReader, Ok, prefixLength } from '@hazelwalk/core';
import type { Problem, Result } from '@hazelwalk/core';
import { Encoder } from 'cbor-x';
import { checkFrame } from './frameSchema.js';
import type { WireFrame } from './frameSchema.js';
import { FIELD_NUMBERS, MAX_FRAME_BYTES } from './protocol.js';

const cbor = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  keyMap: { ...FIELD_NUMBERS },
  tagUint8Array: false,
});

/**
 * Encodes one frame with its length prefix.
 *
 * @example socket.write(encodeFrame({ type: 'cancel', requestId: 'b1.x.7', attempt: 1 }))
 */
export function encodeFrame(frame: WireFrame): Buffer {
  return prefixLength(cbor.encode(frame));
}

function decodePayload(payload: Buffer): Result<WireFrame, Problem> {
  try {
    const frame = checkFrame(cbor.decode(payload));
    if (frame !== undefined) return Ok(frame);
    return Err({ code: 'frameMalformed', at: 'peer', detail: 'a frame does not fit the schema' });
  } catch {
    return Err({ code: 'frameMalformed', at: 'peer', detail: 'a frame is not CBOR' });
  }
}

/** Decodes the byte stream of one link into frames. After an error the link must be closed. */
export class FrameDecoder extends FrameReader<WireFrame> {
  constructor(maxFrameBytes: number = MAX_FRAME_BYTES) {
    super(maxFrameBytes, decodePayload);
  }

  /** Checks the end of the stream; returns an error if it ended inside a frame. */
  finish(): Result<void, Problem> {
    if (this.pendingBytes === 0) return Ok(undefined);
    const detail = `the link closed with ${this.pendingBytes} bytes of an unfinished frame`;
    return Err({ code: 'frameTruncated', at: 'peer', detail });
  }
}
