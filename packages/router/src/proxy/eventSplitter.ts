/**
 * Splits the bytes of an event stream into complete events and tracks their ids, so that a broken stream can be resumed
 * at another endpoint without losing, repeating or splitting an event.
 */
import { ChunkQueue } from '@hazelwalk/core';

/** An event longer than this is taken for bytes without end: what arrives of it is kept until it is complete. */
export const MAX_EVENT_BYTES = 1_048_576;
/** What ends an event: a blank line after the end of another line. */
const BLANK_LINES = ['\n\n', '\n\r\n'];
/** Bytes of a blank line that may have arrived with earlier chunks. */
const MAX_SPLIT_BYTES = 2;

/** Complete events, and the id of the last one that has an id. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  readonly lastEventId: string | undefined;
}

/** Collects chunks and returns the complete events in them. */
export class EventSplitter {
  private readonly pending = new ChunkQueue();

  /** Adds a chunk; returns the events that are now complete, if any. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const end = findLastEventEnd(this.pending.peekEnd(MAX_SPLIT_BYTES), chunk);
    const missing = chunk.length - end;
    this.pending.push(chunk);
    if (end === 0) return undefined;
    const complete = this.pending.take(this.pending.bytes - missing);
    return { bytes: complete, lastEventId: readLastEventId(complete) };
  }

  /** Bytes that are kept until their event is complete. */
  get heldBytes(): number {
    return this.pending.bytes;
  }

  /** Whether what has arrived without the end of an event is more than an event may take. */
  get isOverlong(): boolean {
    return this.pending.bytes > MAX_EVENT_BYTES;
  }

  /** Drops an incomplete event before the stream is resumed at another endpoint. */
  reset(): void {
    this.pending.clear();
  }

  /** Whether the bytes so far end inside an event; blank lines and comments after the last one belong to none. */
  get isInsideEvent(): boolean {
    return EVENT_LINE.test(this.pending.peekEnd(this.pending.bytes).toString('latin1'));
  }

  /** Takes the bytes of the incomplete event at the end. */
  takeRest(): Buffer {
    return this.pending.takeAll();
  }
}

/** A line of an event: neither blank nor a comment. */
const EVENT_LINE = /^[^:\r\n]/m;

/** Offset in the chunk after the last blank line that ends in it; 0 if there is none. */
function findLastEventEnd(before: Buffer, chunk: Buffer): number {
  if (before.length === 0) return findEnd(chunk);
  const start = Buffer.concat([before, chunk.subarray(0, MAX_SPLIT_BYTES)]);
  const acrossChunks = findEnd(start) - before.length;
  return Math.max(0, acrossChunks, findEnd(chunk));
}

/** Offset after the last blank line; 0 if there is none. Each byte is searched a fixed number of times. */
function findEnd(bytes: Buffer): number {
  const ends = BLANK_LINES.map((line) => {
    const at = bytes.lastIndexOf(line);
    return at < 0 ? 0 : at + line.length;
  });
  return Math.max(...ends);
}

/**
 * Reads the id of the last event that has one.
 *
 * @example readLastEventId(Buffer.from('id: 7\ndata: x\n\n')) // '7'
 */
export function readLastEventId(bytes: Buffer): string | undefined {
  const text = bytes.toString('latin1');
  const at = text.startsWith('id:') && text.lastIndexOf('\nid:') < 0 ? 0 : text.lastIndexOf('\nid:') + 1;
  if (at === 0 && !text.startsWith('id:')) return undefined;
  const end = text.indexOf('\n', at);
  return text.slice(at + 'id:'.length, end < 0 ? undefined : end).trim();
}
