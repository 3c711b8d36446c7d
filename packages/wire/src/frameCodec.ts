/**
 * Encodes frames, and decodes a stream of chunks of any size into frames.
 */
import { Err, Ok } from '@hazelwalk/core';
import type { Problem, Result } from '@hazelwalk/core';
import { Encoder } from 'cbor-x';
import { checkFrame } from './frameSchema.js';
import type { WireFrame } from './frameSchema.js';
import { FIELD_NUMBERS, LENGTH_BYTES, MAX_FRAME_BYTES } from './protocol.js';

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
  const payload = cbor.encode(frame);
  const packet = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  packet.writeUInt32BE(payload.length, 0);
  payload.copy(packet, LENGTH_BYTES);
  return packet;
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
export class FrameDecoder {
  private pending: Buffer = Buffer.alloc(0);

  constructor(private readonly maxFrameBytes: number = MAX_FRAME_BYTES) {}

  /** Adds a chunk; returns the frames that it completes, or the first error. */
  push(chunk: Buffer): Result<WireFrame[], Problem> {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const frames: WireFrame[] = [];
    let offset = 0;
    while (this.pending.length - offset >= LENGTH_BYTES) {
      const length = this.pending.readUInt32BE(offset);
      if (length > this.maxFrameBytes) {
        const detail = `a frame of ${length} bytes is over ${this.maxFrameBytes}`;
        return Err({ code: 'frameTooLarge', at: 'peer', detail });
      }
      const end = offset + LENGTH_BYTES + length;
      if (this.pending.length < end) break;
      const frame = decodePayload(this.pending.subarray(offset + LENGTH_BYTES, end));
      if (frame.err) return frame;
      frames.push(frame.val);
      offset = end;
    }
    this.pending = this.pending.subarray(offset);
    return Ok(frames);
  }

  /** Checks the end of the stream; returns an error if it ended inside a frame. */
  finish(): Result<void, Problem> {
    if (this.pending.length === 0) return Ok(undefined);
    const detail = `the link closed with ${this.pending.length} bytes of an unfinished frame`;
    return Err({ code: 'frameTruncated', at: 'peer', detail });
  }
}
