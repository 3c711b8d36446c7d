/** Frames on a stream: each is preceded by the number of its bytes. */
import type { Problem } from './resultCodes.js';
import type { Result } from './result.js';
import { Err, Ok } from './result.js';

/** Size of the length prefix of each frame. */
export const LENGTH_BYTES = 4;

/**
 * Puts the length of a payload in front of it.
 *
 * @example socket.write(prefixLength(Buffer.from('ab'))) // 00 00 00 02 61 62
 */
export function prefixLength(payload: Buffer): Buffer {
  const packet = Buffer.allocUnsafe(LENGTH_BYTES + payload.length);
  packet.writeUInt32BE(payload.length, 0);
  payload.copy(packet, LENGTH_BYTES);
  return packet;
}

/** Splits the bytes received on one link into frames. After an error the link must be closed. */
export class FrameReader<Frame> {
  private pending: Buffer = Buffer.alloc(0);

  constructor(
    private readonly maxFrameBytes: number,
    private readonly decode: (payload: Buffer) => Result<Frame, Problem>,
  ) {}

  /** Number of bytes received of a frame that is not complete yet. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** Adds a chunk; returns the frames that it completes, or the first error. */
  push(chunk: Buffer): Result<Frame[], Problem> {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const frames: Frame[] = [];
    while (this.pending.length >= LENGTH_BYTES) {
      const length = this.pending.readUInt32BE(0);
      if (length > this.maxFrameBytes) {
        const detail = `a frame of ${length} bytes is over ${this.maxFrameBytes}`;
        return Err({ code: 'frameTooLarge', at: 'peer', detail });
      }
      const end = LENGTH_BYTES + length;
      if (this.pending.length < end) break;
      const frame = this.decode(this.pending.subarray(LENGTH_BYTES, end));
      if (frame.err) return frame;
      frames.push(frame.val);
      this.pending = this.pending.subarray(end);
    }
    return Ok(frames);
  }
}
