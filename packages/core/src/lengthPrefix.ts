/** Frames on a stream: each is preceded by the number of its bytes. */
import { ChunkQueue } from './chunkQueue.js';
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
  private readonly pending = new ChunkQueue();
  /** Length of the frame that is being received; undefined before its prefix is complete. */
  private expectedBytes: number | undefined;

  constructor(
    private readonly maxFrameBytes: number,
    private readonly decode: (payload: Buffer) => Result<Frame, Problem>,
  ) {}

  /** Number of bytes received of a frame that is not complete yet. */
  get pendingBytes(): number {
    return this.pending.bytes + (this.expectedBytes === undefined ? 0 : LENGTH_BYTES);
  }

  /** Adds a chunk; returns the frames that it completes, or the first error. */
  push(chunk: Buffer): Result<Frame[], Problem> {
    this.pending.push(chunk);
    const frames: Frame[] = [];
    for (;;) {
      const length = this.readLength();
      if (length === undefined) return Ok(frames);
      if (length > this.maxFrameBytes) {
        const detail = `a frame of ${length} bytes is over ${this.maxFrameBytes}`;
        return Err({ code: 'frameTooLarge', at: 'peer', detail });
      }
      if (this.pending.bytes < length) return Ok(frames);
      this.expectedBytes = undefined;
      const frame = this.decode(this.pending.take(length));
      if (frame.err) return frame;
      frames.push(frame.val);
    }
  }

  /** Length of the current frame; undefined while its prefix is incomplete. */
  private readLength(): number | undefined {
    if (this.expectedBytes === undefined && this.pending.bytes >= LENGTH_BYTES)
      this.expectedBytes = this.pending.take(LENGTH_BYTES).readUInt32BE(0);
    return this.expectedBytes;
  }
}
