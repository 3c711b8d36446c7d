/** Bytes that were received and are not used yet. */

/**
 * Smaller chunks that others follow are copied into blocks of this size: a chunk may be a small part of a large buffer, which it
 * would keep in memory.
 */
const BLOCK_BYTES = 16_384;

/**
 * A queue of bytes. Each byte is copied at most once when it is added and once when it is taken. Joining all that is held for each
 * chunk would take time that grows with the square of what arrives.
 */
export class ChunkQueue {
  private readonly chunks: Buffer[] = [];
  private length = 0;
  /** Whether the last chunk is small and was not copied: most chunks are taken before the next one comes. */
  private isLastLoose = false;
  /** Block into which small chunks are copied, and the number of its bytes in use. */
  private block = Buffer.alloc(0);
  private blockUsed = 0;

  /** Number of bytes held. */
  get bytes(): number {
    return this.length;
  }

  /** Adds a chunk at the end. */
  push(chunk: Buffer): void {
    if (chunk.length === 0) return;
    if (this.isLastLoose) this.copyLast();
    this.chunks.push(chunk);
    this.length += chunk.length;
    this.isLastLoose = chunk.length < BLOCK_BYTES;
  }

  /**
   * Takes bytes from the front.
   *
   * @param count at most the number of bytes held
   * @example queue.take(4).readUInt32BE(0)
   */
  take(count: number): Buffer {
    const [first] = this.chunks;
    if (first !== undefined && first.length >= count) return this.takeFrom(first, count);
    const taken: Buffer[] = [];
    for (let missing = count; missing > 0;) {
      const chunk = this.chunks[0];
      if (chunk === undefined) break;
      const part = this.takeFrom(chunk, Math.min(missing, chunk.length));
      taken.push(part);
      missing -= part.length;
    }
    return Buffer.concat(taken);
  }

  /** The last bytes held, at most this many, without taking them. */
  peekEnd(count: number): Buffer {
    const parts: Buffer[] = [];
    let missing = Math.min(count, this.length);
    for (let at = this.chunks.length - 1; at >= 0 && missing > 0; at -= 1) {
      const part = this.chunks[at]?.subarray(-missing) ?? Buffer.alloc(0);
      parts.unshift(part);
      missing -= part.length;
    }
    return Buffer.concat(parts);
  }

  /** Takes all bytes. */
  takeAll(): Buffer {
    return this.take(this.length);
  }

  /** Drops all bytes. */
  clear(): void {
    this.chunks.length = 0;
    this.length = 0;
  }

  /** Copies what is left of the last chunk into a block, directly after the chunk before it if that ends there. */
  private copyLast(): void {
    const chunk = this.chunks.pop();
    if (chunk === undefined) return;
    const room = this.block.length - this.blockUsed;
    if (room < chunk.length) {
      this.block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
      this.blockUsed = 0;
    }
    chunk.copy(this.block, this.blockUsed);
    const last = this.chunks.at(-1);
    const isContinued =
      last?.buffer === this.block.buffer && last.byteOffset + last.length === this.blockUsed;
    const from = isContinued ? last.byteOffset : this.blockUsed;
    this.blockUsed += chunk.length;
    const copied = this.block.subarray(from, this.blockUsed);
    if (isContinued) this.chunks[this.chunks.length - 1] = copied;
    else this.chunks.push(copied);
  }

  /** Takes bytes of the first chunk. */
  private takeFrom(chunk: Buffer, count: number): Buffer {
    this.length -= count;
    if (chunk.length === count) this.chunks.shift();
    else this.chunks[0] = chunk.subarray(count);
    return chunk.subarray(0, count);
  }
}
